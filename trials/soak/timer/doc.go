// Package timer is the time of a fleet in one process: a queue of what happens when, and clocks that drift.
package timer
