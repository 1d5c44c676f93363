package hedger

import (
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/retrier"
)

// Parameters of hedging and defaults of Config.
const (
	// DefaultShare is how many hedges each request adds to the budget.
	DefaultShare = 0.05
	// DefaultBurst is the maximum of the hedge budget.
	DefaultBurst = 5
	// hedgeQuantile is the quantile of the response times after which a hedge is sent.
	hedgeQuantile = 0.95
	// quantileStep is the relative step size of the quantile estimate.
	quantileStep = 0.02
	// minDelay is the minimum delay of a hedge.
	minDelay = time.Millisecond
	// initialDelay is the delay before any response time has been observed.
	initialDelay = 20 * time.Millisecond
	// maxUtilization is the utilization of the candidates' slots from which on no hedges are sent.
	maxUtilization = 0.7
)

// Config holds the settings of a Hedger; a nil budget selects the default.
type Config struct {
	// Budget limits the hedges to a share of the requests.
	Budget *retrier.Budget
}

// Hedger decides on second copies of slow idempotent reads; it is safe for concurrent use.
type Hedger struct {
	config Config

	mutex        sync.Mutex
	delaySeconds float64
}

// NewHedger returns a hedger without observations.
func NewHedger(config Config) *Hedger {
	if config.Budget == nil {
		config.Budget = retrier.NewBudget(retrier.BudgetConfig{Share: DefaultShare, Burst: DefaultBurst})
	}
	return &Hedger{config: config, delaySeconds: initialDelay.Seconds()}
}

// Start records a request and returns when a second copy may be sent; it returns false if none may be sent.
func (hedger *Hedger) Start(now time.Time, request lagoonlanding.Request) (time.Time, bool) {
	hedger.config.Budget.Earn()
	if !isRead(request) {
		return time.Time{}, false
	}
	hedger.mutex.Lock()
	defer hedger.mutex.Unlock()
	at := now.Add(max(time.Duration(hedger.delaySeconds*float64(time.Second)), minDelay))
	return at, request.Deadline().IsZero() || at.Before(request.Deadline())
}

// Hedge reports whether to send the second copy now, given the requests in flight at the candidates and the sum of their slots.
func (hedger *Hedger) Hedge(inFlight, slots int) bool {
	return float64(inFlight) < maxUtilization*float64(slots) && hedger.config.Budget.Spend()
}

// Answered records the response time of the first answer to a read.
func (hedger *Hedger) Answered(took time.Duration) {
	hedger.mutex.Lock()
	defer hedger.mutex.Unlock()
	// Stochastic quantile estimate: these step sizes balance at the value that hedgeQuantile of the response times lie below.
	if took.Seconds() > hedger.delaySeconds {
		hedger.delaySeconds *= 1 + quantileStep*hedgeQuantile
		return
	}
	hedger.delaySeconds *= 1 - quantileStep*(1-hedgeQuantile)
}

// isRead reports whether the request is idempotent and has a read-only method.
func isRead(request lagoonlanding.Request) bool {
	return request.IsIdempotent() && (request.Method() == "GET" || request.Method() == "HEAD")
}
