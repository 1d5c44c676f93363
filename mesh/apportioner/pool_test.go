package apportioner

import (
	"fmt"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// report returns a complete report of a daemon.
func report(daemon string, sequence uint64, lines ...lagoonlanding.QuotaLine) lagoonlanding.QuotaReport {
	return lagoonlanding.NewQuotaReport(lagoonlanding.QuotaReportConfig{Daemon: daemon, Instance: 1, Sequence: sequence, Complete: true, Lines: lines})
}

func TestCreditsOfALostHolderCountUntilItsLeaseEnds(t *testing.T) {
	pool, now := NewPool(PoolConfig{RoundsUp: true}), time.Unix(1000, 0)
	pool.Add("w", 10)
	request := report("a", 1, lagoonlanding.NewQuotaLine("w", 0, 6))
	if !pool.Record(now, now.Add(time.Second), request) || pool.Grant(request)[0].Change() != 6 {
		t.Fatal("the report was not granted")
	}
	if pool.Expire(now.Add(time.Second)); pool.Outstanding("w") != 10 {
		t.Errorf("%d credits exist during the lease", pool.Outstanding("w"))
	}
	if pool.Expire(now.Add(time.Second + 1)); pool.Outstanding("w") != 4 {
		t.Errorf("%d credits exist after the lease", pool.Outstanding("w"))
	}
}

func TestDelayedReportChangesNothing(t *testing.T) {
	pool, now := NewPool(PoolConfig{}), time.Unix(1000, 0)
	pool.Record(now, now.Add(time.Second), report("a", 2, lagoonlanding.NewQuotaLine("w", 5, 0)))
	if pool.Record(now, now.Add(time.Second), report("a", 1, lagoonlanding.NewQuotaLine("w", 1, 0).WithGivenUp(4))) || pool.Outstanding("w") != 5 || pool.Free("w") != 0 {
		t.Errorf("%d credits exist, %d of them are free", pool.Outstanding("w"), pool.Free("w"))
	}
}

func TestScarceCreditsAreSharedMaxMinFairly(t *testing.T) {
	pool, now := NewPool(PoolConfig{}), time.Unix(1000, 0)
	pool.Add("w", 20)
	var granted []int
	for round := range uint64(2) {
		granted = nil
		for index, wanted := range []float64{2, 100, 9} {
			request := report(fmt.Sprint(index), round+1, lagoonlanding.NewQuotaLine("w", 0, wanted))
			if round > 0 {
				pool.Record(now, now.Add(time.Second), request)
				change := 0
				for _, grant := range pool.Grant(request) {
					change = grant.Change()
				}
				granted = append(granted, change)
				continue
			}
			pool.Record(now, now.Add(time.Second), request)
		}
	}
	if fmt.Sprint(granted) != "[2 9 9]" {
		t.Errorf("got %v", granted)
	}
}

func TestTwoArbitersNeverHaveAMajority(t *testing.T) {
	terms := Terms{Daemon: time.Second, Zone: 2 * time.Second, Vote: 2600 * time.Millisecond, Margin: 400 * time.Millisecond}
	now := time.Unix(1000, 0)
	voter := NewVoter(now, terms.Vote)
	voter.Propose("a", 1)
	if voter.Vote(now.Add(terms.Vote-1)) != nil {
		t.Error("the daemon votes although an earlier process may have voted just before")
	}
	now = now.Add(terms.Vote)
	if votes := voter.Vote(now); len(votes) != 1 || votes[0].Arbiter() != "a" {
		t.Fatalf("got %v", votes)
	}
	voter.Propose("b", 1)
	if voter.Vote(now.Add(terms.Vote-1)) != nil || voter.Vote(now.Add(terms.Vote)) == nil {
		t.Error("the daemon does not change its vote after the term")
	}
}

// BenchmarkReport answers the reports of 17 daemons in a zone with 76 workspaces, of which four change in each report.
func BenchmarkReport(b *testing.B) {
	terms := Terms{Daemon: time.Second, Zone: time.Hour, Vote: 2600 * time.Millisecond, Margin: 400 * time.Millisecond}
	now := time.Unix(1000, 0)
	zone := NewZone(terms)
	var grants []lagoonlanding.QuotaGrant
	for index := range 76 {
		grants = append(grants, lagoonlanding.NewQuotaGrant(fmt.Sprint("w", index), 20, 0))
	}
	zone.Apply(now, lagoonlanding.NewQuotaAnswer(lagoonlanding.QuotaAnswerConfig{Term: 100 * time.Hour, Grants: grants}))
	for number := 0; b.Loop(); number++ {
		config := lagoonlanding.QuotaReportConfig{Daemon: fmt.Sprint(number % 17), Instance: 1, Sequence: uint64(number/17 + 1), Complete: number < 17}
		for index := range 4 {
			config.Lines = append(config.Lines, lagoonlanding.NewQuotaLine(fmt.Sprint("w", (number+index)%76), number%2, float64(number%3)))
		}
		zone.OnReport(now, lagoonlanding.NewQuotaReport(config))
	}
}
