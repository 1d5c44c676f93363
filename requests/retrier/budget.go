package retrier

import "sync"

// BudgetConfig bounds further tries.
type BudgetConfig struct {
	// Share is how many further tries each first try earns.
	Share float64
	// Burst bounds the further tries that are saved up.
	Burst float64
}

// Budget keeps further tries to a share of the first ones; it is safe for use by many goroutines.
type Budget struct {
	config BudgetConfig

	mutex  sync.Mutex
	earned float64
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, earned: config.Burst}
}

// Earn notes a first try.
func (budget *Budget) Earn() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.earned = min(budget.earned+budget.config.Share, budget.config.Burst)
}

// Resize changes how many further tries may be saved up; what is saved beyond that is lost.
func (budget *Budget) Resize(burst float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.config.Burst = burst
	budget.earned = min(budget.earned, burst)
}

// Spend takes a further try from the budget, if it bears one.
func (budget *Budget) Spend() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.earned < 1 {
		return false
	}
	budget.earned--
	return true
}
