package picker

import (
	"math"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// intervalSmoothing is the reciprocal of the weight of a new interval in the mean interval between requests.
const intervalSmoothing = 64

// SplitConfig holds the settings of a Split picker.
type SplitConfig struct {
	// Slots is the maximum concurrency of an instance.
	Slots int
}

// Split distributes the requests according to the optimal split of problem RS in "Optimal Stochastic Scheduling in Multiclass
// Parallel Queues", for one class and exponential service times, in the deterministic form that the paper's introduction suggests.
type Split struct {
	config SplitConfig

	mutex           sync.Mutex
	tracker         *tracker
	credits         map[lagoonlanding.InstanceID]float64
	intervalSeconds float64
	pickedAt        time.Time
}

var _ lagoonlanding.Picker = (*Split)(nil)

// NewSplit returns a picker that distributes the requests evenly until it has observed service times.
func NewSplit(config SplitConfig) *Split {
	return &Split{config: config, tracker: newTracker(), credits: map[lagoonlanding.InstanceID]float64{}}
}

// Pick returns the instance with the largest unused share.
func (split *Split) Pick(now time.Time, candidates []lagoonlanding.Instance, _ int) (lagoonlanding.Instance, lagoonlanding.Reason) {
	split.mutex.Lock()
	defer split.mutex.Unlock()
	if len(candidates) == 0 {
		return lagoonlanding.Instance{}, lagoonlanding.ReasonNoUpstream
	}
	if !split.pickedAt.IsZero() {
		split.intervalSeconds += (now.Sub(split.pickedAt).Seconds() - split.intervalSeconds) / intervalSmoothing
	}
	split.pickedAt = now
	serviceRates := make([]float64, len(candidates))
	for i, candidate := range candidates {
		instancestats := split.tracker.get(now, candidate.ID())
		serviceRates[i] = float64(max(split.config.Slots, 1)) / max(split.tracker.decayedMean(now, instancestats), 1e-6)
	}
	if len(split.credits) > 2*len(candidates) {
		clear(split.credits)
	}
	best := 0
	for i, share := range optimalShares(serviceRates, 1/max(split.intervalSeconds, 1e-6)) {
		split.credits[candidates[i].ID()] += share
		if split.credits[candidates[i].ID()] > split.credits[candidates[best].ID()] {
			best = i
		}
	}
	split.credits[candidates[best].ID()]--
	split.tracker.get(now, candidates[best].ID()).inFlight++
	return candidates[best], lagoonlanding.ReasonNone
}

// Done records the observation of a request to a picked instance.
func (split *Split) Done(now time.Time, id lagoonlanding.InstanceID, observation lagoonlanding.Observation) {
	split.mutex.Lock()
	defer split.mutex.Unlock()
	split.tracker.observe(now, id, observation.Took(), observation.IsSuccess())
}

// optimalShares returns the share of the request rate for each server that minimizes the mean response time; slow servers may get none.
func optimalShares(serviceRates []float64, rate float64) []float64 {
	included := make([]bool, len(serviceRates))
	for i := range included {
		included[i] = true
	}
	for {
		total, roots := 0.0, 0.0
		for i, serviceRate := range serviceRates {
			if included[i] {
				total += serviceRate
				roots += math.Sqrt(serviceRate)
			}
		}
		// There is no optimum under overload; the shares are then nearly proportional to the capacities.
		spare := max(total-rate, total/100)
		shares, sum, dropped := make([]float64, len(serviceRates)), 0.0, false
		for i, serviceRate := range serviceRates {
			if !included[i] {
				continue
			}
			shares[i] = serviceRate - math.Sqrt(serviceRate)*spare/roots
			if shares[i] <= 0 {
				included[i], dropped = false, true
			}
			sum += shares[i]
		}
		if dropped {
			continue
		}
		for i := range shares {
			shares[i] /= sum
		}
		return shares
	}
}
