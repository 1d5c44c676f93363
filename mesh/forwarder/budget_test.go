package forwarder

import "testing"

// spendAll spends all retries that are left and returns their number.
func spendAll(budgets *Budgets) int {
	count := 0
	for budgets.Spend("s") {
		count++
	}
	return count
}

func TestBudgetFollowsTheSizeOfTheFleet(t *testing.T) {
	// A daemon that has just started knows no fleet, then only itself, and later twelve daemons.
	daemons := 0
	budgets := NewBudgets(BudgetsConfig{Share: 0.12, Slack: 36, Daemons: func() int { return daemons }})
	budgets.Earn("s")
	if count := spendAll(budgets); count > 0 {
		t.Errorf("%d retries before the fleet is known", count)
	}
	daemons = 1
	if count := spendAll(budgets); count > 3 {
		t.Errorf("%d retries by a daemon that knows no other", count)
	}
	daemons = 12
	for range 1000 {
		budgets.Earn("s")
	}
	if count := spendAll(budgets); count != 3 {
		t.Errorf("%d retries are saved up, want 3 for each of 12 daemons", count)
	}
}

func TestDaemonOfALargeFleetStillRetries(t *testing.T) {
	budgets := NewBudgets(BudgetsConfig{Share: 0.12, Slack: 36, Daemons: func() int { return 2900 }})
	if count := spendAll(budgets); count > 0 {
		t.Errorf("%d retries before any request, by each of 2,900 daemons", count)
	}
	tries := 0
	for range 100 {
		budgets.Earn("s")
		tries += spendAll(budgets)
	}
	if tries < 10 || tries > 12 {
		t.Errorf("%d retries for 100 requests, at a share of 0.12", tries)
	}
}
