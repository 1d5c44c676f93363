package limiter

import (
	"fmt"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Config holds the limits of the backend server and its queue.
type Config struct {
	// Slots is the maximum concurrency of the backend server when it is warm.
	Slots int
	// Connections bounds the connections to the backend server; zero means no limit.
	Connections int
	// Queue bounds the number of queued requests.
	Queue int
	// Scheduler selects the queued request that runs next.
	Scheduler lagoonlanding.Scheduler
	// Warm disables the slow start; it is for benchmark baselines and tests.
	Warm bool
}

// Limiter limits the requests in flight at one backend server and queues the others; it is safe for concurrent use.
//
// All requests to the backend server pass through it, so its counts are exact.
type Limiter struct {
	config Config

	mutex              sync.Mutex
	slowStart          *slowStart
	admissions         map[uint64]*Admission
	exclusive          []*Admission
	tenantCounts       map[string]int
	lastID             uint64
	inFlight           int
	isExclusiveRunning bool
	draining           bool
	drained            chan struct{}
}

// NewLimiter returns a limiter for a cold backend server.
func NewLimiter(config Config) *Limiter {
	limiter := &Limiter{
		config: config, admissions: map[uint64]*Admission{}, tenantCounts: map[string]int{}, drained: make(chan struct{}),
		slowStart: newSlowStart(maxLimit(config.Slots, config.Connections)),
	}
	if config.Warm {
		limiter.slowStart.limit = limiter.slowStart.maximum
	}
	return limiter
}

// Enqueue adds a request, which is admitted or refused at once or by a later call of Release.
func (limiter *Limiter) Enqueue(now time.Time, queuedrequest lagoonlanding.QueuedRequest) *Admission {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.lastID++
	admission := &Admission{request: queuedrequest.WithID(limiter.lastID, now), decided: make(chan struct{})}
	if limiter.inFlight == 0 && !limiter.config.Warm {
		limiter.slowStart.resetIfIdle(now)
	}
	if reason := limiter.refusalReason(admission.request); reason != lagoonlanding.ReasonNone {
		admission.retryAt = limiter.retryAt(now)
		admission.decide(reason)
		return admission
	}
	limiter.admissions[admission.request.ID()] = admission
	limiter.tenantCounts[queuedrequest.Tenant()]++
	if queuedrequest.IsExclusive() {
		limiter.exclusive = append(limiter.exclusive, admission)
	} else {
		limiter.config.Scheduler.Add(admission.request)
	}
	limiter.admitQueued(now)
	return admission
}

// Release frees the slot of a request for the next one and records the result.
func (limiter *Limiter) Release(now time.Time, admission *Admission, result Result) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if !admission.isRunning {
		panic("limiter: release of a request that is not running")
	}
	admission.isRunning = false
	limiter.inFlight--
	took := max(now.Sub(admission.started), 1)
	if result == Unsent || result == Unreachable {
		took = 0
	}
	if admission.request.IsExclusive() {
		limiter.isExclusiveRunning = false
	} else {
		limiter.config.Scheduler.Finish(admission.request, took)
	}
	if !limiter.config.Warm {
		limiter.slowStart.observe(now, admission, result)
	}
	limiter.remove(admission)
	limiter.admitQueued(now)
}

// Cancel removes a request from the queue and refuses it with the reason; it returns false if the request was already decided.
func (limiter *Limiter) Cancel(now time.Time, admission *Admission, reason lagoonlanding.Reason) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if admission.isDecided {
		return false
	}
	limiter.dequeue(admission)
	admission.retryAt = limiter.retryAt(now)
	admission.decide(reason)
	limiter.admitQueued(now)
	return true
}

// OnRestart resets the concurrency limit after the backend server has started or become reachable again, since it may be cold.
func (limiter *Limiter) OnRestart() {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.slowStart.reset()
}

// Drain refuses new requests and returns a channel that is closed once all queued and running requests have finished.
func (limiter *Limiter) Drain() <-chan struct{} {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.draining = true
	limiter.notifyDrained()
	return limiter.drained
}

// Load returns the numbers of requests in flight and queued.
func (limiter *Limiter) Load() (inFlight, queued int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.inFlight, len(limiter.admissions) - limiter.inFlight
}

// Limit returns the current limit of requests in flight.
func (limiter *Limiter) Limit() int {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.slowStart.limit
}

// admitQueued starts queued requests while slots are free, and refuses those that would miss their deadlines.
func (limiter *Limiter) admitQueued(now time.Time) {
	for limiter.inFlight < limiter.slowStart.limit && !limiter.isExclusiveRunning {
		admission, ok := limiter.dequeueNext(now)
		if !ok {
			return
		}
		if limiter.missesDeadline(now, admission) {
			limiter.refuseExpired(now, admission)
			continue
		}
		limiter.start(now, admission)
	}
}

// dequeueNext returns the next request to run; an exclusive request waits until no other is running and blocks later ones.
func (limiter *Limiter) dequeueNext(now time.Time) (*Admission, bool) {
	if len(limiter.exclusive) > 0 {
		if limiter.inFlight > 0 {
			return nil, false
		}
		admission := limiter.exclusive[0]
		limiter.exclusive = limiter.exclusive[1:]
		return admission, true
	}
	queuedrequest, ok := limiter.config.Scheduler.Next(now)
	if !ok {
		return nil, false
	}
	return limiter.admissions[queuedrequest.ID()], true
}

func (limiter *Limiter) start(now time.Time, admission *Admission) {
	if limiter.inFlight >= limiter.slowStart.limit || limiter.slowStart.limit > limiter.slowStart.maximum || limiter.isExclusiveRunning {
		panic(fmt.Sprintf("limiter: request %d would exceed the limit of %d", admission.request.ID(), limiter.slowStart.limit))
	}
	limiter.slowStart.lastActivity = now
	limiter.inFlight++
	limiter.isExclusiveRunning = admission.request.IsExclusive()
	admission.started = now
	admission.resets, admission.limitChanges = limiter.slowStart.resets, limiter.slowStart.limitChanges
	admission.isRunning = true
	admission.decide(lagoonlanding.ReasonNone)
}

func (limiter *Limiter) refuseExpired(now time.Time, admission *Admission) {
	if !admission.request.IsExclusive() {
		limiter.config.Scheduler.Finish(admission.request, 0)
	}
	limiter.remove(admission)
	admission.retryAt = limiter.retryAt(now)
	admission.decide(lagoonlanding.ReasonDeadline)
}

// missesDeadline reports whether the request cannot finish before its deadline; while no request is in flight, the estimated
// service time is not used, since a wrong estimate could otherwise refuse every request that would correct it.
func (limiter *Limiter) missesDeadline(now time.Time, admission *Admission) bool {
	deadline := admission.request.Deadline()
	if deadline.IsZero() {
		return false
	}
	if limiter.inFlight == 0 {
		return !now.Before(deadline)
	}
	return !now.Add(limiter.slowStart.minServiceTime(admission.request.Class())).Before(deadline)
}

// remove deletes a request that is no longer queued or running.
func (limiter *Limiter) remove(admission *Admission) {
	delete(limiter.admissions, admission.request.ID())
	tenant := admission.request.Tenant()
	limiter.tenantCounts[tenant]--
	if limiter.tenantCounts[tenant] == 0 {
		delete(limiter.tenantCounts, tenant)
	}
	limiter.notifyDrained()
}

func (limiter *Limiter) notifyDrained() {
	if !limiter.draining || len(limiter.admissions) > 0 {
		return
	}
	select {
	case <-limiter.drained:
	default:
		close(limiter.drained)
	}
}

// Resize changes the limits; requests in flight above a lower limit are not interrupted.
func (limiter *Limiter) Resize(now time.Time, slots, connections, queue int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.config.Slots, limiter.config.Connections, limiter.config.Queue = slots, connections, queue
	limiter.slowStart.maximum = maxLimit(slots, connections)
	limiter.slowStart.setLimit(min(limiter.slowStart.limit, limiter.slowStart.maximum))
	limiter.admitQueued(now)
}

// maxLimit returns the maximum of the concurrency limit: the slots, bounded by the connections unless that is zero.
func maxLimit(slots, connections int) int {
	if connections > 0 {
		slots = min(slots, connections)
	}
	return max(slots, 1)
}
