package retrier

import (
	"math/rand/v2"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Defaults of Config.
const (
	// DefaultShare is how many retries each first attempt adds to the budget.
	DefaultShare = 0.1
	// DefaultBurst is the maximum of the retry budget.
	DefaultBurst = 10
	// DefaultMaxAttempts bounds the attempts at one request.
	DefaultMaxAttempts = 3
	// DefaultBaseBackoff bounds the delay before the first retry; the bound doubles with each further retry.
	DefaultBaseBackoff = 10 * time.Millisecond
	// maxBackoff bounds the delay before any retry.
	maxBackoff = 400 * time.Millisecond
)

// Config holds the settings of a Retrier; zero selects the default, except that Random must be set.
type Config struct {
	// Budget limits the retries to a share of the first attempts.
	Budget *Budget
	// MaxAttempts bounds the attempts at one request.
	MaxAttempts int
	// BaseBackoff bounds the delay before the first retry.
	BaseBackoff time.Duration
	// Random adds jitter to the delays.
	Random *rand.Rand
}

// Retrier decides on retries of requests; it is safe for concurrent use.
type Retrier struct {
	config Config

	mutex sync.Mutex
}

// NewRetrier returns a retrier with the given configuration.
func NewRetrier(config Config) *Retrier {
	if config.Budget == nil {
		config.Budget = NewBudget(BudgetConfig{Share: DefaultShare, Burst: DefaultBurst})
	}
	if config.MaxAttempts == 0 {
		config.MaxAttempts = DefaultMaxAttempts
	}
	if config.BaseBackoff == 0 {
		config.BaseBackoff = DefaultBaseBackoff
	}
	return &Retrier{config: config}
}

// Start records the first attempt at a request.
func (retrier *Retrier) Start() { retrier.config.Budget.Earn() }

// Retry returns when to retry the request after the given number of attempts and the last reply; it returns false if the request must not be retried.
func (retrier *Retrier) Retry(now time.Time, request lagoonlanding.Request, reply lagoonlanding.Reply, attempts int) (time.Time, bool) {
	if attempts >= retrier.config.MaxAttempts || !isSafeToRetry(request, reply) || !isTransient(reply.Reason()) {
		return time.Time{}, false
	}
	at := now.Add(retrier.backoff(attempts))
	if reply.RetryAfter().After(at) {
		at = reply.RetryAfter().Add(retrier.backoff(attempts))
	}
	if !request.Deadline().IsZero() && !at.Before(request.Deadline()) {
		return time.Time{}, false
	}
	return at, retrier.config.Budget.Spend()
}

// backoff returns a random delay between zero and a bound that doubles with each attempt.
func (retrier *Retrier) backoff(attempts int) time.Duration {
	retrier.mutex.Lock()
	defer retrier.mutex.Unlock()
	bound := retrier.config.BaseBackoff
	for attempt := 1; attempt < attempts && bound < maxBackoff; attempt++ {
		bound *= 2
	}
	bound = max(min(bound, maxBackoff), 1)
	return time.Duration(retrier.config.Random.Int64N(int64(bound)))
}

// isSafeToRetry reports whether a retry has no side effects: the last attempt did not run, or the request is idempotent.
func isSafeToRetry(request lagoonlanding.Request, reply lagoonlanding.Reply) bool {
	switch reply.Outcome() {
	case lagoonlanding.OutcomeNotRun:
		return true
	case lagoonlanding.OutcomeUnknown:
		return request.IsIdempotent()
	}
	return false
}

// isTransient reports whether the reason may no longer apply, or not apply at another instance, before the request's deadline.
//
// Callers must not retry a request that lost the connection to its backend server, since it may have crashed the server.
func isTransient(reason lagoonlanding.Reason) bool {
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
