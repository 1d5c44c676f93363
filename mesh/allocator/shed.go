package allocator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// minShedUtilization is the load per slot below which a backend server keeps its keys: it can run all of their tasks.
	minShedUtilization = 1.0
	// minShedGap is by how much the receiver must be less loaded, so that keys don't move to and fro.
	minShedGap = 0.4
	// shedDamping is the fraction of the exact amount that moves: the loads are estimates, and other donors may choose the same receiver.
	shedDamping = 0.7
	// maxShedShare is the fraction of its share that a donor gives away at a time, since keys that move are unavailable for about a second.
	maxShedShare = 0.2
	// minWeight and maxWeight bound the weight of a backend server.
	minWeight = 0.25
	maxWeight = 4.0
)

// ReceiverConfig describes a backend server that may take over keys.
type ReceiverConfig struct {
	// ID is its process.
	ID lagoonlanding.BackendID
	// Utilization is its load per slot.
	Utilization float64
	// MeanRunTime is the mean run time of its tasks.
	MeanRunTime time.Duration
}

// ShedConfig holds the inputs of Shed.
type ShedConfig struct {
	// Donor is the process whose daemon decides.
	Donor lagoonlanding.BackendID
	// Utilization is its load per slot, with the tasks that it refused, and MeanRunTime the mean run time of its tasks.
	Utilization float64
	MeanRunTime time.Duration
	// LoadOf returns the part of the utilization that is due to the keys from first to last.
	LoadOf func(first, last int) float64
	// Receivers are the other backend servers with recent reports.
	Receivers []ReceiverConfig
}

// Shed returns the allotment in which an overloaded backend server has given stripes to the least loaded one; it returns false if a move
// would not pay.
//
// Load: busy keys that are close to one another, on backend servers of different speeds, where some servers have full queues while others
// have free slots. The busiest stripes that fit move, so few keys do; a stripe that alone is too much for the receiver stays. The weights
// of both change by what moved, so that later plans keep the difference.
func (allotment *Allotment) Shed(config ShedConfig) (*Allotment, bool) {
	if config.Utilization < minShedUtilization || len(config.Receivers) == 0 || allotment.AwaitsRelease(config.Donor) {
		return nil, false
	}
	receiver := slices.MinFunc(config.Receivers, func(a, b ReceiverConfig) int { return cmp.Compare(a.Utilization, b.Utilization) })
	gap := config.Utilization - receiver.Utilization
	if gap < minShedGap {
		return nil, false
	}
	// After a move of the amount, both are equally loaded: a slower receiver needs longer for the same tasks.
	slowdown := 1.0
	if config.MeanRunTime > 0 && receiver.MeanRunTime > 0 {
		slowdown = receiver.MeanRunTime.Seconds() / config.MeanRunTime.Seconds()
	}
	next := allotment.next()
	moving := next.stripesWithin(config, shedDamping*gap/(1+slowdown))
	if len(moving) == 0 {
		return nil, false
	}
	for _, number := range moving {
		next.config.Stripes[number].moveTo(receiver.ID, next.Version(), func(lagoonlanding.BackendID) bool { return false })
	}
	next.shiftWeight(config.Donor.Daemon(), receiver.ID.Daemon(), len(moving), len(config.Receivers)+1)
	return next, true
}

// stripesWithin returns stripes of the donor with at most the given load in total, the busiest first.
func (allotment *Allotment) stripesWithin(config ShedConfig, amount float64) []int {
	type candidate struct {
		number int
		load   float64
	}
	var candidates []candidate
	for number, stripe := range allotment.config.Stripes {
		if stripe.Owner() == config.Donor && stripe.Prior().IsZero() {
			candidates = append(candidates, candidate{number: number, load: config.LoadOf(allotment.bounds(number))})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.load, a.load) })
	share := float64(len(allotment.config.Stripes)) / float64(len(config.Receivers)+1)
	most := min(int(share*maxShedShare), len(candidates)-int(math.Ceil(share*minWeight)))
	var moving []int
	for _, candidate := range candidates {
		if len(moving) >= most || candidate.load <= 0 {
			break
		}
		if candidate.load <= amount {
			moving = append(moving, candidate.number)
			amount -= candidate.load
		}
	}
	return moving
}

// weight returns the weight of the daemon's backend server, by which its share of the stripes differs from the average.
func (allotment *Allotment) weight(daemon string) float64 {
	if weight, ok := allotment.config.Weights[daemon]; ok {
		return min(max(weight, minWeight), maxWeight)
	}
	return 1
}

// shiftWeight moves the weight of a number of stripes between two of the given number of backend servers.
func (allotment *Allotment) shiftWeight(from, to string, stripes, backends int) {
	delta := float64(stripes) * float64(backends) / float64(len(allotment.config.Stripes))
	weights := maps.Clone(allotment.config.Weights)
	if weights == nil {
		weights = map[string]float64{}
	}
	weights[from], weights[to] = allotment.weight(from)-delta, allotment.weight(to)+delta
	allotment.config.Weights = weights
}
