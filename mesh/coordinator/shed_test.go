package coordinator

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

// fixedDemand is a demand of the same load for each key; fixedReports report the same utilization of all others, and count moves.
type (
	fixedDemand  struct{ utilization float64 }
	fixedReports struct {
		utilization float64
		stripes     int
	}
)

func (fixeddemand fixedDemand) Demand(time.Time) lagoonlanding.Demand {
	ranges := make([]float32, lagoonlanding.DemandRanges)
	for index := range ranges {
		ranges[index] = float32(fixeddemand.utilization * 2 / lagoonlanding.DemandRanges)
	}
	return lagoonlanding.NewDemand(ranges, 100*time.Millisecond).WithRecent(ranges)
}

func (fixedreports *fixedReports) Utilization(time.Time, string) (float64, time.Duration, bool) {
	return fixedreports.utilization, 100 * time.Millisecond, true
}

func (fixedreports *fixedReports) Moved(stripes int, _, _ float64) { fixedreports.stripes += stripes }

// TestOverloadedServerMovesKeysWhileOthersMoveTheirs guards against a plan that every move of another server's keys delays by five seconds.
func TestOverloadedServerMovesKeysWhileOthersMoveTheirs(t *testing.T) {
	now := time.Unix(1000, 0)
	coordinator := newCoordinator(now, &recordingGate{}, true)
	reports := &fixedReports{utilization: 0.3}
	// The server has half of the keys, whose load is 1.4 of what it can run.
	coordinator.config.Demand, coordinator.config.Reports = fixedDemand{utilization: 1.4}, reports
	announce(coordinator, now, "b", 1, 1)
	self, other := coordinator.config.Assigner.ID(), lagoonlanding.NewBackendID("other", "b", 5)
	entry := lagoonlanding.NewEntry(FleetPrefix+"daemons/other", []byte(`{"daemon":"other","peer-address":"10.0.0.1:7000","availability-zone":"z",`+
		`"service":"s","backend-server":"b","born":5,"slots":6,"state":"ready"}`), 7)
	coordinator.Apply(now, lagoonlanding.NewChangeList([]lagoonlanding.Change{lagoonlanding.NewChange(entry, false)}, 7))
	allotment := func(version uint64) storedAllotment {
		stripes := make([]allocator.Stripe, allocator.MinStripes)
		for number := range stripes {
			config := allocator.StripeConfig{Owner: self, Token: 1}
			if number%2 == 0 {
				config = allocator.StripeConfig{Owner: other, Token: version}
			}
			stripes[number] = allocator.NewStripe(config)
		}
		return storedAllotment{revision: version, allotment: allocator.NewAllotment(allocator.AllotmentConfig{Service: "s", Version: version, Stripes: stripes})}
	}
	for elapsed := time.Duration(0); elapsed < spreadSettleTime; elapsed += 100 * time.Millisecond {
		if _, ok := coordinator.shed(now.Add(elapsed), "s", allotment(uint64(1+elapsed/time.Second))); ok {
			t.Fatalf("keys move %v after the last change", elapsed)
		}
	}
	next, ok := coordinator.shed(now.Add(spreadSettleTime), "s", allotment(9))
	if !ok || !next.AwaitsRelease(self) || reports.stripes == 0 {
		t.Fatalf("keys move: %v, %d stripes are counted", ok, reports.stripes)
	}
	coordinator.config.Demand = fixedDemand{utilization: 0.5}
	if _, ok := coordinator.shed(now.Add(spreadSettleTime+shedCheckInterval), "s", allotment(9)); ok {
		t.Error("keys of a server with room move")
	}
}
