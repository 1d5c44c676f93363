package picker

import (
	"sync"
	"time"
)

// LinkBudgetConfig holds the limits of a LinkBudget.
type LinkBudgetConfig struct {
	// BytesPerSecond is the refill rate; zero means no limit.
	BytesPerSecond int
	// Burst is the maximum of the budget in bytes.
	Burst int
}

// LinkBudget is a token bucket for the bytes that this instance sends and receives between regions; it is safe for concurrent use.
type LinkBudget struct {
	config LinkBudgetConfig

	mutex          sync.Mutex
	availableBytes float64
	refilledAt     time.Time
}

// NewLinkBudget returns a full budget.
func NewLinkBudget(config LinkBudgetConfig) *LinkBudget {
	return &LinkBudget{config: config, availableBytes: float64(config.Burst)}
}

// Permits reports whether the budget has the given number of bytes left.
func (linkbudget *LinkBudget) Permits(now time.Time, size int) bool {
	linkbudget.mutex.Lock()
	defer linkbudget.mutex.Unlock()
	linkbudget.refill(now)
	return linkbudget.config.BytesPerSecond == 0 || linkbudget.availableBytes >= float64(size)
}

// Spend deducts bytes that were sent or received; replies may overdraw the budget, which permits no requests then until it is refilled.
func (linkbudget *LinkBudget) Spend(now time.Time, size int) {
	linkbudget.mutex.Lock()
	defer linkbudget.mutex.Unlock()
	linkbudget.refill(now)
	linkbudget.availableBytes -= float64(size)
}

func (linkbudget *LinkBudget) refill(now time.Time) {
	if elapsed := now.Sub(linkbudget.refilledAt); elapsed > 0 && !linkbudget.refilledAt.IsZero() {
		linkbudget.availableBytes = min(linkbudget.availableBytes+elapsed.Seconds()*float64(linkbudget.config.BytesPerSecond), float64(linkbudget.config.Burst))
	}
	linkbudget.refilledAt = now
}
