package forwarder

import (
	"lagoonlanding.example/lagoonlanding"
)

// limits reports whether levels limit where the request goes next: work already begun has precedence, so they don't once a backend server has
// received it.
func (forwarder *Forwarder) limits(delivery *delivery) bool {
	return forwarder.config.Admission != nil && delivery.attempts == 0
}

// admitting returns the candidates that are likely to admit the request; if there were some and none is left, the request is refused here.
//
// The levels that the daemons have returned exclude those that admit only more important requests. After refusals, the share of refusals in a
// region decides whether a further backend server there is asked.
func (forwarder *Forwarder) admitting(delivery *delivery, candidates []lagoonlanding.Backend) []lagoonlanding.Backend {
	now := forwarder.config.Clock.Now()
	asks := map[string]bool{}
	likely := make([]lagoonlanding.Backend, 0, len(candidates))
	for _, candidate := range candidates {
		region := candidate.Region()
		asksMore, ok := asks[region]
		if !ok {
			refusals := delivery.refusals[region]
			asksMore = refusals == 0 && region == forwarder.config.Region || delivery.task.ShardKey() != lagoonlanding.NoShardKey ||
				forwarder.config.Admission.AsksMore(now, delivery.task.Service(), region, refusals)
			asks[region] = asksMore
		}
		if asksMore {
			likely = append(likely, candidate)
		}
	}
	likely = forwarder.config.Admission.Admitting(now, delivery.rank, likely)
	if len(likely) == 0 && len(candidates) > 0 && delivery.result.Outcome() == 0 {
		delivery.result = lagoonlanding.NotRun(lagoonlanding.ReasonQueueFull, now)
	}
	return likely
}

// setReturn sets when the client of a request that was refused because of the load is told to return.
func (forwarder *Forwarder) setReturn(delivery *delivery) {
	if forwarder.config.Admission == nil || delivery.result.Outcome() != lagoonlanding.OutcomeNotRun || !isBusy(delivery.result) {
		return
	}
	now := forwarder.config.Clock.Now()
	returnAt := forwarder.config.Admission.ReturnAt(now, delivery.retryAt, delivery.task.Deadline())
	delivery.result = delivery.result.With(func(config *lagoonlanding.ResultConfig) { config.RetryAt = returnAt })
}
