package receiver

import (
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

// Admission is whether a request is passed on during a shutdown.
type Admission uint8

// The kinds of admission.
const (
	// Admitted requests are passed on.
	Admitted Admission = iota + 1
	// Refused requests arrive too late to be completed and are answered that they have not run.
	Refused
	// Unread requests arrive after the last check of the shutdown; their connection is closed.
	Unread
)

// Drain counts the requests in progress of several servers, so that a daemon can shut down without interrupting one.
//
// A request counts from the moment its head has been read until its response has been sent. During the shutdown the last response on a
// connection closes it, so that the client sends no further request there.
type Drain struct {
	mutex       sync.Mutex
	running     int
	lastRequest time.Time
	stopping    bool
	refuseAfter time.Time
	sealed      bool
}

// NewDrain returns the drain of a daemon that is not shutting down.
func NewDrain() *Drain { return &Drain{} }

// Begin counts a request whose head has been read and returns whether it is passed on; unless it is Unread, End must be called.
func (drain *Drain) Begin() Admission {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if drain.sealed {
		return Unread
	}
	drain.running++
	now := time.Now()
	if drain.stopping && now.After(drain.refuseAfter) {
		return Refused
	}
	drain.lastRequest = now
	return Admitted
}

// End counts a request as completed.
func (drain *Drain) End() {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	drain.running--
}

// IsStopping reports whether the daemon is shutting down.
func (drain *Drain) IsStopping() bool {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	return drain.stopping
}

// Wait starts the shutdown and returns once all requests have completed and clients have stopped sending new ones, or shortly before the
// deadline.
func (drain *Drain) Wait(deadline time.Time) {
	latestEnd := deadline.Add(-exitReserve)
	earliestEnd := time.Now().Add(notReadyDelay)
	drain.mutex.Lock()
	drain.stopping, drain.refuseAfter = true, earliestEnd
	drain.mutex.Unlock()
	for time.Now().Before(latestEnd) && !(time.Now().After(earliestEnd) && drain.seal()) {
		time.Sleep(drainPollInterval)
	}
}

// seal rejects all further requests if none is in progress and none has arrived recently.
func (drain *Drain) seal() bool {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	drain.sealed = drain.running == 0 && time.Since(drain.lastRequest) > quietPeriod
	return drain.sealed
}
