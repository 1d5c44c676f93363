package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// notReadyDelay is how long a daemon accepts requests after the start of its shutdown: clients notice within two seconds that
	// it is not ready, and later requests might not complete within the shutdown timeout.
	notReadyDelay = 2200 * time.Millisecond
	// quietPeriod is how long no request may have arrived before a daemon that is shutting down exits.
	quietPeriod = 100 * time.Millisecond
	// exitReserve is the part of the shutdown timeout that is left for the exit of the process.
	exitReserve = 150 * time.Millisecond
	// drainPollInterval is the interval at which the requests in progress are checked.
	drainPollInterval = 20 * time.Millisecond
)

// drainer counts the requests in progress, so that a daemon can shut down without interrupting one.
//
// During the shutdown each response closes its connection, so that the client sends no further request on it.
// http.Server.Shutdown is not used because it closes connections on which a request has just arrived.
type drainer struct {
	mutex       sync.Mutex
	running     int
	lastRequest time.Time
	stopping    bool
	refuseAfter time.Time
}

// wrap counts the requests of a handler, and calls refuse for requests that arrive too late in a shutdown.
func (drainer *drainer) wrap(handler http.Handler, refuse func(writer http.ResponseWriter)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		stopping, refused := drainer.begin()
		defer drainer.end()
		if stopping {
			writer.Header().Set("Connection", "close")
		}
		if refused {
			refuse(writer)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}

func (drainer *drainer) begin() (stopping, refused bool) {
	drainer.mutex.Lock()
	defer drainer.mutex.Unlock()
	drainer.running++
	now := time.Now()
	refused = drainer.stopping && now.After(drainer.refuseAfter)
	if !refused {
		drainer.lastRequest = now
	}
	return drainer.stopping, refused
}

func (drainer *drainer) end() {
	drainer.mutex.Lock()
	defer drainer.mutex.Unlock()
	drainer.running--
}

// drain returns once all requests have completed and clients have stopped sending new ones, or shortly before the deadline.
func (drainer *drainer) drain(deadline time.Time) {
	latestEnd := deadline.Add(-exitReserve)
	earliestEnd := time.Now().Add(notReadyDelay)
	drainer.mutex.Lock()
	drainer.stopping, drainer.refuseAfter = true, earliestEnd
	drainer.mutex.Unlock()
	for time.Now().Before(latestEnd) && !(time.Now().After(earliestEnd) && drainer.isIdle()) {
		time.Sleep(drainPollInterval)
	}
}

func (drainer *drainer) isIdle() bool {
	drainer.mutex.Lock()
	defer drainer.mutex.Unlock()
	return drainer.running == 0 && time.Since(drainer.lastRequest) > quietPeriod
}
