// Package executor serializes calls on a single goroutine that owns some state.
package executor
