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
	// callTimeout bounds a call to another instance.
	callTimeout = 600 * time.Millisecond
	// storeTimeout bounds a read or write of one store entry.
	storeTimeout = time.Second
	// handoverRetryInterval is the time between two attempts to hand a shard over.
	handoverRetryInterval = 50 * time.Millisecond
)

// RunnerConfig holds the configuration of a Runner.
type RunnerConfig struct {
	// Controller is the control state, to be used by the Runner only.
	Controller *Controller
	// Clock provides the current time.
	Clock lagoonlanding.Clock
	// Store is the platform's key-value store.
	Store lagoonlanding.Store
	// Peers sends messages to other instances.
	Peers lagoonlanding.Peers
	// Traffic is the traffic path of this instance.
	Traffic lagoonlanding.ShardTraffic
	// OnError is called with each error; it must not block.
	OnError func(error)
	// OnWrite is called with each record that this instance has written, if not nil; it must not block.
	OnWrite func(lagoonlanding.Record)
}

// Runner runs the control thread of an instance.
type Runner struct {
	config   RunnerConfig
	events   chan event
	stopped  chan struct{}
	snapshot atomic.Pointer[publishedSnapshot]
	workers  sync.WaitGroup
}

// event is a function to run on the control thread; done is closed afterwards.
type event struct {
	handle func(now time.Time)
	done   chan struct{}
}

// publishedSnapshot is a snapshot with a channel that is closed when the next one is published.
type publishedSnapshot struct {
	snapshot *router.Snapshot
	changed  chan struct{}
}

// NewRunner returns a runner that has published the controller's initial snapshot.
func NewRunner(config RunnerConfig) *Runner {
	runner := &Runner{config: config, events: make(chan event), stopped: make(chan struct{})}
	runner.publish()
	return runner
}

// Run handles events and ticks until ctx ends.
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

// Do runs the function on the control thread and returns once the resulting snapshot is published.
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

// Changed returns a channel that is closed when the next snapshot is published.
func (runner *Runner) Changed() <-chan struct{} { return runner.snapshot.Load().changed }

func (runner *Runner) publish() {
	next := &publishedSnapshot{snapshot: runner.config.Controller.Snapshot(), changed: make(chan struct{})}
	if last := runner.snapshot.Swap(next); last != nil {
		close(last.changed)
	}
}

// flush publishes the snapshot and starts the actions that the control state has requested.
func (runner *Runner) flush(ctx context.Context) {
	for _, err := range runner.config.Controller.TakeFailures() {
		runner.config.OnError(err)
	}
	for _, record := range runner.config.Controller.TakeWritten() {
		if runner.config.OnWrite != nil {
			runner.config.OnWrite(record)
		}
	}
	outbox := runner.config.Controller.TakeOutbox()
	// The deduplication records must be up to date before traffic uses them under the new snapshot.
	for _, drop := range outbox.Drops() {
		runner.config.Traffic.Drop(drop.Group(), drop.Shard())
	}
	for _, handover := range outbox.Imports() {
		if !runner.config.Traffic.Import(handover.Group(), handover.Shard(), handover.Attempts()) {
			runner.config.Controller.ImportFailed(handover.Group(), handover.Shard())
		}
	}
	runner.publish()
	runner.sendCalls(ctx, outbox)
	runner.callStore(ctx, outbox)
	for _, drain := range outbox.Drains() {
		runner.startWorker(func() { runner.handOver(ctx, drain) })
	}
}

func (runner *Runner) startWorker(work func()) {
	runner.workers.Add(1)
	go func() {
		defer runner.workers.Done()
		work()
	}()
}

// Leave hands over all shards and waits until this instance has left its groups, or ctx ends.
func (runner *Runner) Leave(ctx context.Context) {
	runner.Do(func(now time.Time) { runner.config.Controller.Leave(now) })
	for {
		left := false
		runner.Do(func(time.Time) { left = runner.config.Controller.HasLeft() })
		if left {
			return
		}
		// Do itself publishes a snapshot, so this waits for the one after it, which follows at the next tick at the latest.
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

// Announce records that the local backend server runs the service and accepts requests.
func (runner *Runner) Announce(service string) {
	runner.Do(func(now time.Time) { runner.config.Controller.Announce(now, service) })
}

// Withdraw hands all shards over until the backend server announces itself again.
func (runner *Runner) Withdraw() {
	runner.Do(func(now time.Time) { runner.config.Controller.Withdraw(now) })
}
