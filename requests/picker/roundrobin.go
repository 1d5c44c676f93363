package picker

import (
	"sync/atomic"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// RoundRobin picks the candidates in turn; it is the baseline of the benchmarks.
type RoundRobin struct {
	turn atomic.Uint64
}

var _ lagoonlanding.Picker = (*RoundRobin)(nil)

// NewRoundRobin returns a picker that starts with the first candidate.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Pick returns the next candidate in turn.
func (roundrobin *RoundRobin) Pick(_ time.Time, candidates []lagoonlanding.Instance, _ int) (lagoonlanding.Instance, lagoonlanding.Reason) {
	if len(candidates) == 0 {
		return lagoonlanding.Instance{}, lagoonlanding.ReasonNoUpstream
	}
	turn := roundrobin.turn.Add(1) - 1
	return candidates[turn%uint64(len(candidates))], lagoonlanding.ReasonNone
}

// Done does nothing, since the policy does not depend on observations.
func (roundrobin *RoundRobin) Done(time.Time, lagoonlanding.InstanceID, lagoonlanding.Observation) {}
