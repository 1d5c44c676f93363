package lagoonlanding

import "time"

// Meter counts what callers get.
type Meter interface {
	// Finished notes the reply to a caller's request and how long it took.
	Finished(request Request, reply Reply, took time.Duration)
}
