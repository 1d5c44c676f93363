package limiter

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// refusalReason returns why a request cannot be queued; if the queue is full, it may evict a request of a tenant with more requests.
func (limiter *Limiter) refusalReason(queuedrequest lagoonlanding.QueuedRequest) lagoonlanding.Reason {
	switch {
	case limiter.draining:
		return lagoonlanding.ReasonShuttingDown
	case queuedrequest.Limit() > 0 && limiter.tenantCounts[queuedrequest.Tenant()] >= queuedrequest.Limit():
		return lagoonlanding.ReasonTenantLimit
	case len(limiter.admissions)-limiter.inFlight < limiter.config.Queue:
		return lagoonlanding.ReasonNone
	case limiter.inFlight < limiter.slowStart.limit && len(limiter.admissions) == limiter.inFlight:
		return lagoonlanding.ReasonNone
	}
	evicted := limiter.evictionCandidate(queuedrequest)
	if evicted == nil {
		return lagoonlanding.ReasonQueueFull
	}
	limiter.dequeue(evicted)
	evicted.retryAt = limiter.retryAt(queuedrequest.Arrived())
	evicted.decide(lagoonlanding.ReasonQueueFull)
	return lagoonlanding.ReasonNone
}

// evictionCandidate returns the newest queued request of the tenant with the most requests relative to its weight, or nil if that is
// the tenant of the arriving request.
func (limiter *Limiter) evictionCandidate(arriving lagoonlanding.QueuedRequest) *Admission {
	weightedCount := func(queuedrequest lagoonlanding.QueuedRequest, extra int) float64 {
		return float64(limiter.tenantCounts[queuedrequest.Tenant()]+extra) / float64(queuedrequest.Weight())
	}
	var evicted *Admission
	highest := weightedCount(arriving, 1)
	for _, admission := range limiter.admissions {
		if admission.isDecided {
			continue
		}
		count := weightedCount(admission.request, 0)
		switch {
		case count > highest:
			evicted, highest = admission, count
		case evicted != nil && count == highest && admission.request.ID() > evicted.request.ID():
			evicted = admission
		}
	}
	return evicted
}

// dequeue removes a request from the queue.
func (limiter *Limiter) dequeue(admission *Admission) {
	if admission.request.IsExclusive() {
		limiter.exclusive = slices.DeleteFunc(limiter.exclusive, func(other *Admission) bool { return other == admission })
	} else {
		limiter.config.Scheduler.Remove(admission.request)
	}
	limiter.remove(admission)
}

// retryAt estimates when the requests that are queued now will have run.
func (limiter *Limiter) retryAt(now time.Time) time.Time {
	queued := len(limiter.admissions) - limiter.inFlight
	rounds := queued/limiter.slowStart.limit + 1
	return now.Add(time.Duration(rounds) * limiter.slowStart.meanServiceTime())
}
