// Package timer simulates time in one thread: a queue of scheduled functions, and clocks that drift.
package timer
