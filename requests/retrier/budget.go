package retrier

import "sync"

// BudgetConfig holds the limits of a Budget.
type BudgetConfig struct {
	// Share is how many retries each first attempt adds to the budget.
	Share float64
	// Burst is the maximum of the budget.
	Burst float64
}

// Budget limits retries to a share of the first attempts; it is safe for concurrent use.
type Budget struct {
	config BudgetConfig

	mutex     sync.Mutex
	available float64
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, available: config.Burst}
}

// Earn adds the share of a first attempt to the budget.
func (budget *Budget) Earn() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.available = min(budget.available+budget.config.Share, budget.config.Burst)
}

// Resize changes the maximum of the budget and discards what exceeds it.
func (budget *Budget) Resize(burst float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.config.Burst = burst
	budget.available = min(budget.available, burst)
}

// Spend takes one retry from the budget and reports whether one was available.
func (budget *Budget) Spend() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.available < 1 {
		return false
	}
	budget.available--
	return true
}
