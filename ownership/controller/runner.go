package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

const (
	// callTimeout bounds a message to another instance.
	callTimeout = 600 * time.Millisecond
	// storeTimeout bounds a read or write of one entry.
	storeTimeout = time.Second
	// handoverRetryInterval is the time between two tries to hand a shard over.
	handoverRetryInterval = 50 * time.Millisecond
)

// RunnerConfig holds what a Runner works with.
type RunnerConfig struct {
	// Controller is the control state; only the Runner touches it from now on.
	Controller *Controller
	// Clock tells the time.
	Clock lagoonlanding.Clock
	// Store is the platform's key-value service.
	Store lagoonlanding.Store
	// Peers carries messages to other instances.
	Peers lagoonlanding.Peers
	// Traffic is the traffic path of this instance.
	Traffic lagoonlanding.ShardTraffic
	// Failed is told what went wrong; it must not block.
	Failed func(error)
	// Wrote is told of each record that this instance has written; nil for nobody. It must not block.
	Wrote func(lagoonlanding.Record)
}

// Runner owns the control thread of an instance.
type Runner struct {
	config   RunnerConfig
	events   chan event
	stopped  chan struct{}
	snapshot atomic.Pointer[publication]
	workers  sync.WaitGroup
}

// event is something that happened, to be handled by the control thread.
type event struct {
	handle func(now time.Time)
	done   chan struct{}
}

// publication is a snapshot with the channel that is closed when the next one follows.
type publication struct {
	snapshot *router.Snapshot
	changed  chan struct{}
}

// NewRunner returns a runner whose snapshot shows an instance that knows nothing yet.
func NewRunner(config RunnerConfig) *Runner {
	runner := &Runner{config: config, events: make(chan event), stopped: make(chan struct{})}
	runner.publish()
	return runner
}

// Run handles events until ctx ends.
func (runner *Runner) Run(ctx context.Context) {
	defer runner.workers.Wait()
	defer close(runner.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			runner.config.Controller.Tick(runner.config.Clock.Now())
			runner.flush(ctx)
		case event := <-runner.events:
			event.handle(runner.config.Clock.Now())
			runner.flush(ctx)
			close(event.done)
		}
	}
}

// Do runs the function on the control thread and returns once its effects are published.
func (runner *Runner) Do(handle func(now time.Time)) {
	event := event{handle: handle, done: make(chan struct{})}
	select {
	case runner.events <- event:
		<-event.done
	case <-runner.stopped:
	}
}

// Current returns the newest snapshot.
func (runner *Runner) Current() *router.Snapshot { return runner.snapshot.Load().snapshot }

// Changed returns a channel that is closed when a newer snapshot than the current one is published.
func (runner *Runner) Changed() <-chan struct{} { return runner.snapshot.Load().changed }

func (runner *Runner) publish() {
	next := &publication{snapshot: runner.config.Controller.Snapshot(), changed: make(chan struct{})}
	if last := runner.snapshot.Swap(next); last != nil {
		close(last.changed)
	}
}

// flush publishes the snapshot and starts what the control state asks for.
func (runner *Runner) flush(ctx context.Context) {
	for _, err := range runner.config.Controller.TakeFailures() {
		runner.config.Failed(err)
	}
	for _, record := range runner.config.Controller.TakeWritten() {
		if runner.config.Wrote != nil {
			runner.config.Wrote(record)
		}
	}
	outbox := runner.config.Controller.TakeOutbox()
	// The ledgers must be right before a snapshot lets traffic use them.
	for _, drop := range outbox.Drops() {
		runner.config.Traffic.Drop(drop.Group(), drop.Shard())
	}
	for _, handover := range outbox.Imports() {
		if !runner.config.Traffic.Import(handover.Group(), handover.Shard(), handover.Attempts()) {
			runner.config.Controller.LoseAttempts(handover.Group(), handover.Shard())
		}
	}
	runner.publish()
	runner.send(ctx, outbox)
	runner.useStore(ctx, outbox)
	for _, drain := range outbox.Drains() {
		runner.start(func() { runner.handOver(ctx, drain) })
	}
}

func (runner *Runner) start(work func()) {
	runner.workers.Add(1)
	go func() {
		defer runner.workers.Done()
		work()
	}()
}

// Leave starts to hand over all shards and waits until no group names this instance, or ctx ends.
func (runner *Runner) Leave(ctx context.Context) {
	runner.Do(func(now time.Time) { runner.config.Controller.Leave(now) })
	for {
		left := false
		runner.Do(func(time.Time) { left = runner.config.Controller.HasLeft() })
		if left {
			return
		}
		// The question publishes a snapshot itself, so the wait is for the one after it, which the next tick brings at the latest.
		changed := runner.Changed()
		select {
		case <-ctx.Done():
			return
		case <-runner.stopped:
			return
		case <-changed:
		}
	}
}

// Announce notes that the backend server beside this instance runs the service.
func (runner *Runner) Announce(service string) {
	runner.Do(func(now time.Time) { runner.config.Controller.Announce(now, service) })
}

// Withdraw hands all shards over until the backend server announces itself again.
func (runner *Runner) Withdraw() {
	runner.Do(func(now time.Time) { runner.config.Controller.Withdraw(now) })
}
