package lagoonlanding

import "time"

// Clock provides the process's monotonic time and timers.
type Clock interface {
	// Now returns the current time; only its monotonic reading is compared.
	Now() time.Time
	// Until returns a channel that receives once the deadline has passed.
	Until(deadline time.Time) <-chan time.Time
}
