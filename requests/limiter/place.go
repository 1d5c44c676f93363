package limiter

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Place is a request's place in the queue or in a slot.
type Place struct {
	waiting   lagoonlanding.QueuedRequest
	decided   chan struct{}
	isDecided bool
	isRunning bool
	reason    lagoonlanding.Reason
	retryAt   time.Time
	started   time.Time
	restart   uint64
	step      uint64
}

// Decided returns a channel that is closed once the request has a slot or is refused; the accessors may be used from then on.
func (place *Place) Decided() <-chan struct{} { return place.decided }

// Waiting returns the request of the place.
func (place *Place) Waiting() lagoonlanding.QueuedRequest { return place.waiting }

// Reason returns why the request is refused, ReasonNone if it has a slot.
func (place *Place) Reason() lagoonlanding.Reason { return place.reason }

// RetryAt returns when a further try may find room.
func (place *Place) RetryAt() time.Time { return place.retryAt }

func (place *Place) decide(reason lagoonlanding.Reason) {
	place.isDecided = true
	place.reason = reason
	close(place.decided)
}

// Enter waits for a slot and returns the decided place; a place without a reason must be given back by Leave.
func (server *Server) Enter(ctx context.Context, clock lagoonlanding.Clock, waiting lagoonlanding.QueuedRequest) *Place {
	place := server.Arrive(clock.Now(), waiting)
	var expired <-chan time.Time
	if !place.isReady() && !waiting.Deadline().IsZero() {
		expired = clock.Until(waiting.Deadline())
	}
	reason := lagoonlanding.ReasonDeadline
	select {
	case <-place.decided:
		return place
	case <-expired:
	case <-ctx.Done():
		reason = lagoonlanding.ReasonCancelled
	}
	if !server.Abandon(clock.Now(), place, reason) && place.reason == lagoonlanding.ReasonNone {
		server.giveBack(clock.Now(), place, reason)
	}
	return place
}

func (place *Place) isReady() bool {
	select {
	case <-place.decided:
		return true
	default:
		return false
	}
}

// giveBack refuses a request that got its slot just as it stopped waiting.
func (server *Server) giveBack(now time.Time, place *Place, reason lagoonlanding.Reason) {
	server.Leave(now, place, Unsent)
	place.reason = reason
}
