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

// Limits on retries of a request at other instances.
const (
	// baseBackoff bounds the delay before the first retry; the bound doubles with each further retry.
	baseBackoff = 25 * time.Millisecond
	// maxAttempts bounds the attempts; after that, a request only waits for a change of ownership.
	maxAttempts = 6
)

// Config holds the dependencies of a Dispatcher.
type Config struct {
	// Snapshots provides the current snapshot of the control state.
	Snapshots lagoonlanding.Source[*router.Snapshot]
	// Clock provides the current time and timers.
	Clock lagoonlanding.Clock
	// Peers forwards requests to other instances.
	Peers lagoonlanding.Peers
	// Upstream is the backend server of this instance.
	Upstream lagoonlanding.Upstream
	// Ledger deduplicates non-idempotent requests.
	Ledger *deduplicator.Ledger
	// OnRetry is called with the reason of each retry; it may be nil.
	OnRetry func(lagoonlanding.Reason)
	// Retrier decides on retries at other instances; nil creates one with a separate retry budget.
	Retrier *retrier.Retrier
	// Quarantine tracks the requests that crash backend servers; nil creates an empty one.
	Quarantine *quarantiner.Quarantine
	// Link is the byte budget between regions for services that are not sharded; nil means no limit.
	Link *picker.LinkBudget
	// Picker returns the load balancer of a service that is not sharded; nil selects picker.LeastTime.
	Picker func(self lagoonlanding.Instance, service publisher.Service) lagoonlanding.Picker
}

// Dispatcher handles the requests of one instance; it is safe for concurrent use.
type Dispatcher struct {
	config          Config
	counter         *counter
	upstreamLimiter upstreamLimiter
	loads           *loads
	members         *members
	services        services
}

// New returns a dispatcher with the given configuration.
func New(config Config) *Dispatcher {
	if config.Retrier == nil {
		config.Retrier = retrier.NewRetrier(retrier.Config{MaxAttempts: maxAttempts, BaseBackoff: baseBackoff, Random: newRandom()})
	}
	if config.Quarantine == nil {
		config.Quarantine = quarantiner.NewQuarantine(quarantiner.Config{Random: newRandom()})
	}
	if config.Picker == nil {
		config.Picker = newLeastTime(config.Link)
	}
	return &Dispatcher{config: config, counter: newCounter(), loads: newLoads(), members: newMembers()}
}

// Dispatch handles the request and returns the reply; ctx ends at the request's deadline or when the caller disconnects.
func (dispatcher *Dispatcher) Dispatch(ctx context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
	if request.Hops() == 0 {
		dispatcher.config.Retrier.Start()
	}
	var earlier AttemptResult
	for attempts := 1; ; attempts++ {
		// The channel is read before the snapshot, so that no change between the two is missed.
		changed := dispatcher.config.Snapshots.Changed()
		attemptresult := dispatcher.Attempt(ctx, request)
		if !attemptresult.IsRetry() || !dispatcher.awaitRetry(ctx, request, attemptresult, attempts, changed) {
			return attemptresult.After(earlier).reply
		}
		earlier = attemptresult.After(earlier)
		if dispatcher.config.OnRetry != nil {
			dispatcher.config.OnRetry(attemptresult.reply.Reason())
		}
	}
}

// Run cancels forwarded requests to instances that have been removed from their groups, until ctx ends.
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

// OnForward handles a request that another instance has forwarded.
func (dispatcher *Dispatcher) OnForward(ctx context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
	return dispatcher.Dispatch(ctx, request)
}

// AttemptResult is the result of one attempt to serve a request.
type AttemptResult struct {
	reply lagoonlanding.Reply
	retry retry
	// finished is closed when an earlier attempt at the same request has ended.
	finished <-chan struct{}
}

// retry is the condition for a further attempt.
type retry uint8

const (
	noRetry retry = iota
	retryOnOwnershipChange
	retryAfterBackoff
	retryWhenFinished
)

// Reply returns the reply to send if the request is not retried.
func (attemptresult AttemptResult) Reply() lagoonlanding.Reply { return attemptresult.reply }

// IsRetry reports whether a retry may have another result.
func (attemptresult AttemptResult) IsRetry() bool { return attemptresult.retry != noRetry }

// After merges the result with that of an earlier attempt: if that attempt may have run, the outcome is unknown even if this one was refused.
func (attemptresult AttemptResult) After(earlier AttemptResult) AttemptResult {
	mayHaveRun := earlier.reply.Outcome() == lagoonlanding.OutcomeUnknown && earlier.retry != retryWhenFinished
	if mayHaveRun && attemptresult.reply.Outcome() == lagoonlanding.OutcomeNotRun {
		attemptresult.reply = earlier.reply
	}
	return attemptresult
}

func finalResult(reply lagoonlanding.Reply) AttemptResult { return AttemptResult{reply: reply} }

// awaitRetry waits until the condition for a retry is met and reports whether to retry.
func (dispatcher *Dispatcher) awaitRetry(
	ctx context.Context, request lagoonlanding.Request, attemptresult AttemptResult, attempts int, changed <-chan struct{},
) bool {
	var backoff <-chan time.Time
	switch attemptresult.retry {
	case retryWhenFinished:
		changed = attemptresult.finished
	case retryAfterBackoff:
		at, ok := dispatcher.config.Retrier.Retry(dispatcher.config.Clock.Now(), request, attemptresult.reply, attempts)
		// Without retry budget only a change of ownership helps; it may have happened during the attempt.
		if !ok && !isOwnershipRefusal(attemptresult.reply) && attemptresult.reply.Reason() != lagoonlanding.ReasonConnectionLost {
			return false
		}
		if ok {
			changed = nil
			backoff = dispatcher.config.Clock.Until(at)
		}
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-backoff:
		return true
	}
}

// Attempt makes one attempt to serve the request without waiting for a change of ownership.
func (dispatcher *Dispatcher) Attempt(ctx context.Context, request lagoonlanding.Request) AttemptResult {
	snapshot := dispatcher.config.Snapshots.Current()
	now := dispatcher.config.Clock.Now()
	if !now.Before(request.Deadline()) {
		return finalResult(lagoonlanding.Refuse(request, lagoonlanding.ReasonDeadline).WithOwner(snapshot.Self()))
	}
	decision := snapshot.Decide(now, request)
	switch decision.Kind() {
	case router.KindServe:
		return dispatcher.serveOwned(ctx, snapshot, decision, request)
	case router.KindForward:
		return dispatcher.forward(ctx, snapshot, decision.To(), request)
	case router.KindPick:
		return dispatcher.serveUnsharded(ctx, snapshot, decision, request)
	case router.KindWait:
		return AttemptResult{reply: lagoonlanding.Refuse(request, decision.Reason()).WithOwner(snapshot.Self()), retry: retryOnOwnershipChange}
	}
	return finalResult(lagoonlanding.Refuse(request, decision.Reason()).WithOwner(snapshot.Self()))
}

// AwaitIdle waits until no request to the shard is in flight, or ctx ends.
func (dispatcher *Dispatcher) AwaitIdle(ctx context.Context, group lagoonlanding.GroupID, shard int) error {
	return dispatcher.counter.awaitIdle(ctx, lagoonlanding.NewShardID(group, shard))
}

// Export returns the deduplication records of the shard.
func (dispatcher *Dispatcher) Export(group lagoonlanding.GroupID, shard int) []lagoonlanding.Attempt {
	return dispatcher.config.Ledger.Export(dispatcher.config.Clock.Now(), lagoonlanding.NewShardID(group, shard))
}

// Import replaces the deduplication records of a shard and reports whether the new ones fit.
func (dispatcher *Dispatcher) Import(group lagoonlanding.GroupID, shard int, attempts []lagoonlanding.Attempt) bool {
	return dispatcher.config.Ledger.Import(dispatcher.config.Clock.Now(), lagoonlanding.NewShardID(group, shard), attempts)
}

// Drop deletes the deduplication records of a shard.
func (dispatcher *Dispatcher) Drop(group lagoonlanding.GroupID, shard int) {
	dispatcher.config.Ledger.Drop(lagoonlanding.NewShardID(group, shard))
}

// Loads returns the shards of the group with the highest load.
func (dispatcher *Dispatcher) Loads(group lagoonlanding.GroupID) []lagoonlanding.ShardLoad {
	return dispatcher.loads.busiest(dispatcher.config.Clock.Now(), group)
}
