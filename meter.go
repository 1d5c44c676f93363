package lagoonlanding

import "time"

// Meter records metrics of callers' requests.
type Meter interface {
	// Finished records the reply to a caller's request and its duration.
	Finished(request Request, reply Reply, took time.Duration)
}
