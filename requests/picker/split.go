package picker

import (
	"math"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// rateWeight is the share of a new gap in the mean gap between requests, as its inverse.
const rateWeight = 64

// SplitConfig holds what a Split picker is built from.
type SplitConfig struct {
	// Slots is how many requests an instance runs at once.
	Slots int
}

// Split gives each instance its share of the optimal split of problem RS in "Optimal Stochastic Scheduling in Multiclass
// Parallel Queues", for one class and exponential service times, in the deterministic form that its introduction suggests.
type Split struct {
	config SplitConfig

	mutex   sync.Mutex
	tracker *tracker
	credits map[lagoonlanding.InstanceID]float64
	gap     float64
	last    time.Time
}

var _ lagoonlanding.Picker = (*Split)(nil)

// NewSplit returns a picker that splits evenly until it has seen service times.
func NewSplit(config SplitConfig) *Split {
	return &Split{config: config, tracker: newTracker(), credits: map[lagoonlanding.InstanceID]float64{}}
}

// Pick returns the instance that is furthest behind its share.
func (split *Split) Pick(now time.Time, candidates []lagoonlanding.Instance, _ int) (lagoonlanding.Instance, lagoonlanding.Reason) {
	split.mutex.Lock()
	defer split.mutex.Unlock()
	if len(candidates) == 0 {
		return lagoonlanding.Instance{}, lagoonlanding.ReasonNoUpstream
	}
	if !split.last.IsZero() {
		split.gap += (now.Sub(split.last).Seconds() - split.gap) / rateWeight
	}
	split.last = now
	speeds := make([]float64, len(candidates))
	for i, candidate := range candidates {
		known := split.tracker.of(now, candidate.ID())
		speeds[i] = float64(max(split.config.Slots, 1)) / max(split.tracker.decayed(now, known), 1e-6)
	}
	if len(split.credits) > 2*len(candidates) {
		clear(split.credits)
	}
	best := 0
	for i, share := range shares(speeds, 1/max(split.gap, 1e-6)) {
		split.credits[candidates[i].ID()] += share
		if split.credits[candidates[i].ID()] > split.credits[candidates[best].ID()] {
			best = i
		}
	}
	split.credits[candidates[best].ID()]--
	split.tracker.of(now, candidates[best].ID()).inFlight++
	return candidates[best], lagoonlanding.ReasonNone
}

// Done counts what was seen of a request at a picked instance.
func (split *Split) Done(now time.Time, id lagoonlanding.InstanceID, observation lagoonlanding.Observation) {
	split.mutex.Lock()
	defer split.mutex.Unlock()
	split.tracker.observe(now, id, observation.Took(), observation.IsSuccess())
}

// shares returns the part of the rate that each server gets so that the mean response time is least; slow ones may get none.
func shares(speeds []float64, rate float64) []float64 {
	used := make([]bool, len(speeds))
	for i := range used {
		used[i] = true
	}
	for {
		total, roots := 0.0, 0.0
		for i, speed := range speeds {
			if used[i] {
				total += speed
				roots += math.Sqrt(speed)
			}
		}
		// An overloaded set has no optimum; then each server gets its part of the capacity.
		spare := max(total-rate, total/100)
		parts, sum, dropped := make([]float64, len(speeds)), 0.0, false
		for i, speed := range speeds {
			if !used[i] {
				continue
			}
			parts[i] = speed - math.Sqrt(speed)*spare/roots
			if parts[i] <= 0 {
				used[i], dropped = false, true
			}
			sum += parts[i]
		}
		if dropped {
			continue
		}
		for i := range parts {
			parts[i] /= sum
		}
		return parts
	}
}
