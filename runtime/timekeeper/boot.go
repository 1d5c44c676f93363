package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"

	"lagoonlanding.example/lagoonlanding"
)

// BootClock counts the time since the machine started, also while it is suspended, which Clock does not.
type BootClock struct{}

var _ lagoonlanding.Clock = BootClock{}

// Now returns the time since the machine started as a time after the Unix epoch.
func (bootclock BootClock) Now() time.Time {
	var elapsed unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &elapsed); err != nil {
		panic("timekeeper: the system has no clock that counts suspended time: " + err.Error())
	}
	return time.Unix(elapsed.Unix())
}

// Until returns a channel that receives once the deadline has passed.
func (bootclock BootClock) Until(deadline time.Time) <-chan time.Time {
	return time.After(deadline.Sub(bootclock.Now()))
}
