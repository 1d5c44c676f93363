package player

import (
	"fmt"
	"testing"

	"lagoonlanding.example/soak/drawer"
)

// shortRun and shortAimedRun are the events of a run in a unit test; aimed events play for seconds each.
const (
	shortRun      = 600
	shortAimedRun = 40
)

func stepsOf(seed uint64) int {
	if seed%2 == 1 {
		return shortAimedRun
	}
	return shortRun
}

func TestRandomisedRunsKeepAllPromises(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 3, 4, 6} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			steps := stepsOf(seed)
			report := New(Config{Seed: seed}).Play(drawer.Generate(seed, steps))
			for _, violation := range report.Violations {
				t.Errorf("make soak SEED=%d STEPS=%d: %s", seed, steps, violation)
			}
			if report.Counts["reply answered"] < steps/10 {
				t.Errorf("only %d requests were answered", report.Counts["reply answered"])
			}
		})
	}
}

func TestRunIsDeterministic(t *testing.T) {
	for _, seed := range []uint64{7, 8} {
		first := New(Config{Seed: seed}).Play(drawer.Generate(seed, stepsOf(seed)))
		second := New(Config{Seed: seed}).Play(drawer.Generate(seed, stepsOf(seed)))
		if first.Digest != second.Digest {
			t.Errorf("digests %s and %s of seed %d", first.Digest, second.Digest, seed)
		}
	}
}
