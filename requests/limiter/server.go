package limiter

import (
	"fmt"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Config describes the backend server and the queue before it.
type Config struct {
	// Slots is how many requests the warm backend server runs at once.
	Slots int
	// Connections bounds the connections to the backend server.
	Connections int
	// Queue bounds the requests that wait for a slot.
	Queue int
	// Order decides which waiting request goes next.
	Order lagoonlanding.Scheduler
	// Warm says that the backend server can take all its slots at once; it is for baselines and tests.
	Warm bool
}

// Server is the backend server as its daemon sees it; it is safe for use by many goroutines.
//
// All requests reach the backend server through it, so its counts are exact.
type Server struct {
	config Config

	mutex    sync.Mutex
	ramp     *ramp
	places   map[uint64]*Place
	alone    []*Place
	tenants  map[string]int
	next     uint64
	inFlight int
	aloneRun bool
	draining bool
	drained  chan struct{}
}

// NewServer returns a cold backend server without requests.
func NewServer(config Config) *Server {
	server := &Server{
		config: config, places: map[uint64]*Place{}, tenants: map[string]int{}, drained: make(chan struct{}),
		ramp: newRamp(top(config.Slots, config.Connections)),
	}
	if config.Warm {
		server.ramp.limit = server.ramp.top
	}
	return server
}

// Arrive notes a request; its place is decided now, or later by a Leave.
func (server *Server) Arrive(now time.Time, waiting lagoonlanding.QueuedRequest) *Place {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.next++
	place := &Place{waiting: waiting.WithID(server.next, now), decided: make(chan struct{})}
	if server.inFlight == 0 && !server.config.Warm {
		server.ramp.wake(now)
	}
	if reason := server.refusal(place.waiting); reason != lagoonlanding.ReasonNone {
		place.retryAt = server.retryAt(now)
		place.decide(reason)
		return place
	}
	server.places[place.waiting.ID()] = place
	server.tenants[waiting.Tenant()]++
	if waiting.IsExclusive() {
		server.alone = append(server.alone, place)
	} else {
		server.config.Order.Add(place.waiting)
	}
	server.dispatch(now)
	return place
}

// Leave notes that a request has left its slot, which goes to the next.
func (server *Server) Leave(now time.Time, place *Place, result Result) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if !place.isRunning {
		panic("limiter: a request left a slot that it did not hold")
	}
	place.isRunning = false
	server.inFlight--
	took := max(now.Sub(place.started), 1)
	if result == Unsent || result == Unreachable {
		took = 0
	}
	if place.waiting.IsExclusive() {
		server.aloneRun = false
	} else {
		server.config.Order.Finish(place.waiting, took)
	}
	if !server.config.Warm {
		server.ramp.end(now, place, result)
	}
	server.forget(place)
	server.dispatch(now)
}

// Abandon takes out a request that waits no longer; it is false if the request was decided meanwhile.
func (server *Server) Abandon(now time.Time, place *Place, reason lagoonlanding.Reason) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if place.isDecided {
		return false
	}
	server.withdraw(place)
	place.retryAt = server.retryAt(now)
	place.decide(reason)
	server.dispatch(now)
	return true
}

// Restart notes that the backend server has started or returned and must be taken as cold.
func (server *Server) Restart() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.ramp.fall()
}

// Drain refuses new requests; those that wait or run are finished, and then the returned channel is closed.
func (server *Server) Drain() <-chan struct{} {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.draining = true
	server.notifyDrained()
	return server.drained
}

// Load returns how many requests are in flight and how many wait.
func (server *Server) Load() (inFlight, waiting int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.inFlight, len(server.places) - server.inFlight
}

// Limit returns how many requests may be in flight now.
func (server *Server) Limit() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.ramp.limit
}

// dispatch fills the free slots and refuses what comes to its turn too late.
func (server *Server) dispatch(now time.Time) {
	for server.inFlight < server.ramp.limit && !server.aloneRun {
		place, ok := server.pick(now)
		if !ok {
			return
		}
		if server.isLate(now, place) {
			server.refuseLate(now, place)
			continue
		}
		server.start(now, place)
	}
}

// pick returns the place that goes next; a request that runs alone waits for the others and holds later ones back.
func (server *Server) pick(now time.Time) (*Place, bool) {
	if len(server.alone) > 0 {
		if server.inFlight > 0 {
			return nil, false
		}
		place := server.alone[0]
		server.alone = server.alone[1:]
		return place, true
	}
	waiting, ok := server.config.Order.Next(now)
	if !ok {
		return nil, false
	}
	return server.places[waiting.ID()], true
}

func (server *Server) start(now time.Time, place *Place) {
	if server.inFlight >= server.ramp.limit || server.ramp.limit > server.ramp.top || server.aloneRun {
		panic(fmt.Sprintf("limiter: request %d would exceed the limit of %d", place.waiting.ID(), server.ramp.limit))
	}
	server.ramp.last = now
	server.inFlight++
	server.aloneRun = place.waiting.IsExclusive()
	place.started = now
	place.restart, place.step = server.ramp.restart, server.ramp.step
	place.isRunning = true
	place.decide(lagoonlanding.ReasonNone)
}

func (server *Server) refuseLate(now time.Time, place *Place) {
	if !place.waiting.IsExclusive() {
		server.config.Order.Finish(place.waiting, 0)
	}
	server.forget(place)
	place.retryAt = server.retryAt(now)
	place.decide(lagoonlanding.ReasonDeadline)
}

// isLate reports whether the request's deadline cannot be met any more; without a request in flight only the deadline itself
// counts, so that a wrong estimate cannot keep every request from correcting it.
func (server *Server) isLate(now time.Time, place *Place) bool {
	deadline := place.waiting.Deadline()
	if deadline.IsZero() {
		return false
	}
	if server.inFlight == 0 {
		return !now.Before(deadline)
	}
	return !now.Add(server.ramp.least(place.waiting.Class())).Before(deadline)
}

func (server *Server) forget(place *Place) {
	delete(server.places, place.waiting.ID())
	tenant := place.waiting.Tenant()
	server.tenants[tenant]--
	if server.tenants[tenant] == 0 {
		delete(server.tenants, tenant)
	}
	server.notifyDrained()
}

func (server *Server) notifyDrained() {
	if !server.draining || len(server.places) > 0 {
		return
	}
	select {
	case <-server.drained:
	default:
		close(server.drained)
	}
}

// Resize changes the bounds; a smaller one holds as soon as enough requests have left.
func (server *Server) Resize(now time.Time, slots, connections, queue int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.config.Slots, server.config.Connections, server.config.Queue = slots, connections, queue
	server.ramp.top = top(slots, connections)
	server.ramp.set(min(server.ramp.limit, server.ramp.top))
	server.dispatch(now)
}

// top returns the most requests that may ever be in flight; no bound on connections leaves the slots as the bound.
func top(slots, connections int) int {
	if connections > 0 {
		slots = min(slots, connections)
	}
	return max(slots, 1)
}
