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
	// Daemons returns how many daemons share the slack.
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

func (budgets *Budgets) of(service string) *retrier.Budget {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	budget, ok := budgets.services[service]
	if !ok {
		burst := budgets.config.Slack / float64(max(budgets.config.Daemons(), 1))
		budget = retrier.NewBudget(retrier.BudgetConfig{Share: budgets.config.Share, Burst: burst})
		budgets.services[service] = budget
	}
	return budget
}
