package experimenter

import "testing"

// TestOverloadControlServesMore asserts that clients get no fewer answers in time under each load, and that fewer requests fail after a refused call.
func TestOverloadControlServesMore(t *testing.T) {
	for seed := range seeds() {
		for _, variant := range overloadVariants() {
			without, with := runOverload(seed, variant, false), runOverload(seed, variant, true)
			// Single seeds differ by about a point where there is nothing to gain.
			if with.percent(with.inTime) < without.percent(without.inTime)-1 {
				t.Errorf("seed %d, %s: %.1f%% are in time instead of %.1f%%", seed, variant.title, with.percent(with.inTime), without.percent(without.inTime))
			}
			if variant.calls && 3*with.failed > without.failed {
				t.Errorf("seed %d, %s: %d requests failed after a refused call instead of %d", seed, variant.title, with.failed, without.failed)
			}
			if variant.load(overloadFrom) > 1 && variant.herd == 0 && with.hops >= without.hops {
				t.Errorf("seed %d, %s: %d hops instead of %d", seed, variant.title, with.hops, without.hops)
			}
		}
	}
}
