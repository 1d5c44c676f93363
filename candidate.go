package lagoonlanding

import "time"

// CandidateFilter excludes candidates of one choice of a backend server.
type CandidateFilter interface {
	// AllowsRegion reports whether a backend server of the region may be chosen.
	AllowsRegion(region string) bool
	// Allows reports whether the backend server may be chosen.
	Allows(candidate Backend) bool
}

// Need describes the task for which a backend server is chosen.
type Need struct {
	objective time.Time
	bytes     int64
	coldRate  float64
}

// NewNeed returns the need of a task with a latency objective, the zero time for none, and a body of the given number of bytes, negative if that is
// unknown; coldRate is the number of tasks per second that a cold backend server of the service accepts, zero for no limit.
func NewNeed(objective time.Time, bytes int64, coldRate float64) Need {
	return Need{objective: objective, bytes: max(bytes, 0), coldRate: coldRate}
}

// Objective returns the time by which the answer should arrive, the zero time if there is none.
func (need Need) Objective() time.Time { return need.objective }

// Bytes returns the number of bytes of the body.
func (need Need) Bytes() int64 { return need.bytes }

// ColdRate returns the number of tasks per second that a cold backend server accepts, zero for no limit.
func (need Need) ColdRate() float64 { return need.coldRate }
