package executor

import (
	"context"
	"time"
)

// Config holds the parts of an Executor.
type Config[T any] struct {
	// State is what only the executor's goroutine touches.
	State T
	// Wake does what is due at the time and returns the next deadline, zero for none; nil if nothing falls due.
	Wake func(state T, now time.Time) time.Time
}

// Executor owns a state and runs calls on it.
type Executor[T any] struct {
	config Config[T]
	calls  chan func(T)
	done   chan struct{}
}

// New returns an executor; it runs calls once Run is called.
func New[T any](config Config[T]) *Executor[T] {
	return &Executor[T]{config: config, calls: make(chan func(T)), done: make(chan struct{})}
}

// Run runs calls until ctx ends; it sleeps between them.
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

// Do runs the call and returns after it; it is false if the executor has ended.
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
