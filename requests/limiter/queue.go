package limiter

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// refusal returns why a request may not even wait, and makes room in a full queue for a tenant with few requests.
func (server *Server) refusal(waiting lagoonlanding.QueuedRequest) lagoonlanding.Reason {
	switch {
	case server.draining:
		return lagoonlanding.ReasonShuttingDown
	case waiting.Limit() > 0 && server.tenants[waiting.Tenant()] >= waiting.Limit():
		return lagoonlanding.ReasonTenantLimit
	case len(server.places)-server.inFlight < server.config.Queue:
		return lagoonlanding.ReasonNone
	case server.inFlight < server.ramp.limit && len(server.places) == server.inFlight:
		return lagoonlanding.ReasonNone
	}
	victim := server.surplus(waiting)
	if victim == nil {
		return lagoonlanding.ReasonQueueFull
	}
	server.withdraw(victim)
	victim.retryAt = server.retryAt(waiting.Arrived())
	victim.decide(lagoonlanding.ReasonQueueFull)
	return lagoonlanding.ReasonNone
}

// surplus returns the newest waiting request of the tenant with the most requests for its weight, if that is not the arriving one.
func (server *Server) surplus(arriving lagoonlanding.QueuedRequest) *Place {
	share := func(waiting lagoonlanding.QueuedRequest, extra int) float64 {
		return float64(server.tenants[waiting.Tenant()]+extra) / float64(waiting.Weight())
	}
	var victim *Place
	highest := share(arriving, 1)
	for _, place := range server.places {
		if place.isDecided {
			continue
		}
		load := share(place.waiting, 0)
		switch {
		case load > highest:
			victim, highest = place, load
		case victim != nil && load == highest && place.waiting.ID() > victim.waiting.ID():
			victim = place
		}
	}
	return victim
}

// withdraw takes a waiting request out of the queue.
func (server *Server) withdraw(place *Place) {
	if place.waiting.IsExclusive() {
		server.alone = slices.DeleteFunc(server.alone, func(other *Place) bool { return other == place })
	} else {
		server.config.Order.Remove(place.waiting)
	}
	server.forget(place)
}

// retryAt returns when the queue of now will have drained at the pace of the backend server.
func (server *Server) retryAt(now time.Time) time.Time {
	waiting := len(server.places) - server.inFlight
	rounds := waiting/server.ramp.limit + 1
	return now.Add(time.Duration(rounds) * server.ramp.typical())
}
