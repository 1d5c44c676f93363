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

// guard is the limiter of the backend server, with the bounds that the published set gives its service.
type guard struct {
	mutex  sync.Mutex
	server *limiter.Server
	bounds bounds
}

type bounds struct {
	slots       int
	connections int
	queue       int
}

// limited returns the limiter with the bounds of the snapshot's set; it is nil while the service is not known.
func (guard *guard) limited(now time.Time, snapshot *router.Snapshot) *limiter.Server {
	service, ok := snapshot.Set().Service(snapshot.Self().Service())
	if !ok {
		return nil
	}
	wanted := bounds{slots: service.Slots(), connections: service.Connections(), queue: service.Queue()}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if guard.server == nil {
		guard.server = limiter.NewServer(limiter.Config{
			Slots: wanted.slots, Connections: wanted.connections, Queue: wanted.queue,
			Order: scheduler.NewOrder(wanted.slots),
		})
	} else if guard.bounds != wanted {
		guard.server.Resize(now, wanted.slots, wanted.connections, wanted.queue)
	}
	guard.bounds = wanted
	return guard.server
}

// waitingOf describes the request to the queue before the backend server.
func waitingOf(set *publisher.Set, request lagoonlanding.Request, alone bool) lagoonlanding.QueuedRequest {
	tenant, _ := set.Tenant(request.Tenant())
	class, _ := set.Class(request.Class())
	return lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{
		Tenant: request.Tenant(), Weight: tenant.Weight(), Limit: tenant.Limit(),
		Class: request.Class(), Cost: class.Cost(), Deadline: request.Deadline(), Exclusive: alone,
	})
}

// admit waits for a slot of the backend server; the reply is set if the request is refused.
func (dispatcher *Dispatcher) admit(
	ctx context.Context, request lagoonlanding.Request, alone bool,
) (*limiter.Server, *limiter.Place, lagoonlanding.Reply) {
	snapshot := dispatcher.config.Snapshots.Current()
	server := dispatcher.guard.limited(dispatcher.config.Clock.Now(), snapshot)
	if server == nil {
		return nil, nil, lagoonlanding.Refuse(request, lagoonlanding.ReasonNotReady)
	}
	place := server.Enter(ctx, dispatcher.config.Clock, waitingOf(snapshot.Set(), request, alone))
	if place.Reason() != lagoonlanding.ReasonNone {
		return nil, nil, lagoonlanding.Refuse(request, place.Reason()).WithRetryAfter(place.RetryAt())
	}
	return server, place, lagoonlanding.Reply{}
}

// result tells the limiter how a request has left its slot.
func result(ctx context.Context, reply lagoonlanding.Reply) limiter.Result {
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
		return limiter.Reset
	case reply.Status() >= firstServerError:
		return limiter.Failed
	}
	return limiter.Served
}

// firstServerError is the lowest HTTP status that tells of a fault of the backend server.
const firstServerError = 500

// UpstreamLoad returns the limit of requests in flight at the backend server, those in flight and those that wait.
func (dispatcher *Dispatcher) UpstreamLoad() (limit, inFlight, waiting int) {
	dispatcher.guard.mutex.Lock()
	server := dispatcher.guard.server
	dispatcher.guard.mutex.Unlock()
	if server == nil {
		return 0, 0, 0
	}
	inFlight, waiting = server.Load()
	return server.Limit(), inFlight, waiting
}

// RestartUpstream notes that the backend server has started anew and must be taken as cold.
func (dispatcher *Dispatcher) RestartUpstream() {
	dispatcher.guard.mutex.Lock()
	defer dispatcher.guard.mutex.Unlock()
	if dispatcher.guard.server != nil {
		dispatcher.guard.server.Restart()
	}
}
