package lagoonlanding

import "time"

// Picker balances requests to services that are not sharded across the instances; it is safe for concurrent use.
type Picker interface {
	// Pick chooses a candidate for a request of size bytes and counts the request as in flight there; the reason says why none was chosen.
	Pick(now time.Time, candidates []Instance, size int) (Instance, Reason)
	// Done records the completion of a request at a picked instance.
	Done(now time.Time, id InstanceID, observation Observation)
}

// Observation is the result of one request as seen by the sender.
type Observation struct {
	took    time.Duration
	size    int
	success bool
}

// NewObservation returns an observation of the duration, the response size in bytes and whether the request counts as a success of the instance.
func NewObservation(took time.Duration, size int, success bool) Observation {
	return Observation{took: took, size: size, success: success}
}

// Took returns the duration of the request.
func (observation Observation) Took() time.Duration { return observation.took }

// Size returns the response size in bytes.
func (observation Observation) Size() int { return observation.size }

// IsSuccess reports whether the request counts as a success of the instance for load balancing.
func (observation Observation) IsSuccess() bool { return observation.success }
