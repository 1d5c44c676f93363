package forwarder

import (
	"context"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

// recordRefusal counts a refusal by a busy backend server; one outside the daemon's region ends the tries there. It keeps the earliest time at which a retry may succeed.
func (delivery *delivery) recordRefusal(backend lagoonlanding.Backend, region string) {
	if !isBusy(delivery.result) {
		return
	}
	delivery.refusals[backend.Region()]++
	if backend.Region() != region {
		delivery.refusals[backend.Region()] = maxRefusals
	}
	if retryAt := delivery.result.RetryAt(); delivery.retryAt.IsZero() || retryAt.Before(delivery.retryAt) {
		delivery.retryAt = retryAt
	}
	delivery.result = delivery.result.With(func(config *lagoonlanding.ResultConfig) { config.RetryAt = delivery.retryAt })
}

// end sets the result of a request that is not tried again, unless there is an answer to return.
func (delivery *delivery) end(result lagoonlanding.Result) {
	if delivery.result.Outcome() != lagoonlanding.OutcomeAnswered {
		delivery.result = result
	}
}

// correctOutcome replaces the refusal of the last try if an earlier try may have run the request.
func (delivery *delivery) correctOutcome() {
	if delivery.task.IsRepeated() && delivery.result.Outcome() == lagoonlanding.OutcomeNotRun {
		delivery.result = lagoonlanding.MayHaveRun(delivery.result.Reason())
	}
}

// isEligible reports whether the request may be sent to the backend server.
func (delivery *delivery) isEligible(candidate lagoonlanding.Backend) bool {
	return delivery.AllowsRegion(candidate.Region()) && delivery.isNew(candidate)
}

// eligible returns the candidates to which the request may be sent.
func (delivery *delivery) eligible(candidates []lagoonlanding.Backend) []lagoonlanding.Backend {
	var eligible []lagoonlanding.Backend
	for _, candidate := range candidates {
		if delivery.isEligible(candidate) {
			eligible = append(eligible, candidate)
		}
	}
	return eligible
}

// isBusy reports whether the gate of a backend server refused the task because it was busy.
func isBusy(result lagoonlanding.Result) bool {
	switch result.Reason() {
	case lagoonlanding.ReasonQueueFull, lagoonlanding.ReasonUpstreamCold, lagoonlanding.ReasonUpstreamLimited:
		return true
	}
	return false
}

var _ lagoonlanding.CandidateFilter = (*delivery)(nil)

// AllowsRegion reports whether the request may be sent to backend servers of the region.
func (delivery *delivery) AllowsRegion(region string) bool {
	return delivery.allows(region) && delivery.refusals[region] < maxRefusals
}

// Allows reports whether the request may be sent to the backend server, if its region is allowed.
func (delivery *delivery) Allows(candidate lagoonlanding.Backend) bool {
	return delivery.isNew(candidate)
}

// isNew reports whether the request has not been sent to the daemon since the last wait, and has never reached its backend server.
func (delivery *delivery) isNew(candidate lagoonlanding.Backend) bool {
	return !delivery.tried[candidate.ID().Daemon()] && !delivery.received[candidate.ID()]
}

// pick returns the backend server for the next try.
func (forwarder *Forwarder) pick(delivery *delivery) (lagoonlanding.Backend, bool) {
	snapshot := forwarder.config.Snapshot()
	if delivery.task.ShardKey() != lagoonlanding.NoShardKey {
		owner, ok := snapshot.Owner(delivery.task.Service(), delivery.task.ShardKey())
		ok = ok && delivery.allows(owner.Region()) && delivery.isNew(owner)
		return owner, ok && (!forwarder.limits(delivery) || len(forwarder.admitting(delivery, []lagoonlanding.Backend{owner})) > 0)
	}
	if forwarder.config.Chooser.Samples() {
		return forwarder.sample(delivery, need(snapshot, delivery), snapshot.Candidates(delivery.task.Service()))
	}
	candidates := delivery.eligible(snapshot.Candidates(delivery.task.Service()))
	if forwarder.limits(delivery) {
		candidates = forwarder.admitting(delivery, candidates)
	}
	index := forwarder.config.Chooser.Choose(forwarder.config.Clock.Now(), candidates)
	if index < 0 {
		return lagoonlanding.Backend{}, false
	}
	return candidates[index], true
}

// need returns what the choice of a backend server depends on.
func need(snapshot *coordinator.Snapshot, delivery *delivery) lagoonlanding.Need {
	coldRate := 0.0
	if snapshot.Routing() != nil {
		if policy, ok := snapshot.Routing().Service(delivery.task.Service()); ok {
			coldRate = policy.ColdRate()
		}
	}
	answerBy := delivery.task.Objective()
	if answerBy.IsZero() {
		answerBy = delivery.task.Deadline()
	}
	return lagoonlanding.NewNeed(answerBy, delivery.task.BodyLength(), coldRate)
}

// isKeyMoving reports whether the owner of the shard key is unknown, moving or unavailable, so that a later lookup may find the next owner.
func (delivery *delivery) isKeyMoving() bool {
	if delivery.task.ShardKey() == lagoonlanding.NoShardKey {
		return false
	}
	switch delivery.result.Reason() {
	case lagoonlanding.ReasonNone, lagoonlanding.ReasonMoving, lagoonlanding.ReasonNoUpstream, lagoonlanding.ReasonShuttingDown, lagoonlanding.ReasonNotReady:
		return true
	}
	return false
}

// wait waits before the next lookup of the owner of a moving shard; it returns false if the request is not to be tried again.
func (forwarder *Forwarder) wait(ctx context.Context, delivery *delivery) bool {
	now := forwarder.config.Clock.Now()
	if !delivery.isKeyMoving() || !now.Before(delivery.waitUntil) {
		if delivery.result.Outcome() == 0 {
			delivery.result = lagoonlanding.NotRun(lagoonlanding.ReasonNoUpstream, now.Add(defaultRetryDelay))
		}
		return false
	}
	select {
	case <-ctx.Done():
		delivery.end(lagoonlanding.NotRun(lagoonlanding.ReasonDeadline, now))
		return false
	case <-forwarder.config.Clock.Until(now.Add(ownerPollInterval)):
	}
	clear(delivery.tried)
	return true
}
