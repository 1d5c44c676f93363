package dispatcher

import (
	"context"
	"errors"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/router"
)

// forward passes the request to another instance.
func (dispatcher *Dispatcher) forward(
	ctx context.Context, snapshot *router.Snapshot, to lagoonlanding.Instance, request lagoonlanding.Request,
) Step {
	if request.Hops() >= router.MaxHops {
		return final(lagoonlanding.Refuse(request, lagoonlanding.ReasonHopLimit).By(snapshot.Self()))
	}
	// A frozen instance would keep the request until its deadline.
	ctx, release := dispatcher.members.bind(ctx, to.ID())
	defer release()
	reply, err := dispatcher.config.Peers.Forward(ctx, to, request.Forwarded())
	if err != nil {
		return dispatcher.failedForward(snapshot, request, err)
	}
	if reply.RequestID() != request.ID() {
		return final(lagoonlanding.Unknown(request, lagoonlanding.ReasonMismatchedAnswer).By(to))
	}
	if reply.Outcome() == lagoonlanding.OutcomeNotRun && isTransient(reply.Reason()) && request.Hops() == 0 {
		return Step{reply: reply, retry: retryLater}
	}
	return final(reply)
}

func (dispatcher *Dispatcher) failedForward(snapshot *router.Snapshot, request lagoonlanding.Request, err error) Step {
	if errors.Is(err, lagoonlanding.ErrNotSent) {
		refusal := lagoonlanding.Refuse(request, lagoonlanding.ReasonUnreachable).By(snapshot.Self())
		if request.Hops() > 0 {
			return final(refusal)
		}
		return Step{reply: refusal, retry: retryLater}
	}
	unknown := lagoonlanding.Unknown(request, lagoonlanding.ReasonConnectionLost).By(snapshot.Self())
	if request.IsIdempotent() && request.Hops() == 0 {
		return Step{reply: unknown, retry: retryLater}
	}
	return final(unknown)
}

// isTransient reports whether the refusal of another instance may end soon without the caller doing anything.
func isTransient(reason lagoonlanding.Reason) bool {
	switch reason {
	case lagoonlanding.ReasonNotReady, lagoonlanding.ReasonNoOwner, lagoonlanding.ReasonMoving,
		lagoonlanding.ReasonLeaseLapsed, lagoonlanding.ReasonHopLimit, lagoonlanding.ReasonUnreachable,
		lagoonlanding.ReasonShuttingDown, lagoonlanding.ReasonTicketAhead:
		return true
	}
	return false
}

// servePicked serves a request that any member may serve.
func (dispatcher *Dispatcher) servePicked(
	ctx context.Context, snapshot *router.Snapshot, decision router.Decision, request lagoonlanding.Request,
) Step {
	self := snapshot.Self()
	picked := nearest(self, decision.Members())
	if request.Hops() > 0 || picked.ID() == self.ID() {
		if !snapshot.IsLeased(dispatcher.config.Clock.Now(), request.Key().Service()) {
			return Step{reply: lagoonlanding.Refuse(request, lagoonlanding.ReasonLeaseLapsed).By(self), retry: retryAtChange}
		}
		return final(dispatcher.run(ctx, request, lagoonlanding.Fence{}).By(self))
	}
	return dispatcher.forward(ctx, snapshot, picked, request)
}

// nearest returns this instance if it is a member, else a member of its zone, of its region, or any.
func nearest(self lagoonlanding.Instance, members []lagoonlanding.Member) lagoonlanding.Instance {
	best, distance := members[0].Instance(), distant(self, members[0].Instance())
	for _, member := range members[1:] {
		if other := distant(self, member.Instance()); other < distance {
			best, distance = member.Instance(), other
		}
	}
	return best
}

func distant(self, other lagoonlanding.Instance) int {
	switch {
	case self.ID() == other.ID():
		return 0
	case self.AvailabilityZone() == other.AvailabilityZone():
		return 1
	case self.Region() == other.Region():
		return 2
	}
	return 3
}
