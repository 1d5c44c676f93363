package timer

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// millionths is the unit of a clock's drift.
const millionths = 1_000_000

// Clock is the clock of one instance, which runs too fast or too slow by a drift in millionths.
type Clock struct {
	timer *Timer
	base  time.Time
	from  time.Duration
	drift time.Duration
}

var _ lagoonlanding.Clock = (*Clock)(nil)

// NewClock returns a clock that shows the time now.
func NewClock(timer *Timer, shows time.Time) *Clock {
	return &Clock{timer: timer, base: shows, from: timer.now}
}

// Now returns the time that the clock shows.
func (clock *Clock) Now() time.Time {
	elapsed := clock.timer.now - clock.from
	return clock.base.Add(elapsed + elapsed*clock.drift/millionths)
}

// SetDrift changes how fast the clock runs from now on.
func (clock *Clock) SetDrift(drift int) {
	clock.base = clock.Now()
	clock.from = clock.timer.now
	clock.drift = time.Duration(drift)
}

// Until returns a channel that has received already, since no code in the one thread may wait for another.
func (clock *Clock) Until(time.Time) <-chan time.Time {
	passed := make(chan time.Time)
	close(passed)
	return passed
}

// Real returns how much real time passes while the clock shows that the term passes.
func (clock *Clock) Real(term time.Duration) time.Duration {
	return term * millionths / (millionths + clock.drift)
}
