package provider

import "time"

// SwitchesConfig holds the parts of Switches.
type SwitchesConfig struct {
	// Down refuses all calls.
	Down bool
	// Silent leaves all calls without an answer.
	Silent bool
	// Delay holds each call up.
	Delay time.Duration
	// LostAnswers is how many further writes take effect without an answer.
	LostAnswers int
}

// Switches are the faults that the store shows.
type Switches struct {
	down        bool
	silent      bool
	delay       time.Duration
	lostAnswers int
}

// NewSwitches returns the faults that the configuration describes.
func NewSwitches(config SwitchesConfig) Switches {
	return Switches{down: config.Down, silent: config.Silent, delay: config.Delay, lostAnswers: config.LostAnswers}
}

// IsDown reports whether all calls are refused.
func (switches Switches) IsDown() bool { return switches.down }

// IsSilent reports whether all calls are left without an answer.
func (switches Switches) IsSilent() bool { return switches.silent }

// Delay returns how long each call is held up.
func (switches Switches) Delay() time.Duration { return switches.delay }

// LostAnswers returns how many further writes take effect without an answer.
func (switches Switches) LostAnswers() int { return switches.lostAnswers }
