package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// The bounds of a retrier whose configuration names none.
const (
	// DefaultShare is how many retries each first try earns.
	DefaultShare = 0.1
	// DefaultBurst bounds the retries that are saved up.
	DefaultBurst = 10
	// DefaultTries bounds the tries of one request.
	DefaultTries = 3
	// DefaultPause bounds the pause before the first retry; each later one may be twice as long.
	DefaultPause = 10 * time.Millisecond
	// longestPause bounds the pause before any retry.
	longestPause = 400 * time.Millisecond
)

// Config holds what a Retrier is built from; zero stands for the default.
type Config struct {
	// Budget keeps the retries to a share of the first tries.
	Budget *Budget
	// Tries bounds the tries of one request.
	Tries int
	// Pause bounds the pause before the first retry.
	Pause time.Duration
	// Random spreads the pauses.
	Random *rand.Rand
}

// Retrier decides on further tries of requests; it is safe for use by many goroutines.
type Retrier struct {
	config Config

	mutex sync.Mutex
}

// NewRetrier returns a retrier with a full budget.
func NewRetrier(config Config) *Retrier {
	if config.Budget == nil {
		config.Budget = NewBudget(BudgetConfig{Share: DefaultShare, Burst: DefaultBurst})
	}
	if config.Tries == 0 {
		config.Tries = DefaultTries
	}
	if config.Pause == 0 {
		config.Pause = DefaultPause
	}
	return &Retrier{config: config}
}

// Start notes the first try of a request.
func (retrier *Retrier) Start() { retrier.config.Budget.Earn() }

// Retry returns when to try the request again after so many tries of which the last got the reply; it is false for never.
func (retrier *Retrier) Retry(now time.Time, request lagoonlanding.Request, reply lagoonlanding.Reply, tries int) (time.Time, bool) {
	if tries >= retrier.config.Tries || !mayRunAgain(request, reply) || !isPassing(reply.Reason()) {
		return time.Time{}, false
	}
	at := now.Add(retrier.pause(tries))
	if reply.RetryAfter().After(at) {
		at = reply.RetryAfter().Add(retrier.pause(tries))
	}
	if !request.Deadline().IsZero() && !at.Before(request.Deadline()) {
		return time.Time{}, false
	}
	return at, retrier.config.Budget.Spend()
}

// pause draws from zero up to a bound that doubles with each try.
func (retrier *Retrier) pause(tries int) time.Duration {
	retrier.mutex.Lock()
	defer retrier.mutex.Unlock()
	bound := retrier.config.Pause
	for try := 1; try < tries && bound < longestPause; try++ {
		bound *= 2
	}
	bound = max(min(bound, longestPause), 1)
	return time.Duration(retrier.config.Random.Int64N(int64(bound)))
}

// mayRunAgain reports whether a further try can do no harm: the last one was proved not to have run, or a second run is harmless.
func mayRunAgain(request lagoonlanding.Request, reply lagoonlanding.Reply) bool {
	switch reply.Outcome() {
	case lagoonlanding.OutcomeNotRun:
		return true
	case lagoonlanding.OutcomeUnknown:
		return request.IsIdempotent()
	}
	return false
}

// isPassing reports whether the cause may be gone, or absent elsewhere, within the time of a request.
//
// The caller does not ask for a request that lost the connection to its backend server: it may have crashed it.
func isPassing(reason lagoonlanding.Reason) bool {
	switch reason {
	case lagoonlanding.ReasonNoOwner, lagoonlanding.ReasonMoving, lagoonlanding.ReasonLeaseLapsed, lagoonlanding.ReasonNotReady,
		lagoonlanding.ReasonUnreachable, lagoonlanding.ReasonQueueFull, lagoonlanding.ReasonTicketAhead,
		lagoonlanding.ReasonUpstreamRefused, lagoonlanding.ReasonUpstreamFailed, lagoonlanding.ReasonUpstreamCold,
		lagoonlanding.ReasonConnectionLost, lagoonlanding.ReasonMismatchedAnswer, lagoonlanding.ReasonShuttingDown,
		lagoonlanding.ReasonHopLimit:
		return true
	}
	return false
}
