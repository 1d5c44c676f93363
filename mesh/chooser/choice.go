package chooser

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Choice is a chosen candidate with what the choice was based on.
type Choice struct {
	backend       lagoonlanding.Backend
	wait, runTime time.Duration
	reportedAt    time.Time
	inTime        bool
}

// Backend returns the chosen candidate.
func (choice Choice) Backend() lagoonlanding.Backend { return choice.backend }

// Wait returns how long the task is expected to wait there.
func (choice Choice) Wait() time.Duration { return choice.wait }

// RunTime returns how long the task is expected to run there.
func (choice Choice) RunTime() time.Duration { return choice.runTime }

// ReportedAt returns when the candidate last reported its load to this daemon, the zero time if it never has.
func (choice Choice) ReportedAt() time.Time { return choice.reportedAt }

// IsInTime reports whether the answer is expected by the objective.
func (choice Choice) IsInTime() bool { return choice.inTime }
