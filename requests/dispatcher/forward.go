package dispatcher

import (
	"context"
	"errors"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// forward passes the request to another instance.
func (dispatcher *Dispatcher) forward(
	ctx context.Context, snapshot *router.Snapshot, to lagoonlanding.Instance, request lagoonlanding.Request,
) Step {
	if request.Hops() >= router.MaxHops {
		return final(lagoonlanding.Refuse(request, lagoonlanding.ReasonHopLimit).WithOwner(snapshot.Self()))
	}
	// A frozen instance would keep the request until its deadline.
	ctx, release := dispatcher.members.bind(ctx, to.ID())
	defer release()
	reply, err := dispatcher.config.Peers.Forward(ctx, to, request.Forwarded())
	if err != nil {
		return dispatcher.failedForward(snapshot, request, err)
	}
	if reply.RequestID() != request.ID() {
		return final(lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonMismatchedAnswer).WithOwner(to))
	}
	if isTransient(reply) && request.Hops() == 0 {
		return Step{reply: reply, retry: retryLater}
	}
	return final(reply)
}

func (dispatcher *Dispatcher) failedForward(snapshot *router.Snapshot, request lagoonlanding.Request, err error) Step {
	if errors.Is(err, lagoonlanding.ErrNotSent) {
		refusal := lagoonlanding.Refuse(request, lagoonlanding.ReasonUnreachable).WithOwner(snapshot.Self())
		if request.Hops() > 0 {
			return final(refusal)
		}
		return Step{reply: refusal, retry: retryLater}
	}
	unknown := lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonConnectionLost).WithOwner(snapshot.Self())
	if request.IsIdempotent() && request.Hops() == 0 {
		return Step{reply: unknown, retry: retryLater}
	}
	return final(unknown)
}

// isTransient reports whether the refusal of another instance may end soon without the caller doing anything.
func isTransient(reply lagoonlanding.Reply) bool {
	if reply.Outcome() != lagoonlanding.OutcomeNotRun {
		return false
	}
	switch reply.Reason() {
	case lagoonlanding.ReasonNotReady, lagoonlanding.ReasonNoOwner, lagoonlanding.ReasonMoving,
		lagoonlanding.ReasonLeaseLapsed, lagoonlanding.ReasonHopLimit, lagoonlanding.ReasonUnreachable,
		lagoonlanding.ReasonShuttingDown, lagoonlanding.ReasonTicketAhead:
		return true
	}
	return false
}
