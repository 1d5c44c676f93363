package lagoonlanding

import "time"

// Picker chooses which instance gets a request to a service that is not divided by key; it is safe for use by many goroutines.
type Picker interface {
	// Pick returns one of the candidates for a request of the size in bytes and counts it there; the reason says why there is none.
	Pick(now time.Time, candidates []Instance, size int) (Instance, Reason)
	// Done tells how a request at a picked instance has ended.
	Done(now time.Time, id InstanceID, observation Observation)
}

// Observation is what a caller of a picked instance has seen of one request.
type Observation struct {
	took time.Duration
	size int
	fit  bool
}

// NewObservation returns what was seen: the time, the size of the answer in bytes, and whether the instance was fit to answer.
func NewObservation(took time.Duration, size int, fit bool) Observation {
	return Observation{took: took, size: size, fit: fit}
}

// Took returns how long the request took.
func (observation Observation) Took() time.Duration { return observation.took }

// Size returns the size of the answer in bytes.
func (observation Observation) Size() int { return observation.size }

// IsFit reports whether the instance answered, neither lost nor refusing the request.
func (observation Observation) IsFit() bool { return observation.fit }
