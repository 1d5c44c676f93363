package dispatcher

import (
	"context"
	"errors"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/deduplicator"
	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// serveOwned serves a request to a shard that this instance owns.
func (dispatcher *Dispatcher) serveOwned(
	ctx context.Context, snapshot *router.Snapshot, decision router.Decision, request lagoonlanding.Request,
) AttemptResult {
	self := snapshot.Self()
	if request.Ticket().Revision() > snapshot.Revision() {
		// A newer layout that this instance does not know yet may have moved the shard.
		return AttemptResult{reply: lagoonlanding.Refuse(request, lagoonlanding.ReasonTicketAhead).WithOwner(self), retry: retryOnOwnershipChange}
	}
	shard := lagoonlanding.NewShardID(decision.Fence().Group(), decision.Fence().Shard())
	dispatcher.counter.increment(shard)
	defer dispatcher.counter.decrement(shard)
	// Ownership is checked again after the increment: a drain that began before it does not wait for this request.
	if _, ok := dispatcher.owns(decision.Fence()); !ok {
		return AttemptResult{reply: lagoonlanding.Refuse(request, lagoonlanding.ReasonMoving).WithOwner(self), retry: retryOnOwnershipChange}
	}
	dispatcher.loads.add(dispatcher.config.Clock.Now(), shard)
	verdict := dispatcher.config.Ledger.Begin(dispatcher.config.Clock.Now(), shard, request, decision.Since())
	switch verdict.Kind() {
	case deduplicator.Run:
		reply := dispatcher.run(ctx, request, decision.Fence()).WithOwner(self)
		dispatcher.config.Ledger.Finish(verdict, reply)
		if reply.Reason() == lagoonlanding.ReasonLeaseLapsed {
			return AttemptResult{reply: reply, retry: retryOnOwnershipChange}
		}
		return finalResult(reply)
	case deduplicator.Wait:
		return AttemptResult{reply: verdict.Reply().WithOwner(self), retry: retryWhenFinished, finished: verdict.Finished()}
	}
	return finalResult(verdict.Reply().WithOwner(self))
}

// owns reports whether the lease on the fence's shard is valid for the fence's token, and returns the fence with the lease's expiry as deadline.
func (dispatcher *Dispatcher) owns(fence lagoonlanding.Fence) (lagoonlanding.Fence, bool) {
	lease, ok := dispatcher.config.Snapshots.Current().Lease(fence.Group())
	if !ok || lease.Token(fence.Shard()) != fence.Token() || !dispatcher.config.Clock.Now().Before(lease.Deadline()) {
		return fence, false
	}
	return fence.WithDeadline(lease.Deadline()), true
}

// run waits for a slot and sends the request to the backend server of this instance.
func (dispatcher *Dispatcher) run(ctx context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence) lagoonlanding.Reply {
	for {
		treatment := dispatcher.config.Quarantine.Check(dispatcher.config.Clock.Now(), request)
		if treatment == quarantiner.Refused {
			return lagoonlanding.Refuse(request, lagoonlanding.ReasonQuarantined)
		}
		backendlimiter, admission, refusal := dispatcher.admit(ctx, request, treatment == quarantiner.Exclusive)
		if admission == nil {
			return refusal
		}
		run, ok := dispatcher.config.Quarantine.Start(dispatcher.config.Clock.Now(), request, treatment)
		if !ok {
			// The request has become a suspect of a crash while it was queued.
			backendlimiter.Release(dispatcher.config.Clock.Now(), admission, limiter.Unsent)
			continue
		}
		reply := dispatcher.send(ctx, request, fence)
		now := dispatcher.config.Clock.Now()
		if dispatcher.config.Quarantine.Finish(now, run, hasCrashed(ctx, reply)) {
			dispatcher.shareSuspects(request.Key().Service())
		}
		backendlimiter.Release(now, admission, resultOf(ctx, reply))
		return reply
	}
}

// hasCrashed reports whether the backend server appears to have crashed while it processed the request.
func hasCrashed(ctx context.Context, reply lagoonlanding.Reply) bool {
	return ctx.Err() == nil && reply.Reason() == lagoonlanding.ReasonConnectionLost
}

// send sends the request to the backend server if the lease is still valid after the wait for the slot.
func (dispatcher *Dispatcher) send(ctx context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence) lagoonlanding.Reply {
	if !dispatcher.config.Clock.Now().Before(request.Deadline()) {
		return lagoonlanding.Refuse(request, lagoonlanding.ReasonDeadline)
	}
	if !fence.IsZero() {
		renewed, ok := dispatcher.owns(fence)
		if !ok {
			return lagoonlanding.Refuse(request, lagoonlanding.ReasonLeaseLapsed)
		}
		fence = renewed
	}
	reply, err := dispatcher.config.Upstream.Serve(ctx, request, fence)
	if errors.Is(err, lagoonlanding.ErrNotSent) {
		return lagoonlanding.Refuse(request, lagoonlanding.ReasonUpstreamFailed)
	}
	if err != nil {
		return lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonConnectionLost)
	}
	if reply.RequestID() != request.ID() {
		return lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonMismatchedAnswer)
	}
	return reply
}
