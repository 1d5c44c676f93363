package dispatcher

import (
	"context"
	"errors"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// forward sends the request to another instance.
func (dispatcher *Dispatcher) forward(
	ctx context.Context, snapshot *router.Snapshot, to lagoonlanding.Instance, request lagoonlanding.Request,
) AttemptResult {
	if request.Hops() >= router.MaxHops {
		return finalResult(lagoonlanding.Refuse(request, lagoonlanding.ReasonHopLimit).WithOwner(snapshot.Self()))
	}
	// The forward ends with the target's membership: a hung instance would otherwise hold the request until its deadline.
	ctx, release := dispatcher.members.bind(ctx, to.ID())
	defer release()
	reply, err := dispatcher.config.Peers.Forward(ctx, to, request.Forwarded())
	if err != nil {
		return dispatcher.forwardError(snapshot, request, err)
	}
	if reply.RequestID() != request.ID() {
		return finalResult(lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonMismatchedAnswer).WithOwner(to))
	}
	if isOwnershipRefusal(reply) && request.Hops() == 0 {
		return AttemptResult{reply: reply, retry: retryAfterBackoff}
	}
	return finalResult(reply)
}

func (dispatcher *Dispatcher) forwardError(snapshot *router.Snapshot, request lagoonlanding.Request, err error) AttemptResult {
	if errors.Is(err, lagoonlanding.ErrNotSent) {
		refusal := lagoonlanding.Refuse(request, lagoonlanding.ReasonUnreachable).WithOwner(snapshot.Self())
		if request.Hops() > 0 {
			return finalResult(refusal)
		}
		return AttemptResult{reply: refusal, retry: retryAfterBackoff}
	}
	unknown := lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonConnectionLost).WithOwner(snapshot.Self())
	if request.IsIdempotent() && request.Hops() == 0 {
		return AttemptResult{reply: unknown, retry: retryAfterBackoff}
	}
	return finalResult(unknown)
}

// isOwnershipRefusal reports whether the request was refused for a reason that may no longer apply after a change of ownership.
func isOwnershipRefusal(reply lagoonlanding.Reply) bool {
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
