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

// serveOwned runs a request whose shard this instance owns.
func (dispatcher *Dispatcher) serveOwned(
	ctx context.Context, snapshot *router.Snapshot, decision router.Decision, request lagoonlanding.Request,
) Step {
	self := snapshot.Self()
	if request.Ticket().Revision() > snapshot.Revision() {
		// A newer layout that this instance has not heard of may have moved the shard.
		return Step{reply: lagoonlanding.Refuse(request, lagoonlanding.ReasonTicketAhead).WithOwner(self), retry: retryAtChange}
	}
	shard := lagoonlanding.NewShardID(decision.Fence().Group(), decision.Fence().Shard())
	dispatcher.counter.enter(shard)
	defer dispatcher.counter.leave(shard)
	// A drain that began before the request was counted does not wait for it.
	if _, ok := dispatcher.owns(decision.Fence()); !ok {
		return Step{reply: lagoonlanding.Refuse(request, lagoonlanding.ReasonMoving).WithOwner(self), retry: retryAtChange}
	}
	dispatcher.loads.add(dispatcher.config.Clock.Now(), shard)
	verdict := dispatcher.config.Ledger.Begin(dispatcher.config.Clock.Now(), shard, request, decision.Since())
	switch verdict.Kind() {
	case deduplicator.Run:
		reply := dispatcher.run(ctx, request, decision.Fence()).WithOwner(self)
		dispatcher.config.Ledger.Finish(verdict, reply)
		if reply.Reason() == lagoonlanding.ReasonLeaseLapsed {
			return Step{reply: reply, retry: retryAtChange}
		}
		return final(reply)
	case deduplicator.Wait:
		return Step{reply: verdict.Reply().WithOwner(self), retry: retryAtFinish, finished: verdict.Finished()}
	}
	return final(verdict.Reply().WithOwner(self))
}

// owns reports whether the lease over the fence's shard holds now under the fence's token, and returns the fence until it lapses.
func (dispatcher *Dispatcher) owns(fence lagoonlanding.Fence) (lagoonlanding.Fence, bool) {
	holding, ok := dispatcher.config.Snapshots.Current().Holding(fence.Group())
	if !ok || holding.Token(fence.Shard()) != fence.Token() || !dispatcher.config.Clock.Now().Before(holding.Deadline()) {
		return fence, false
	}
	return fence.WithDeadline(holding.Deadline()), true
}

// run waits for a slot and passes the request to the backend server beside this instance.
func (dispatcher *Dispatcher) run(ctx context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence) lagoonlanding.Reply {
	for {
		treatment := dispatcher.config.Quarantine.Check(dispatcher.config.Clock.Now(), request)
		if treatment == quarantiner.Stopped {
			return lagoonlanding.Refuse(request, lagoonlanding.ReasonQuarantined)
		}
		server, place, refusal := dispatcher.admit(ctx, request, treatment == quarantiner.Alone)
		if place == nil {
			return refusal
		}
		run, ok := dispatcher.config.Quarantine.Start(dispatcher.config.Clock.Now(), request, treatment)
		if !ok {
			// A crash during the wait has made the request a suspect.
			server.Leave(dispatcher.config.Clock.Now(), place, limiter.Unsent)
			continue
		}
		reply := dispatcher.send(ctx, request, fence)
		now := dispatcher.config.Clock.Now()
		if dispatcher.config.Quarantine.Finish(now, run, hasCrashed(ctx, reply)) {
			dispatcher.accuse(request.Key().Service())
		}
		server.Leave(now, place, result(ctx, reply))
		return reply
	}
}

// hasCrashed reports whether the backend server seems to have crashed with the request.
func hasCrashed(ctx context.Context, reply lagoonlanding.Reply) bool {
	return ctx.Err() == nil && reply.Reason() == lagoonlanding.ReasonConnectionLost
}

// send passes the request to the backend server, if the lease still holds after the wait for the slot.
func (dispatcher *Dispatcher) send(ctx context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence) lagoonlanding.Reply {
	if !dispatcher.config.Clock.Now().Before(request.Deadline()) {
		return lagoonlanding.Refuse(request, lagoonlanding.ReasonDeadline)
	}
	if !fence.IsZero() {
		leased, ok := dispatcher.owns(fence)
		if !ok {
			return lagoonlanding.Refuse(request, lagoonlanding.ReasonLeaseLapsed)
		}
		fence = leased
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
