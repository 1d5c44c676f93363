package forwarder

import (
	"sync"

	"lagoonlanding.example/lagoonlanding/requests/retrier"
)

// BudgetsConfig holds the limits of Budgets.
type BudgetsConfig struct {
	// Share is the number of retries that each request adds to the budget.
	Share float64
	// Slack is the number of retries that all daemons together may make beyond that.
	Slack float64
	// Daemons returns the number of daemons that share the slack, or zero while the fleet is unknown.
	Daemons func() int
}

// Budgets limit the retries to each service to this daemon's part of the fleet's budget.
type Budgets struct {
	config BudgetsConfig

	mutex    sync.Mutex
	services map[string]*retrier.Budget
}

// NewBudgets returns budgets that start full.
func NewBudgets(config BudgetsConfig) *Budgets {
	return &Budgets{config: config, services: map[string]*retrier.Budget{}}
}

// Earn adds the share of one request to the budget of the service.
func (budgets *Budgets) Earn(service string) { budgets.of(service).Earn() }

// Spend takes one retry from the budget of the service; it returns false if none is left.
func (budgets *Budgets) Spend(service string) bool { return budgets.of(service).Spend() }

// minBurst is the smallest capacity of a budget: with less than one, daemons of a fleet larger than the slack could never retry.
const minBurst = 1

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
	budget.Resize(max(part, minBurst))
	return budget
}
