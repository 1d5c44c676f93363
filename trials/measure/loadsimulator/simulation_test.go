package loadsimulator

import "testing"

// TestUnevenLoadIsBalanced plays demand that swings by zone on servers of unlike speed with noisy neighbours, and guards against daemons that all choose
// the same servers by old reports: then tries, late answers and the busiest server's load rise above those of the comparison of all candidates.
func TestUnevenLoadIsBalanced(t *testing.T) {
	for name, config := range map[string]Config{"uneven demand": UnevenDemand(0.7), "competing callers": CompetingCallers(0.7)} {
		t.Run(name, func(t *testing.T) {
			compared := New(config).Run()
			config.Samples = true
			sampled := New(config).Run()
			config.ReportsSlowdown = false
			unreported := New(config).Run()
			t.Logf("all compared: %v", compared)
			t.Logf("some drawn: %v", sampled)
			t.Logf("some drawn, no slowdown reported: %v", unreported)
			for _, tally := range []Tally{sampled, unreported} {
				if tally.Ratio() > 1.6 || tally.Tries() > 1.2 {
					t.Errorf("beyond the targets of heavy days: %v", tally)
				}
				if tally.Missed() >= compared.Missed() {
					t.Errorf("more late and refused than with all compared: %v", tally)
				}
			}
		})
	}
}
