package allocator

import (
	"cmp"
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
	// weights is the sum of the weights of the backend servers.
	weights float64
}

func newPlan(allotment *Allotment, config PlanConfig) *plan {
	created := &plan{allotment: allotment, config: config, owned: map[lagoonlanding.BackendID][]int{}}
	for _, backend := range config.Backends {
		created.ids = append(created.ids, backend.ID())
		created.owned[backend.ID()] = nil
		created.weights += allotment.weight(backend.ID().Daemon())
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
	changed := false
	for {
		mostLoaded, leastLoaded := plan.mostLoaded(), plan.leastLoaded()
		switch {
		case plan.deficit(leastLoaded) > plan.tolerance(leastLoaded):
			plan.fill(leastLoaded)
		case -plan.deficit(mostLoaded) > plan.tolerance(mostLoaded):
			plan.shedExcess(mostLoaded)
		default:
			return changed
		}
		changed = true
	}
}

// share returns how many stripes the backend server should have by its weight.
func (plan *plan) share(id lagoonlanding.BackendID) float64 {
	return float64(len(plan.allotment.config.Stripes)) * plan.allotment.weight(id.Daemon()) / plan.weights
}

func (plan *plan) tolerance(id lagoonlanding.BackendID) float64 {
	return max(1, plan.share(id)*maxImbalance)
}

// deficit returns how many stripes the backend server is below its share.
func (plan *plan) deficit(id lagoonlanding.BackendID) float64 {
	return plan.share(id) - float64(len(plan.owned[id]))
}

// fill moves stripes to a backend server until it has its share, several from each of a few donors: each donor writes to the store when it
// has released its stripes.
func (plan *plan) fill(receiver lagoonlanding.BackendID) {
	for plan.deficit(receiver) >= 1 {
		donor := plan.mostLoaded()
		if !plan.evens(donor, receiver) {
			return
		}
		for count := 0; count < batchSize(plan.share(receiver)) && plan.deficit(receiver) >= 1 && plan.evens(donor, receiver); count++ {
			plan.moveOne(donor, receiver)
		}
	}
}

// shedExcess moves the stripes beyond its share away from a backend server.
func (plan *plan) shedExcess(donor lagoonlanding.BackendID) {
	for -plan.deficit(donor) >= 1 {
		receiver := plan.leastLoaded()
		if !plan.evens(donor, receiver) {
			return
		}
		plan.moveOne(donor, receiver)
	}
}

// evens reports whether one more stripe moved from the donor makes the two more even.
func (plan *plan) evens(donor, receiver lagoonlanding.BackendID) bool {
	return len(plan.owned[donor]) > 0 && plan.deficit(donor) < plan.deficit(receiver)-1
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

// leastLoaded returns the backend server that is the furthest below its share.
func (plan *plan) leastLoaded() lagoonlanding.BackendID {
	return slices.MaxFunc(plan.ids, plan.compareDeficits)
}

// mostLoaded returns the backend server that is the furthest above its share.
func (plan *plan) mostLoaded() lagoonlanding.BackendID {
	return slices.MinFunc(plan.ids, plan.compareDeficits)
}

func (plan *plan) compareDeficits(a, b lagoonlanding.BackendID) int {
	return cmp.Compare(plan.deficit(a), plan.deficit(b))
}
