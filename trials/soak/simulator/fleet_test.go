package simulator

import (
	"fmt"
	"testing"

	"lagoonlanding.example/soak/generator"
)

// randomSteps and targetedSteps are the numbers of events of a run in a test; each targeted event takes seconds.
const (
	randomSteps   = 600
	targetedSteps = 40
)

func stepsFor(seed uint64) int {
	if seed%2 == 1 {
		return targetedSteps
	}
	return randomSteps
}

func TestRandomRunsKeepAllGuarantees(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 3, 4, 6} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			steps := stepsFor(seed)
			report := New(Config{Seed: seed}).Run(generator.Generate(seed, steps))
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
		first := New(Config{Seed: seed}).Run(generator.Generate(seed, stepsFor(seed)))
		second := New(Config{Seed: seed}).Run(generator.Generate(seed, stepsFor(seed)))
		if first.Digest != second.Digest {
			t.Errorf("two runs gave digests %s and %s for seed %d", first.Digest, second.Digest, seed)
		}
	}
}
