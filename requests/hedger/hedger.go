package hedger

import (
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/retrier"
)

// The bounds of a hedger whose configuration names none.
const (
	// DefaultShare is how many hedges each request earns.
	DefaultShare = 0.05
	// DefaultBurst bounds the hedges that are saved up.
	DefaultBurst = 5
	// quantile is the part of the reads that answer before a hedge would be sent.
	quantile = 0.95
	// quantileStep is the part by which one answer moves the estimate of the quantile.
	quantileStep = 0.02
	// leastDelay bounds the delay from below.
	leastDelay = time.Millisecond
	// firstDelay is the delay before any read has answered.
	firstDelay = 20 * time.Millisecond
	// headroomShare is the part of the slots of the candidates up to which there is room for hedges.
	headroomShare = 0.7
)

// Config holds what a Hedger is built from; a nil budget stands for the default.
type Config struct {
	// Budget keeps the hedges to a share of the requests.
	Budget *retrier.Budget
}

// Hedger decides on second copies of slow idempotent reads; it is safe for use by many goroutines.
type Hedger struct {
	config Config

	mutex sync.Mutex
	delay float64
}

// NewHedger returns a hedger that has seen no answers.
func NewHedger(config Config) *Hedger {
	if config.Budget == nil {
		config.Budget = retrier.NewBudget(retrier.BudgetConfig{Share: DefaultShare, Burst: DefaultBurst})
	}
	return &Hedger{config: config, delay: firstDelay.Seconds()}
}

// Start notes a request and returns when a second copy may be sent; it is false if that must never be.
func (hedger *Hedger) Start(now time.Time, request lagoonlanding.Request) (time.Time, bool) {
	hedger.config.Budget.Earn()
	if !isRead(request) {
		return time.Time{}, false
	}
	hedger.mutex.Lock()
	defer hedger.mutex.Unlock()
	at := now.Add(max(time.Duration(hedger.delay*float64(time.Second)), leastDelay))
	return at, request.Deadline().IsZero() || at.Before(request.Deadline())
}

// Hedge reports whether the second copy is sent now, given the requests in flight at the candidates and all their slots.
func (hedger *Hedger) Hedge(inFlight, slots int) bool {
	return float64(inFlight) < headroomShare*float64(slots) && hedger.config.Budget.Spend()
}

// Answered notes how long the first answer to a read took.
func (hedger *Hedger) Answered(took time.Duration) {
	hedger.mutex.Lock()
	defer hedger.mutex.Unlock()
	// Steps of these sizes balance where the given part of the answers lies below the estimate.
	if took.Seconds() > hedger.delay {
		hedger.delay *= 1 + quantileStep*quantile
		return
	}
	hedger.delay *= 1 - quantileStep*(1-quantile)
}

// isRead reports whether the request changes nothing.
func isRead(request lagoonlanding.Request) bool {
	return request.IsIdempotent() && (request.Method() == "GET" || request.Method() == "HEAD")
}
