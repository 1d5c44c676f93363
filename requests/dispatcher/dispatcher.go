package dispatcher

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/deduplicator"
	"lagoonlanding.example/lagoonlanding/requests/picker"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
	"lagoonlanding.example/lagoonlanding/requests/retrier"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// The bounds on further tries of a request at other instances.
const (
	// retryPause bounds the pause before the first retry; each later one may be twice as long.
	retryPause = 25 * time.Millisecond
	// maxTries bounds the tries; after them a request only waits for a change of ownership.
	maxTries = 6
)

// Config holds what a Dispatcher works with.
type Config struct {
	// Snapshots gives the newest snapshot of the control state.
	Snapshots lagoonlanding.Source[*router.Snapshot]
	// Clock tells the time.
	Clock lagoonlanding.Clock
	// Peers carries requests to other instances.
	Peers lagoonlanding.Peers
	// Upstream is the backend server beside this instance.
	Upstream lagoonlanding.Upstream
	// Ledger holds the recent non-idempotent requests.
	Ledger *deduplicator.Ledger
	// Retried is told why a request is attempted again; nil for nobody.
	Retried func(lagoonlanding.Reason)
	// Retrier decides on further tries at other instances; nil stands for one with a budget of its own.
	Retrier *retrier.Retrier
	// Quarantine knows the requests that crash backend servers; nil stands for an empty one.
	Quarantine *quarantiner.Quarantine
	// Link is the byte budget between regions for services that are not divided by key; nil for none.
	Link *picker.Link
	// Picker returns the choice of instances for a service that is not divided by key; nil stands for picker.Least.
	Picker func(self lagoonlanding.Instance, service publisher.Service) lagoonlanding.Picker
}

// Dispatcher is the traffic path of one instance; it is safe for use by many goroutines.
type Dispatcher struct {
	config   Config
	counter  *counter
	guard    guard
	loads    *loads
	members  *members
	services services
}

// New returns a dispatcher that has admitted no request yet.
func New(config Config) *Dispatcher {
	if config.Retrier == nil {
		config.Retrier = retrier.NewRetrier(retrier.Config{Tries: maxTries, Pause: retryPause, Random: newRandom()})
	}
	if config.Quarantine == nil {
		config.Quarantine = quarantiner.NewQuarantine(quarantiner.Config{Random: newRandom()})
	}
	if config.Picker == nil {
		config.Picker = leastPicker(config.Link)
	}
	return &Dispatcher{config: config, counter: newCounter(), loads: newLoads(), members: newMembers()}
}

// Dispatch returns what became of the request; ctx ends at the request's deadline or when its caller goes away.
func (dispatcher *Dispatcher) Dispatch(ctx context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
	if request.Hops() == 0 {
		dispatcher.config.Retrier.Start()
	}
	var earlier Step
	for tries := 1; ; tries++ {
		// The channel is taken before the snapshot that it follows, so that no change is missed.
		changed := dispatcher.config.Snapshots.Changed()
		step := dispatcher.Attempt(ctx, request)
		if !step.IsRetry() || !dispatcher.await(ctx, request, step, tries, changed) {
			return step.After(earlier).reply
		}
		earlier = step.After(earlier)
		if dispatcher.config.Retried != nil {
			dispatcher.config.Retried(step.reply.Reason())
		}
	}
}

// Run ends forwarded requests to instances that are lost, until ctx ends.
func (dispatcher *Dispatcher) Run(ctx context.Context) {
	for {
		changed := dispatcher.config.Snapshots.Changed()
		dispatcher.members.update(dispatcher.config.Snapshots.Current())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// OnForward serves a request that another instance has forwarded.
func (dispatcher *Dispatcher) OnForward(ctx context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
	return dispatcher.Dispatch(ctx, request)
}

// Step is the result of one attempt at a request.
type Step struct {
	reply lagoonlanding.Reply
	retry retry
	// finished is closed when an earlier try of the same request has ended.
	finished <-chan struct{}
}

// retry says what a further attempt waits for.
type retry uint8

const (
	retryNever retry = iota
	retryAtChange
	retryLater
	retryAtFinish
)

// Reply returns what became of the request, or its refusal if it is not attempted again.
func (step Step) Reply() lagoonlanding.Reply { return step.reply }

// IsRetry reports whether a further attempt may have another result.
func (step Step) IsRetry() bool { return step.retry != retryNever }

// After returns the step as the result of a request with an earlier attempt: if that may have run, a refusal would not be true.
func (step Step) After(earlier Step) Step {
	mayHaveRun := earlier.reply.Outcome() == lagoonlanding.OutcomeUnknown && earlier.retry != retryAtFinish
	if mayHaveRun && step.reply.Outcome() == lagoonlanding.OutcomeNotRun {
		step.reply = earlier.reply
	}
	return step
}

func final(reply lagoonlanding.Reply) Step { return Step{reply: reply} }

// await waits for what the step needs and reports whether a further attempt makes sense.
func (dispatcher *Dispatcher) await(
	ctx context.Context, request lagoonlanding.Request, step Step, tries int, changed <-chan struct{},
) bool {
	var later <-chan time.Time
	switch step.retry {
	case retryAtFinish:
		changed = step.finished
	case retryLater:
		at, ok := dispatcher.config.Retrier.Retry(dispatcher.config.Clock.Now(), request, step.reply, tries)
		// Without the budget only a change of ownership helps, which may have come during the try.
		if !ok && !isTransient(step.reply) && step.reply.Reason() != lagoonlanding.ReasonConnectionLost {
			return false
		}
		if ok {
			changed = nil
			later = dispatcher.config.Clock.Until(at)
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-later:
		return true
	}
}

// Attempt makes one attempt at the request without waiting for a change of ownership.
func (dispatcher *Dispatcher) Attempt(ctx context.Context, request lagoonlanding.Request) Step {
	snapshot := dispatcher.config.Snapshots.Current()
	now := dispatcher.config.Clock.Now()
	if !now.Before(request.Deadline()) {
		return final(lagoonlanding.Refuse(request, lagoonlanding.ReasonDeadline).WithOwner(snapshot.Self()))
	}
	decision := snapshot.Decide(now, request)
	switch decision.Kind() {
	case router.KindServe:
		return dispatcher.serveOwned(ctx, snapshot, decision, request)
	case router.KindForward:
		return dispatcher.forward(ctx, snapshot, decision.To(), request)
	case router.KindPick:
		return dispatcher.servePicked(ctx, snapshot, decision, request)
	case router.KindWait:
		return Step{reply: lagoonlanding.Refuse(request, decision.Reason()).WithOwner(snapshot.Self()), retry: retryAtChange}
	}
	return final(lagoonlanding.Refuse(request, decision.Reason()).WithOwner(snapshot.Self()))
}

// AwaitIdle waits until no admitted request of the shard is left, or ctx ends.
func (dispatcher *Dispatcher) AwaitIdle(ctx context.Context, group lagoonlanding.GroupID, shard int) error {
	return dispatcher.counter.awaitIdle(ctx, lagoonlanding.NewShardID(group, shard))
}

// Export returns the recent attempts of the shard.
func (dispatcher *Dispatcher) Export(group lagoonlanding.GroupID, shard int) []lagoonlanding.Attempt {
	return dispatcher.config.Ledger.Export(dispatcher.config.Clock.Now(), lagoonlanding.NewShardID(group, shard))
}

// Import takes the attempts of a shard over and reports whether they fit.
func (dispatcher *Dispatcher) Import(group lagoonlanding.GroupID, shard int, attempts []lagoonlanding.Attempt) bool {
	return dispatcher.config.Ledger.Import(dispatcher.config.Clock.Now(), lagoonlanding.NewShardID(group, shard), attempts)
}

// Drop forgets the attempts of a shard.
func (dispatcher *Dispatcher) Drop(group lagoonlanding.GroupID, shard int) {
	dispatcher.config.Ledger.Drop(lagoonlanding.NewShardID(group, shard))
}

// Loads returns the busiest shards of the group.
func (dispatcher *Dispatcher) Loads(group lagoonlanding.GroupID) []lagoonlanding.ShardLoad {
	return dispatcher.loads.busiest(dispatcher.config.Clock.Now(), group)
}
