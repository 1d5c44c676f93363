package provider

import "time"

// FaultsConfig holds the fields of Faults.
type FaultsConfig struct {
	// Down makes the store refuse all calls.
	Down bool
	// Silent makes the store reply to no call.
	Silent bool
	// Delay is added to each call.
	Delay time.Duration
	// LostReplies is the number of upcoming writes that are applied but not replied to.
	LostReplies int
}

// Faults describes the faults injected into the store.
type Faults struct {
	down        bool
	silent      bool
	delay       time.Duration
	lostReplies int
}

// NewFaults returns the faults with the given configuration.
func NewFaults(config FaultsConfig) Faults {
	return Faults{down: config.Down, silent: config.Silent, delay: config.Delay, lostReplies: config.LostReplies}
}

// IsDown reports whether all calls are refused.
func (faults Faults) IsDown() bool { return faults.down }

// IsSilent reports whether the store replies to no call.
func (faults Faults) IsSilent() bool { return faults.silent }

// Delay returns the delay added to each call.
func (faults Faults) Delay() time.Duration { return faults.delay }

// LostReplies returns the number of upcoming writes that are applied but not replied to.
func (faults Faults) LostReplies() int { return faults.lostReplies }
