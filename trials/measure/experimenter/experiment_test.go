package experimenter

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// full makes the tests draw many seeds rather than one.
var full = flag.Bool("full", false, "draw many seeds")

func seeds() uint64 {
	if *full {
		return 10
	}
	return 1
}

// TestColdServerComesBack asserts that no cold turn ends the service for good, and that a backend server whose connections
// broke and that bears one more request for each 16 completions never gets more than it bears.
func TestColdServerComesBack(t *testing.T) {
	for seed := range seeds() {
		for _, isSilent := range []bool{false, true} {
			for _, warmth := range []int{8, 16, 32, 64} {
				run := runColdStart(seed, isSilent, false, warmth, "")
				name := fmt.Sprintf("seed %d, silent %v, %d completions", seed, isSilent, warmth)
				if run.full >= coldEnd-coldTurn {
					t.Errorf("%s: no full service within %v", name, coldEnd-coldTurn)
				}
				if overshoot := run.node.Backend().MaxExcess(); !isSilent && warmth <= 16 && overshoot > 0 {
					t.Errorf("%s: %d requests more than the backend server bears", name, overshoot)
				}
			}
		}
	}
}

// TestQuarantineStopsPoison asserts that a re-sent crashing request takes at most the stated number of backend servers down,
// and that no harmless request is stopped.
func TestQuarantineStopsPoison(t *testing.T) {
	for seed := range seeds() {
		run := runPoison(seed, true, 10*time.Second)
		if run.crashes > 3 || run.stopped > 0 {
			t.Errorf("seed %d: %d crashes, %d harmless requests stopped", seed, run.crashes, run.stopped)
		}
	}
}

// TestRetriesAfterAnOutage asserts that the tries while the service is down stay within the budget of a tenth.
func TestRetriesAfterAnOutage(t *testing.T) {
	run := runStorm(1, stormWay{budget: budgetOfATenth(), tries: 6})
	const earned, saved = 0.1, 10
	if bound := (1+earned)*float64(run.firstDown) + saved; float64(run.triesDown) > bound {
		t.Errorf("%d tries for %d requests", run.triesDown, run.firstDown)
	}
}

// TestZoneReturns asserts that nobody is refused while a zone is out and after its return, and that its cold backend server
// never gets more than it bears.
func TestZoneReturns(t *testing.T) {
	for seed := range seeds() {
		phases, fleet, _ := runZone(seed, way{picker: least(0)})
		for index, phase := range phases {
			if phase.failed > 0 {
				t.Errorf("seed %d, phase %d: %d requests failed", seed, index, phase.failed)
			}
		}
		if collapses := fleet.nodes[0].Backend().ExcessRequests(); collapses > 0 {
			t.Errorf("seed %d: %d requests more than the returning backend server bears", seed, collapses)
		}
	}
}

// TestFloodLeavesOthersAlone asserts that no tenant within its share is refused in another one's flood.
func TestFloodLeavesOthersAlone(t *testing.T) {
	orderings := orderings()
	_, during, _ := runFlood(1, orderings[len(orderings)-1])
	if during.failed > 0 || during.quantile(99) > float64(floodDeadline/time.Millisecond) {
		t.Errorf("%d requests of the others failed, p99 %.1f ms", during.failed, during.quantile(99))
	}
}
