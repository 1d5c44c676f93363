package forwarder

import (
	"context"

	"lagoonlanding.example/lagoonlanding"
)

// noteRefusal counts a refusal by a busy backend server, and keeps the earliest time at which one of them may take the request.
func (journey *journey) noteRefusal(backend lagoonlanding.Backend) {
	switch journey.result.Reason() {
	case lagoonlanding.ReasonQueueFull, lagoonlanding.ReasonUpstreamCold:
	default:
		return
	}
	journey.refusals[backend.Region()]++
	if retryAt := journey.result.RetryAt(); journey.retryAt.IsZero() || retryAt.Before(journey.retryAt) {
		journey.retryAt = retryAt
	}
	journey.result = journey.result.With(func(config *lagoonlanding.ResultConfig) { config.RetryAt = journey.retryAt })
}

// mayAsk reports whether the request may be offered to the backend server.
func (journey *journey) mayAsk(candidate lagoonlanding.Backend) bool {
	return journey.route.Allows(candidate.Region()) && !journey.tried[candidate.ID().Daemon()] && journey.refusals[candidate.Region()] < maxRefusals
}

// pick returns the backend server that the request goes to next.
func (forwarder *Forwarder) pick(journey *journey) (lagoonlanding.Backend, bool) {
	snapshot := forwarder.config.Snapshot()
	if journey.task.ShardKey() != lagoonlanding.NoShardKey {
		owner, ok := snapshot.Owner(journey.task.Service(), journey.task.ShardKey())
		return owner, ok && journey.route.Allows(owner.Region()) && !journey.tried[owner.ID().Daemon()]
	}
	var candidates []lagoonlanding.Backend
	for _, candidate := range snapshot.Candidates(journey.task.Service()) {
		if journey.mayAsk(candidate) {
			candidates = append(candidates, candidate)
		}
	}
	index := forwarder.config.Chooser.Choose(forwarder.config.Clock.Now(), candidates)
	if index < 0 {
		return lagoonlanding.Backend{}, false
	}
	return candidates[index], true
}

// isMoving reports whether the request is for keys on their way to an owner, so that another look may find one.
func (journey *journey) isMoving() bool {
	if journey.task.ShardKey() == lagoonlanding.NoShardKey {
		return false
	}
	switch journey.result.Reason() {
	case lagoonlanding.ReasonNone, lagoonlanding.ReasonMoving, lagoonlanding.ReasonNoUpstream, lagoonlanding.ReasonShuttingDown, lagoonlanding.ReasonNotReady:
		return true
	}
	return false
}

// wait lets a request for keys on their way look again, and refuses all others.
func (forwarder *Forwarder) wait(ctx context.Context, journey *journey) bool {
	now := forwarder.config.Clock.Now()
	if !journey.isMoving() || !now.Before(journey.waits) {
		if journey.result.Outcome() == 0 {
			journey.result = lagoonlanding.NotRun(lagoonlanding.ReasonNoUpstream, now.Add(comeBackTerm))
		}
		return false
	}
	select {
	case <-ctx.Done():
		journey.result = lagoonlanding.NotRun(lagoonlanding.ReasonDeadline, now)
		return false
	case <-forwarder.config.Clock.Until(now.Add(lookTerm)):
	}
	clear(journey.tried)
	return true
}
