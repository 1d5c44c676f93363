package forwarder

import "testing"

// spent returns how many further tries the budgets bear at once.
func spent(budgets *Budgets) int {
	count := 0
	for budgets.Spend("s") {
		count++
	}
	return count
}

func TestBudgetFollowsTheSizeOfTheFleet(t *testing.T) {
	// A daemon that has just started knows no other yet, and then twelve.
	daemons := 0
	budgets := NewBudgets(BudgetsConfig{Share: 0.12, Slack: 36, Daemons: func() int { return daemons }})
	budgets.Earn("s")
	if count := spent(budgets); count > 0 {
		t.Errorf("%d further tries before the fleet is known", count)
	}
	daemons = 1
	if count := spent(budgets); count > 3 {
		t.Errorf("%d further tries by a daemon that takes itself for the only one", count)
	}
	daemons = 12
	for range 1000 {
		budgets.Earn("s")
	}
	if count := spent(budgets); count != 3 {
		t.Errorf("%d further tries are saved up, each of 12 daemons has 3", count)
	}
}

func TestDaemonOfALargeFleetStillTriesAgain(t *testing.T) {
	budgets := NewBudgets(BudgetsConfig{Share: 0.12, Slack: 36, Daemons: func() int { return 2900 }})
	if count := spent(budgets); count > 0 {
		t.Errorf("%d further tries before any request, by each of 2,900 daemons", count)
	}
	tries := 0
	for range 100 {
		budgets.Earn("s")
		tries += spent(budgets)
	}
	if tries < 10 || tries > 12 {
		t.Errorf("%d further tries for 100 requests, at a share of 0.12", tries)
	}
}
