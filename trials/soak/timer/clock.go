package timer

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// partsPerMillion is the unit of a clock's drift.
const partsPerMillion = 1_000_000

// Clock is the clock of one instance; it runs too fast or too slow by a drift in parts per million.
type Clock struct {
	timer *Timer
	// base is the clock's time at setAt, the simulated time of the last change of the drift.
	base     time.Time
	setAt    time.Duration
	driftPPM time.Duration
}

var _ lagoonlanding.Clock = (*Clock)(nil)

// NewClock returns a clock that starts at the given time.
func NewClock(timer *Timer, start time.Time) *Clock {
	return &Clock{timer: timer, base: start, setAt: timer.now}
}

// Now returns the current time of the clock.
func (clock *Clock) Now() time.Time {
	elapsed := clock.timer.now - clock.setAt
	return clock.base.Add(elapsed + elapsed*clock.driftPPM/partsPerMillion)
}

// SetDrift changes the drift of the clock from now on.
func (clock *Clock) SetDrift(driftPPM int) {
	clock.base = clock.Now()
	clock.setAt = clock.timer.now
	clock.driftPPM = time.Duration(driftPPM)
}

// Until returns a closed channel, because code that blocks would stop the only thread of the simulation.
func (clock *Clock) Until(time.Time) <-chan time.Time {
	closed := make(chan time.Time)
	close(closed)
	return closed
}

// RealDuration returns the simulated time that passes while the clock advances by the duration.
func (clock *Clock) RealDuration(duration time.Duration) time.Duration {
	return duration * partsPerMillion / (partsPerMillion + clock.driftPPM)
}
