package lagoonlanding

import "time"

// Clock tells the monotonic time of this process and wakes those who wait for a deadline.
type Clock interface {
	// Now returns the current time; only its monotonic reading is compared.
	Now() time.Time
	// Until returns a channel that receives once the deadline has passed.
	Until(deadline time.Time) <-chan time.Time
}
