package timekeeper

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Clock is the clock of the operating system.
type Clock struct{}

var _ lagoonlanding.Clock = Clock{}

// Now returns the current time with its monotonic reading.
func (clock Clock) Now() time.Time { return time.Now() }

// Until returns a channel that receives once the deadline has passed.
func (clock Clock) Until(deadline time.Time) <-chan time.Time {
	return time.After(time.Until(deadline))
}
