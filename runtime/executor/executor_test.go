package executor

import (
	"context"
	"sync"
	"testing"
	"time"
)

func TestCallsAreSerialized(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	count := 0
	executor := New(Config[*int]{State: &count})
	go executor.Run(ctx)
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() { executor.Do(func(state *int) { *state++ }) })
	}
	callers.Wait()
	got := 0
	executor.Do(func(state *int) { got = *state })
	if got != 50 {
		t.Errorf("%d of 50 calls have run", got)
	}
	cancel()
	<-executor.done
	if executor.Do(func(*int) {}) {
		t.Error("a call ran after the executor had stopped")
	}
}

func TestWakeRunsAtDeadline(t *testing.T) {
	woken := make(chan struct{})
	wakes := 0
	executor := New(Config[*int]{State: &wakes, Wake: func(state *int, now time.Time) time.Time {
		*state++
		if *state == 2 {
			close(woken)
			return time.Time{}
		}
		return now.Add(time.Millisecond)
	}})
	go executor.Run(t.Context())
	<-woken
}
