package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"

	"lagoonlanding.example/lagoonlanding"
)

// BootClock measures the time since the machine was booted, including the time during which it was suspended.
type BootClock struct{}

var _ lagoonlanding.Clock = BootClock{}

// Now returns the time since boot as a time after the Unix epoch.
func (bootclock BootClock) Now() time.Time {
	var elapsed unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &elapsed); err != nil {
		panic("timekeeper: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(elapsed.Unix())
}

// Until returns a channel that receives a value at the deadline.
func (bootclock BootClock) Until(deadline time.Time) <-chan time.Time {
	return time.After(deadline.Sub(bootclock.Now()))
}
