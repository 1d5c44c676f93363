package limiter

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Admission is a request that is queued, running or refused.
type Admission struct {
	request      lagoonlanding.QueuedRequest
	decided      chan struct{}
	isDecided    bool
	isRunning    bool
	reason       lagoonlanding.Reason
	retryAt      time.Time
	started      time.Time
	resets       uint64
	limitChanges uint64
}

// Decided returns a channel that is closed once the request has a slot or is refused; the accessors may only be used from then on.
func (admission *Admission) Decided() <-chan struct{} { return admission.decided }

// QueuedRequest returns the request of the admission.
func (admission *Admission) QueuedRequest() lagoonlanding.QueuedRequest { return admission.request }

// Reason returns why the request is refused, or ReasonNone if it has a slot.
func (admission *Admission) Reason() lagoonlanding.Reason { return admission.reason }

// RetryAt returns when a refused request may be retried.
func (admission *Admission) RetryAt() time.Time { return admission.retryAt }

func (admission *Admission) decide(reason lagoonlanding.Reason) {
	admission.isDecided = true
	admission.reason = reason
	close(admission.decided)
}

// Acquire waits for a slot and returns the decided admission, which must be passed to Release if it has no reason.
func (limiter *Limiter) Acquire(ctx context.Context, clock lagoonlanding.Clock, queuedrequest lagoonlanding.QueuedRequest) *Admission {
	admission := limiter.Enqueue(clock.Now(), queuedrequest)
	var deadlinePassed <-chan time.Time
	if !admission.hasDecision() && !queuedrequest.Deadline().IsZero() {
		deadlinePassed = clock.Until(queuedrequest.Deadline())
	}
	reason := lagoonlanding.ReasonDeadline
	select {
	case <-admission.decided:
		return admission
	case <-deadlinePassed:
	case <-ctx.Done():
		reason = lagoonlanding.ReasonCancelled
	}
	if !limiter.Cancel(clock.Now(), admission, reason) && admission.reason == lagoonlanding.ReasonNone {
		limiter.releaseUnused(clock.Now(), admission, reason)
	}
	return admission
}

// hasDecision reports whether the request is decided; unlike isDecided, it may be used without the limiter's mutex.
func (admission *Admission) hasDecision() bool {
	select {
	case <-admission.decided:
		return true
	default:
		return false
	}
}

// releaseUnused refuses a request that got its slot at the moment when its wait ended.
func (limiter *Limiter) releaseUnused(now time.Time, admission *Admission, reason lagoonlanding.Reason) {
	limiter.Release(now, admission, Unsent)
	admission.reason = reason
}
