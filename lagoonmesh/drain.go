package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// unreadyTerm is how long a stopping daemon takes requests: clients learn within two seconds that it is not ready, and
	// what comes later might not end within the grace.
	unreadyTerm = 2200 * time.Millisecond
	// quietTerm is how long no request may have come before a stopping daemon ends.
	quietTerm = 100 * time.Millisecond
	// endTerm is what is left of the grace for the end of the process.
	endTerm = 150 * time.Millisecond
	// drainPoll is the time between two looks at what is under way.
	drainPoll = 20 * time.Millisecond
)

// drainer counts the requests under way and lets a stopping daemon end without cutting one.
//
// While the daemon stops each answer tells its client to open no further request on the connection.
// http.Server.Shutdown is not used: it closes connections on which a request has just arrived.
type drainer struct {
	mutex    sync.Mutex
	running  int
	last     time.Time
	stopping bool
	refuses  time.Time
}

// wrap counts the requests of a handler, and lets refuse answer those that come too late.
func (drainer *drainer) wrap(handler http.Handler, refuse func(writer http.ResponseWriter)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		stopping, refused := drainer.enter()
		defer drainer.leave()
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

func (drainer *drainer) enter() (stopping, refused bool) {
	drainer.mutex.Lock()
	defer drainer.mutex.Unlock()
	drainer.running++
	now := time.Now()
	refused = drainer.stopping && now.After(drainer.refuses)
	if !refused {
		drainer.last = now
	}
	return drainer.stopping, refused
}

func (drainer *drainer) leave() {
	drainer.mutex.Lock()
	defer drainer.mutex.Unlock()
	drainer.running--
}

// drain returns once the requests have ended and clients have learned to stay away, or when the grace is over.
func (drainer *drainer) drain(graceEnds time.Time) {
	ends := graceEnds.Add(-endTerm)
	least := time.Now().Add(unreadyTerm)
	drainer.mutex.Lock()
	drainer.stopping, drainer.refuses = true, least
	drainer.mutex.Unlock()
	for time.Now().Before(ends) && !(time.Now().After(least) && drainer.isQuiet()) {
		time.Sleep(drainPoll)
	}
}

func (drainer *drainer) isQuiet() bool {
	drainer.mutex.Lock()
	defer drainer.mutex.Unlock()
	return drainer.running == 0 && time.Since(drainer.last) > quietTerm
}
