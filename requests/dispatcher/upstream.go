package dispatcher

import (
	"context"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/lagoonlanding/requests/router"
	"lagoonlanding.example/lagoonlanding/requests/scheduler"
)

// upstreamLimiter limits the requests to the backend server, with the limits that the published set defines for its service.
type upstreamLimiter struct {
	mutex   sync.Mutex
	limiter *limiter.Limiter
	limits  limits
}

type limits struct {
	slots       int
	connections int
	queue       int
}

// current returns the limiter with the limits of the snapshot's set; it is nil while the service is unknown.
func (upstreamlimiter *upstreamLimiter) current(now time.Time, snapshot *router.Snapshot) *limiter.Limiter {
	service, ok := snapshot.Set().Service(snapshot.Self().Service())
	if !ok {
		return nil
	}
	published := limits{slots: service.Slots(), connections: service.Connections(), queue: service.Queue()}
	upstreamlimiter.mutex.Lock()
	defer upstreamlimiter.mutex.Unlock()
	if upstreamlimiter.limiter == nil {
		upstreamlimiter.limiter = limiter.NewLimiter(limiter.Config{
			Slots: published.slots, Connections: published.connections, Queue: published.queue,
			Scheduler: scheduler.NewDefault(published.slots),
		})
	} else if upstreamlimiter.limits != published {
		upstreamlimiter.limiter.Resize(now, published.slots, published.connections, published.queue)
	}
	upstreamlimiter.limits = published
	return upstreamlimiter.limiter
}

// queuedRequestOf returns the queue entry of the request.
func queuedRequestOf(set *publisher.Set, request lagoonlanding.Request, exclusive bool) lagoonlanding.QueuedRequest {
	tenant, _ := set.Tenant(request.Tenant())
	class, _ := set.Class(request.Class())
	return lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{
		Tenant: request.Tenant(), Weight: tenant.Weight(), Limit: tenant.Limit(),
		Class: request.Class(), Cost: class.Cost(), Deadline: request.Deadline(), Exclusive: exclusive,
	})
}

// admit waits for a slot of the backend server; if the request is refused, the admission is nil and the reply is set.
func (dispatcher *Dispatcher) admit(
	ctx context.Context, request lagoonlanding.Request, exclusive bool,
) (*limiter.Limiter, *limiter.Admission, lagoonlanding.Reply) {
	snapshot := dispatcher.config.Snapshots.Current()
	backendlimiter := dispatcher.upstreamLimiter.current(dispatcher.config.Clock.Now(), snapshot)
	if backendlimiter == nil {
		return nil, nil, lagoonlanding.Refuse(request, lagoonlanding.ReasonNotReady)
	}
	admission := backendlimiter.Acquire(ctx, dispatcher.config.Clock, queuedRequestOf(snapshot.Set(), request, exclusive))
	if admission.Reason() != lagoonlanding.ReasonNone {
		return nil, nil, lagoonlanding.Refuse(request, admission.Reason()).WithRetryAfter(admission.RetryAt())
	}
	return backendlimiter, admission, lagoonlanding.Reply{}
}

// resultOf maps the reply to the result that the limiter records.
func resultOf(ctx context.Context, reply lagoonlanding.Reply) limiter.Result {
	switch {
	case ctx.Err() != nil:
		return limiter.Cancelled
	case reply.Reason() == lagoonlanding.ReasonUpstreamFailed:
		return limiter.Unreachable
	case reply.Reason() == lagoonlanding.ReasonLeaseLapsed || reply.Reason() == lagoonlanding.ReasonDeadline:
		return limiter.Unsent
	case reply.Reason() == lagoonlanding.ReasonUpstreamRefused:
		return limiter.Shed
	case reply.Outcome() == lagoonlanding.OutcomeUnknown:
		return limiter.ConnectionLost
	case reply.Status() >= firstServerError:
		return limiter.Failed
	}
	return limiter.Served
}

// firstServerError is the lowest HTTP status code of a server error.
const firstServerError = 500

// UpstreamLoad returns the concurrency limit of the backend server and the numbers of requests in flight and queued.
func (dispatcher *Dispatcher) UpstreamLoad() (limit, inFlight, queued int) {
	dispatcher.upstreamLimiter.mutex.Lock()
	backendlimiter := dispatcher.upstreamLimiter.limiter
	dispatcher.upstreamLimiter.mutex.Unlock()
	if backendlimiter == nil {
		return 0, 0, 0
	}
	inFlight, queued = backendlimiter.Load()
	return backendlimiter.Limit(), inFlight, queued
}

// OnUpstreamRestart resets the concurrency limit after a restart of the backend server, which is cold then.
func (dispatcher *Dispatcher) OnUpstreamRestart() {
	dispatcher.upstreamLimiter.mutex.Lock()
	defer dispatcher.upstreamLimiter.mutex.Unlock()
	if dispatcher.upstreamLimiter.limiter != nil {
		dispatcher.upstreamLimiter.limiter.OnRestart()
	}
}
