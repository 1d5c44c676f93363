package timekeeper

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Clock is the system clock, whose monotonic reading stops while the machine is suspended.
type Clock struct{}

var _ lagoonlanding.Clock = Clock{}

// Now returns the current time with a monotonic reading.
func (clock Clock) Now() time.Time { return time.Now() }

// Until returns a channel that receives a value at the deadline.
func (clock Clock) Until(deadline time.Time) <-chan time.Time {
	return time.After(time.Until(deadline))
}
