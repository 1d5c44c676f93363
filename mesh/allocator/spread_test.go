package allocator

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// spreadStep lets the donors decide once from the same reports, as daemons do between two reports; it returns what they moved.
func (skewedload *skewedLoad) spreadStep(recentRate func(first, last int) float64) []Spreading {
	var all []Spreading
	utilizations := skewedload.utilizations()
	for _, donor := range skewedload.ids {
		config := SpreadConfig{
			Donor: donor, MeanRunTime: skewedload.runTime(donor), HalfLife: lagoonlanding.DemandHalfLife,
			LoadOf:       func(first, last int) float64 { return skewedload.rate(first, last) / skewedload.speeds[donor] },
			RecentLoadOf: func(first, last int) float64 { return recentRate(first, last) / skewedload.speeds[donor] },
		}
		for _, other := range skewedload.ids {
			if other != donor {
				config.Others = append(config.Others, ReceiverConfig{ID: other, Utilization: min(utilizations[other], 2.5), MeanRunTime: skewedload.runTime(other)})
			}
		}
		if next, spreading, ok := skewedload.allotment.Spread(config); ok {
			all = append(all, spreading)
			skewedload.allotment, _ = next.Release(donor, func(int, int) (string, bool) { return "proof", true })
		}
	}
	return all
}

func (skewedload *skewedLoad) busiest() float64 {
	busiest := 0.0
	for _, utilization := range skewedload.utilizations() {
		busiest = max(busiest, utilization)
	}
	return busiest
}

// TestSeveralDonorsGiveKeysToSeveralReceivers guards against one move at a time while several servers refuse requests, against donors that fill the same
// receiver, and against keys that move to and fro.
func TestSeveralDonorsGiveKeysToSeveralReceivers(t *testing.T) {
	for name, test := range map[string]struct {
		speeds                  []float64
		minDonors, minReceivers int
	}{
		"slow and fast servers":        {[]float64{70, 70, 160, 70, 70, 160, 70, 70, 160}, 2, 1},
		"servers of about equal speed": {[]float64{100, 100, 100, 100, 100, 100, 100, 70, 70, 130}, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			spread, shed := newSkewedLoad(0.75, test.speeds...), newSkewedLoad(0.75, test.speeds...)
			before := spread.busiest()
			first := spread.spreadStep(spread.rate)
			receivers := 0
			for _, spreading := range first {
				receivers = max(receivers, spreading.Receivers())
				if spreading.Gain() <= spreading.Loss() || spreading.Utilization() <= spreading.Average() {
					t.Errorf("a move that does not pay: %+v", spreading)
				}
			}
			if len(first) < test.minDonors || receivers < test.minReceivers {
				t.Errorf("%d donors, at most %d receivers of one", len(first), receivers)
			}
			for range 5 {
				spread.spreadStep(spread.rate)
			}
			// Under the earlier rule the donors take turns, five seconds apart; three rounds of all of them take longer than the plans above.
			for range 3 {
				shed.step()
			}
			t.Logf("busiest load: %.2f before, %.2f after plans for all, %.2f with single donors", before, spread.busiest(), shed.busiest())
			if spread.busiest() > 1 {
				t.Errorf("a server is still overloaded: %v", spread.utilizations())
			}
			if again := spread.spreadStep(spread.rate); len(again) != 0 {
				t.Errorf("keys move once the load is balanced: %+v", again)
			}
			if _, changed := spread.allotment.Plan(PlanConfig{Backends: backends(spread.ids...), IsExpired: neverExpired}); changed {
				t.Error("the next plan moves the stripes back")
			}
		})
	}
}

// TestHotKeyMovesOnlyIfThatPays guards against keys that lose a second of service for a load that is over, or has only just begun.
func TestHotKeyMovesOnlyIfThatPays(t *testing.T) {
	const hot = 30000
	for name, test := range map[string]struct {
		lasting, recent float64
		moves           bool
	}{
		"for long":     {75, 75, true},
		"just begun":   {10, 75, false},
		"about to end": {75, 10, false},
	} {
		// Only the fast server can take over the key without being overloaded.
		load := newSkewedLoad(0.3, 100, 100, 100, 200)
		owner := load.allotment.StripeOf(hot).Owner()
		load.rates[hot] = test.lasting
		recentRate := func(first, last int) float64 {
			rate := load.rate(first, last)
			if first <= hot && hot <= last {
				rate += test.recent - test.lasting
			}
			return rate
		}
		hotMoves := 0
		for _, spreading := range load.spreadStep(recentRate) {
			hotMoves += spreading.HotStripes()
		}
		if moved := load.allotment.StripeOf(hot).Owner() != owner; moved != test.moves || hotMoves > 0 != test.moves {
			t.Errorf("%s: moved %v, %d hot stripes", name, moved, hotMoves)
		}
	}
}

// TestNeighboursOfAHotKeyMoveAway guards against an owner that keeps other keys beside one that no other server could take.
func TestNeighboursOfAHotKeyMoveAway(t *testing.T) {
	const hot = 30000
	load := newSkewedLoad(0.4, 100, 100, 100)
	owner := load.allotment.StripeOf(hot).Owner()
	load.rates[hot] = 90
	before := load.utilizations()[owner]
	for range 4 {
		load.spreadStep(load.rate)
	}
	if got := load.allotment.StripeOf(hot).Owner(); got != owner {
		t.Errorf("the hot key moved from %v to %v, which cannot serve it with its own keys", owner, got)
	}
	if after := load.utilizations()[owner]; after > before-0.1 {
		t.Errorf("the owner's load fell only from %.2f to %.2f", before, after)
	}
}

func TestAgeOfALoad(t *testing.T) {
	for _, test := range []struct {
		lasting, recent float64
		want            time.Duration
	}{{1, 1, maxLoadAge}, {1, 0.2, maxLoadAge}, {0.5, 1, 5 * time.Second}, {0.75, 1, 10 * time.Second}, {0, 1, 0}} {
		if got := ageOf(test.lasting, test.recent, 5*time.Second); (got - test.want).Abs() > time.Millisecond {
			t.Errorf("%v of %v: %v, want %v", test.lasting, test.recent, got, test.want)
		}
	}
}
