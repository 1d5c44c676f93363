// Package executor runs calls one after another on the single goroutine that owns a state.
package executor
