package budgeter

import (
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// firstServerBytes is the limit before anything is known: 64 requests with the largest ordinary bodies (64 KB), where a server has 9 to 13 slots
	// and a queue of 36.
	firstServerBytes = 4 << 20
	// minServerBytes is the least limit, so that crashes for other reasons can't refuse the normal load: all slots with the largest ordinary bodies.
	minServerBytes = 1 << 20
	// keptShare is the fraction of the bytes held at a crash that is permitted afterwards.
	keptShare = 0.7
	// growth is the factor by which a limit rises that was reached without a crash, at most once per growthInterval: a server that has run
	// requests of that size for so long has held them at once.
	growth         = 1.25
	growthInterval = time.Second
	// ceilingTerm is how long the limit stays below the bytes at which the server has crashed; afterwards the server may be another build.
	ceilingTerm = 10 * time.Minute
	// smallBytes is the size up to which requests are always sent: all slots and the queue of a server with them are a few hundred KB.
	smallBytes = 4 << 10
	// serverRetryDelay is after which time a request that did not fit may be sent again: a few run times.
	serverRetryDelay = 300 * time.Millisecond
	// impossibleRetryDelay is that of a request which alone exceeds what the server has crashed with.
	impossibleRetryDelay = 30 * time.Second
)

// ServerBytes bounds the bytes of the requests that one backend server holds. Its memory is not told, so the bound starts low, rises while it is
// reached without a crash, and falls after a crash; it is safe for concurrent use.
type ServerBytes struct {
	mutex sync.Mutex
	// held and limit are in bytes.
	held, limit int64
	// requests is the number of requests that are held.
	requests int64
	// ceiling is the number of bytes with which a process crashed, until ceilingUntil.
	ceiling      int64
	ceilingUntil time.Time
	// crashed is the last process that crashed.
	crashed lagoonlanding.BackendID
	// isReached means that a request did not fit since the limit last rose, and growAt is when it may rise again.
	isReached bool
	growAt    time.Time
	refused   int64
}

// NewServerBytes returns the bound of a server of which nothing is known.
func NewServerBytes() *ServerBytes { return &ServerBytes{limit: firstServerBytes} }

// Enter counts a request of some bytes that is to be sent to the server; it returns false and a retry delay if that may exceed the server's memory.
//
// A request that is alone may exceed the bound, unless a server has crashed with as much.
func (serverbytes *ServerBytes) Enter(now time.Time, bytes int64) (retryDelay time.Duration, ok bool) {
	serverbytes.mutex.Lock()
	defer serverbytes.mutex.Unlock()
	if now.After(serverbytes.ceilingUntil) {
		serverbytes.ceiling = 0
	}
	switch {
	case !serverbytes.isPossible(bytes):
		serverbytes.refused++
		return impossibleRetryDelay, false
	case serverbytes.held > 0 && bytes > smallBytes && serverbytes.held+bytes > serverbytes.limit:
		serverbytes.refused++
		serverbytes.isReached = true
		return serverRetryDelay, false
	}
	serverbytes.held += bytes
	serverbytes.requests++
	return 0, true
}

// isPossible reports whether a request alone is small enough for what is known of the server; the mutex must be locked.
func (serverbytes *ServerBytes) isPossible(bytes int64) bool {
	return serverbytes.ceiling == 0 || bytes <= max(int64(float64(serverbytes.ceiling)*keptShare), minServerBytes)
}

// Add counts bytes that are to be sent for a request without a declared length, of which the server holds own bytes already; it returns false if
// they may exceed the server's memory. Then only requests that hold more than an equal part are ended.
func (serverbytes *ServerBytes) Add(own, bytes int64) bool {
	serverbytes.mutex.Lock()
	defer serverbytes.mutex.Unlock()
	isAlone := own == serverbytes.held && serverbytes.isPossible(own+bytes)
	if !isAlone && serverbytes.held+bytes > serverbytes.limit && own+bytes > serverbytes.limit/max(serverbytes.requests, 1) {
		serverbytes.isReached = true
		serverbytes.refused++
		return false
	}
	serverbytes.held += bytes
	return true
}

// Leave ends the count of a request; answered means that the server has run it.
func (serverbytes *ServerBytes) Leave(now time.Time, bytes int64, answered bool) {
	serverbytes.mutex.Lock()
	defer serverbytes.mutex.Unlock()
	// A request beyond the limit that was answered shows at once what the server can hold.
	proven := int64(float64(bytes) * keptShare)
	serverbytes.held -= bytes
	serverbytes.requests--
	if !answered || proven <= serverbytes.limit && (!serverbytes.isReached || now.Before(serverbytes.growAt)) {
		return
	}
	raised := max(int64(float64(serverbytes.limit)*growth), proven)
	if serverbytes.ceiling > 0 {
		raised = min(raised, max(int64(float64(serverbytes.ceiling)*keptShare), minServerBytes))
	}
	serverbytes.limit, serverbytes.isReached, serverbytes.growAt = max(serverbytes.limit, raised), false, now.Add(growthInterval)
}

// Crashed lowers the bound after a crash of a process of the server; it returns the bytes that it held and the limits before and now.
//
// A crash with less than a quarter of the limit has another cause. Each process crashes once: other requests of it report the same crash.
func (serverbytes *ServerBytes) Crashed(now time.Time, process lagoonlanding.BackendID) (held, previous, current int64) {
	serverbytes.mutex.Lock()
	defer serverbytes.mutex.Unlock()
	held, previous = serverbytes.held, serverbytes.limit
	if process == serverbytes.crashed || held < serverbytes.limit/4 || held < minServerBytes {
		return held, previous, previous
	}
	serverbytes.crashed, serverbytes.ceiling, serverbytes.ceilingUntil = process, held, now.Add(ceilingTerm)
	serverbytes.limit = max(min(serverbytes.limit, int64(float64(held)*keptShare)), minServerBytes)
	serverbytes.isReached, serverbytes.growAt = false, now.Add(growthInterval)
	return held, previous, serverbytes.limit
}

// State returns the bytes that the server holds, the limit, and how many requests were refused.
func (serverbytes *ServerBytes) State() (held, limit, refused int64) {
	serverbytes.mutex.Lock()
	defer serverbytes.mutex.Unlock()
	return serverbytes.held, serverbytes.limit, serverbytes.refused
}
