package executor

import (
	"context"
	"time"
)

// Config holds the configuration of an Executor.
type Config[T any] struct {
	// State is the state that only the executor's goroutine accesses.
	State T
	// Wake performs the work that is due and returns the time of the next work, zero if there is none; it may be nil.
	Wake func(state T, now time.Time) time.Time
}

// Executor owns a state and serializes the calls on it.
type Executor[T any] struct {
	config Config[T]
	calls  chan func(T)
	done   chan struct{}
}

// New returns an executor that is not running yet.
func New[T any](config Config[T]) *Executor[T] {
	return &Executor[T]{config: config, calls: make(chan func(T)), done: make(chan struct{})}
}

// Run runs calls and due work until ctx ends.
func (executor *Executor[T]) Run(ctx context.Context) {
	defer close(executor.done)
	for {
		deadline := executor.wake()
		select {
		case <-ctx.Done():
			return
		case call := <-executor.calls:
			call(executor.config.State)
		case <-deadline:
		}
	}
}

// Do waits until the call has run, or returns false if the executor has stopped.
func (executor *Executor[T]) Do(call func(T)) bool {
	finished := make(chan struct{})
	wrapped := func(state T) {
		defer close(finished)
		call(state)
	}
	select {
	case executor.calls <- wrapped:
		<-finished
		return true
	case <-executor.done:
		return false
	}
}

func (executor *Executor[T]) wake() <-chan time.Time {
	if executor.config.Wake == nil {
		return nil
	}
	now := time.Now()
	next := executor.config.Wake(executor.config.State, now)
	if next.IsZero() {
		return nil
	}
	return time.After(next.Sub(now))
}
