package forwarder

import (
	"sync"

	"lagoonlanding.example/lagoonlanding/requests/retrier"
)

// BudgetsConfig holds what Budgets are built from.
type BudgetsConfig struct {
	// Share is how many further tries each first try earns.
	Share float64
	// Slack is how many further tries all daemons together may make beyond that.
	Slack float64
	// Daemons returns how many daemons share the slack, zero while the fleet is not known.
	Daemons func() int
}

// Budgets bound the further tries to each service by this daemon's part of what the fleet may make.
type Budgets struct {
	config BudgetsConfig

	mutex    sync.Mutex
	services map[string]*retrier.Budget
}

// NewBudgets returns full budgets.
func NewBudgets(config BudgetsConfig) *Budgets {
	return &Budgets{config: config, services: map[string]*retrier.Budget{}}
}

// Earn notes the first try of a request to the service.
func (budgets *Budgets) Earn(service string) { budgets.of(service).Earn() }

// Spend takes a further try from the service's budget, if it bears one.
func (budgets *Budgets) Spend(service string) bool { return budgets.of(service).Spend() }

// leastBurst lets a daemon of a fleet with more daemons than slack save up for one further try.
const leastBurst = 1

func (budgets *Budgets) of(service string) *retrier.Budget {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	part := 0.0
	if daemons := budgets.config.Daemons(); daemons > 0 {
		part = budgets.config.Slack / float64(daemons)
	}
	budget, ok := budgets.services[service]
	if !ok {
		budget = retrier.NewBudget(retrier.BudgetConfig{Share: budgets.config.Share, Burst: part})
		budgets.services[service] = budget
	}
	budget.Resize(max(part, leastBurst))
	return budget
}
