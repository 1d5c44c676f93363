package forwarder

import (
	"time"

	"github.com/sirupsen/logrus"

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
		asksMore, ok := asks[candidate.Region()]
		if !ok {
			asksMore = forwarder.asksMore(now, delivery, candidate.Region())
			asks[candidate.Region()] = asksMore
		}
		if asksMore {
			likely = append(likely, candidate)
		}
	}
	likely = forwarder.config.Admission.Admitting(now, delivery.rank, likely)
	if len(likely) == 0 {
		delivery.refuseAtOrigin(now, candidates)
	}
	return likely
}

// asksMore reports whether the request asks a further backend server of the region, according to the share of refusals there.
func (forwarder *Forwarder) asksMore(now time.Time, delivery *delivery, region string) bool {
	refusals := delivery.refusals[region]
	return refusals == 0 && region == forwarder.config.Region || delivery.task.ShardKey() != lagoonlanding.NoShardKey ||
		forwarder.config.Admission.AsksMore(now, delivery.task.Service(), region, refusals)
}

// refuseAtOrigin refuses the request before any hop, unless there are no candidates or one was asked already.
func (delivery *delivery) refuseAtOrigin(now time.Time, candidates []lagoonlanding.Backend) {
	if len(candidates) > 0 && delivery.result.Outcome() == 0 {
		delivery.result, delivery.atOrigin, delivery.asked = lagoonlanding.NotRun(lagoonlanding.ReasonQueueFull, now), true, candidates
	}
}

// sample picks one of the candidates that are likely to admit the request, from some drawn at random; if there are none, the request is refused here.
func (forwarder *Forwarder) sample(delivery *delivery, need lagoonlanding.Need, candidates []lagoonlanding.Backend) (lagoonlanding.Backend, bool) {
	now := forwarder.config.Clock.Now()
	if !forwarder.limits(delivery) {
		return forwarder.config.Chooser.Pick(now, need, candidates, delivery)
	}
	filter := &levelFilter{forwarder: forwarder, delivery: delivery, now: now}
	picked, ok := forwarder.config.Chooser.Pick(now, need, candidates, filter)
	if !ok && forwarder.config.Admission.Probes() {
		filter.ignoresLevels = true
		picked, ok = forwarder.config.Chooser.Pick(now, need, candidates, filter)
	}
	if !ok {
		delivery.refuseAtOrigin(now, delivery.eligible(candidates))
	}
	return picked, ok
}

// levelFilter excludes the backend servers that are not likely to admit a request.
type levelFilter struct {
	forwarder *Forwarder
	delivery  *delivery
	now       time.Time
	// ignoresLevels means that the request probes for room that has appeared since the levels were returned.
	ignoresLevels bool
}

var _ lagoonlanding.CandidateFilter = (*levelFilter)(nil)

// AllowsRegion reports whether the request may be sent to backend servers of the region.
func (levelfilter *levelFilter) AllowsRegion(region string) bool {
	return levelfilter.delivery.AllowsRegion(region) && levelfilter.forwarder.asksMore(levelfilter.now, levelfilter.delivery, region)
}

// Allows reports whether the request may be sent to the backend server, if its region is allowed.
func (levelfilter *levelFilter) Allows(candidate lagoonlanding.Backend) bool {
	return levelfilter.delivery.Allows(candidate) &&
		(levelfilter.ignoresLevels || levelfilter.forwarder.config.Admission.Admits(levelfilter.now, levelfilter.delivery.rank, candidate.ID().Daemon()))
}

// setReturn sets when the client of a request that was refused because of the load is told to return.
func (forwarder *Forwarder) setReturn(delivery *delivery) {
	if forwarder.config.Admission == nil || delivery.result.Outcome() != lagoonlanding.OutcomeNotRun || !isBusy(delivery.result) {
		return
	}
	now := forwarder.config.Clock.Now()
	returnAt := forwarder.config.Admission.ReturnAt(now, delivery.retryAt, delivery.task.Deadline())
	delivery.result = delivery.result.With(func(config *lagoonlanding.ResultConfig) { config.RetryAt = returnAt })
	forwarder.config.Returns.Refused(now, delivery.task, returnAt)
}

// recordAdmission counts a refusal by a gate, and the time after which the request was sent to the first backend server that received it.
func (forwarder *Forwarder) recordAdmission(delivery *delivery, sentAt time.Time) {
	if forwarder.config.Admission == nil {
		return
	}
	switch {
	case isBusy(delivery.result):
		forwarder.config.AdmissionMeter.Refused(delivery.task, lagoonlanding.RefusedAtGate)
	case delivery.result.IsDelivered() && delivery.attempts == 0:
		forwarder.config.AdmissionMeter.ReachedServer(delivery.task, sentAt.Sub(delivery.task.Received()))
	}
}

// recordOriginRefusal counts and logs the refusal of a request before any hop.
func (forwarder *Forwarder) recordOriginRefusal(delivery *delivery) {
	forwarder.config.AdmissionMeter.Refused(delivery.task, lagoonlanding.RefusedAtOrigin)
	now := forwarder.config.Clock.Now()
	level, age := forwarder.config.Admission.Highest(now, delivery.asked)
	forwarder.config.Log.WithFields(logrus.Fields{
		"request": delivery.task.ID(), "route": delivery.task.Route(), "service": delivery.task.Service(), "rank": int(delivery.rank),
		"level": level, "level-age-ms": age.Milliseconds(), "backend-servers": len(delivery.asked),
		"retry-after-ms": delivery.result.RetryAt().Sub(now).Milliseconds(),
	}).Info("Request refused at its origin by the admission levels.")
}
