package allocator

import (
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

// maxImbalance is by how much the stripes of a backend server may differ from its share before some move, as a fraction of its share.
//
// A move makes the keys unavailable for about a second, so small differences are tolerated.
const maxImbalance = 0.2

// stripesPerBackend is the target number of stripes per backend server: that many ranges fit into a message to it.
//
// Busy keys are close to one another, so more and shorter stripes spread them over more backend servers.
const stripesPerBackend = 72

// PlanConfig holds the inputs of a plan.
type PlanConfig struct {
	// Backends are the backend servers that keys may be assigned to.
	Backends []lagoonlanding.Backend
	// IsExpired reports whether a process can no longer own any key.
	IsExpired func(id lagoonlanding.BackendID) bool
}

// Plan returns the allotment in which the backends share all keys; it returns false if nothing has to change.
func (allotment *Allotment) Plan(config PlanConfig) (*Allotment, bool) {
	next, changed := allotment.next(), false
	for number := range next.config.Stripes {
		stripe := &next.config.Stripes[number]
		if !stripe.Prior().IsZero() && config.IsExpired(stripe.Prior()) {
			stripe.config.Prior = lagoonlanding.BackendID{}
			changed = true
		}
	}
	if len(config.Backends) == 0 {
		return next, changed
	}
	changed = next.split(len(config.Backends)) || changed
	plan := newPlan(next, config)
	return next, plan.assignUnowned() || plan.rebalance() || changed
}

// split halves the stripes until there are enough for the given number of backend servers; no key changes its owner.
func (allotment *Allotment) split(backends int) bool {
	changed := false
	for count := 2 * len(allotment.config.Stripes); count <= min(backends*stripesPerBackend, MaxStripes); count *= 2 {
		halves := make([]Stripe, 0, count)
		for _, stripe := range allotment.config.Stripes {
			halves = append(halves, stripe, stripe)
		}
		allotment.config.Stripes = halves
		changed = true
	}
	return changed
}

// plan moves stripes within one new allotment.
type plan struct {
	allotment *Allotment
	config    PlanConfig
	ids       []lagoonlanding.BackendID
	owned     map[lagoonlanding.BackendID][]int
}

func newPlan(allotment *Allotment, config PlanConfig) *plan {
	created := &plan{allotment: allotment, config: config, owned: map[lagoonlanding.BackendID][]int{}}
	for _, backend := range config.Backends {
		created.ids = append(created.ids, backend.ID())
		created.owned[backend.ID()] = nil
	}
	for number, stripe := range allotment.config.Stripes {
		if _, ok := created.owned[stripe.Owner()]; ok {
			created.owned[stripe.Owner()] = append(created.owned[stripe.Owner()], number)
		}
	}
	return created
}

// assignUnowned assigns each stripe without an eligible owner to the backend server with the fewest stripes, which spreads adjacent stripes.
//
// If few backend servers are left for many stripes, some adjacent ones stay together, so that the ranges of each still fit into a message.
func (plan *plan) assignUnowned() bool {
	stripes := plan.allotment.config.Stripes
	runLength := (len(stripes) + len(plan.ids)*maxRanges - 1) / (len(plan.ids) * maxRanges)
	changed, assigned := false, 0
	var receiver lagoonlanding.BackendID
	for number := range stripes {
		stripe := &stripes[number]
		if _, ok := plan.owned[stripe.Owner()]; ok {
			assigned = 0
			continue
		}
		if prior, ok := plan.eligiblePrior(stripe); ok {
			plan.move(number, prior)
			changed, assigned = true, 0
			continue
		}
		if assigned%runLength == 0 {
			receiver = plan.leastLoaded()
		}
		plan.move(number, receiver)
		changed, assigned = true, assigned+1
	}
	return changed
}

// eligiblePrior returns the previous owner that has not released the stripe yet, if it is eligible again.
func (plan *plan) eligiblePrior(stripe *Stripe) (lagoonlanding.BackendID, bool) {
	_, ok := plan.owned[stripe.Prior()]
	return stripe.Prior(), ok
}

// rebalance moves stripes to backend servers that have too few, and from those that have too many.
func (plan *plan) rebalance() bool {
	share := float64(len(plan.allotment.config.Stripes)) / float64(len(plan.ids))
	tolerance := max(1, share*maxImbalance)
	changed := false
	for {
		mostLoaded, leastLoaded := plan.mostLoaded(), plan.leastLoaded()
		switch {
		case plan.deficit(leastLoaded, share) > tolerance:
			plan.fill(leastLoaded, share)
		case -plan.deficit(mostLoaded, share) > tolerance:
			plan.shedExcess(mostLoaded, share)
		default:
			return changed
		}
		changed = true
	}
}

// deficit returns how many stripes the backend server is below its share.
func (plan *plan) deficit(id lagoonlanding.BackendID, share float64) float64 {
	return share - float64(len(plan.owned[id]))
}

// fill moves stripes to a backend server until it has its share, several from each of a few donors: each donor writes to the store when it
// has released its stripes.
func (plan *plan) fill(receiver lagoonlanding.BackendID, share float64) {
	for plan.deficit(receiver, share) >= 1 {
		donor := plan.mostLoaded()
		if len(plan.owned[donor]) <= len(plan.owned[receiver])+1 {
			return
		}
		for count := 0; count < batchSize(share) && plan.deficit(receiver, share) >= 1 && len(plan.owned[donor]) > len(plan.owned[receiver])+1; count++ {
			plan.moveOne(donor, receiver)
		}
	}
}

// shedExcess moves the stripes beyond its share away from a backend server.
func (plan *plan) shedExcess(donor lagoonlanding.BackendID, share float64) {
	for -plan.deficit(donor, share) >= 1 {
		receiver := plan.leastLoaded()
		if len(plan.owned[donor]) <= len(plan.owned[receiver])+1 {
			return
		}
		plan.moveOne(donor, receiver)
	}
}

// batchSize returns how many stripes move from one donor at a time.
func batchSize(share float64) int { return max(1, int(share*maxImbalance/2)) }

// moveOne moves one stripe, chosen from varying positions of the donor's list so that adjacent stripes are spread.
func (plan *plan) moveOne(from, to lagoonlanding.BackendID) {
	numbers := plan.owned[from]
	index := (len(plan.owned[to]) * 7) % len(numbers)
	number := numbers[index]
	plan.owned[from] = slices.Delete(slices.Clone(numbers), index, index+1)
	plan.move(number, to)
}

// move assigns a stripe to a backend server.
func (plan *plan) move(number int, to lagoonlanding.BackendID) {
	plan.allotment.config.Stripes[number].moveTo(to, plan.allotment.Version(), plan.config.IsExpired)
	plan.owned[to] = append(plan.owned[to], number)
}

// leastLoaded returns the backend server with the fewest stripes.
func (plan *plan) leastLoaded() lagoonlanding.BackendID {
	return slices.MinFunc(plan.ids, func(a, b lagoonlanding.BackendID) int { return len(plan.owned[a]) - len(plan.owned[b]) })
}

// mostLoaded returns the backend server with the most stripes.
func (plan *plan) mostLoaded() lagoonlanding.BackendID {
	return slices.MaxFunc(plan.ids, func(a, b lagoonlanding.BackendID) int { return len(plan.owned[a]) - len(plan.owned[b]) })
}
