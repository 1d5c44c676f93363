package player

import (
	"fmt"
	"testing"

	"lagoonlanding.example/soak/drawer"
)

const shortRun = 600

func TestRandomisedRunsKeepAllPromises(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			report := New(Config{Seed: seed}).Play(drawer.Draw(seed, shortRun))
			for _, violation := range report.Violations {
				t.Errorf("make soak SEED=%d STEPS=%d: %s", seed, shortRun, violation)
			}
			if report.Counts["reply answered"] < shortRun/10 {
				t.Errorf("only %d requests were answered", report.Counts["reply answered"])
			}
		})
	}
}

func TestRunIsDeterministic(t *testing.T) {
	first := New(Config{Seed: 7}).Play(drawer.Draw(7, shortRun))
	second := New(Config{Seed: 7}).Play(drawer.Draw(7, shortRun))
	if first.Digest != second.Digest {
		t.Errorf("digests %s and %s of the same seed", first.Digest, second.Digest)
	}
}
