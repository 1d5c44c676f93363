package allocator

import (
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

// imbalance is how many stripes more than its part a backend server may hold before some move, as a share of its part.
//
// A move costs the keys about a second of service, so small differences stay.
const imbalance = 0.2

// holderStripes is about how many stripes a backend server has: so many ranges fit into a message to it.
//
// Busy keys are close to one another, so more and shorter stripes spread them over more backend servers.
const holderStripes = 72

// PlanConfig holds what a plan follows from.
type PlanConfig struct {
	// Backends are the backend servers that may hold keys.
	Backends []lagoonlanding.Backend
	// IsGone reports whether a life can hold nothing any more.
	IsGone func(id lagoonlanding.BackendID) bool
}

// Plan returns the allotment in which the backends share all keys; it is false if this one already is so.
func (allotment *Allotment) Plan(config PlanConfig) (*Allotment, bool) {
	next, changed := allotment.next(), false
	for number := range next.config.Stripes {
		stripe := &next.config.Stripes[number]
		if !stripe.Prior().IsZero() && config.IsGone(stripe.Prior()) {
			stripe.config.Prior = lagoonlanding.BackendID{}
			changed = true
		}
	}
	if len(config.Backends) == 0 {
		return next, changed
	}
	changed = next.refine(len(config.Backends)) || changed
	plan := newPlan(next, config)
	return next, plan.placeOrphans() || plan.level() || changed
}

// refine cuts the stripes in two until there are enough for so many holders; nobody's keys change by that.
func (allotment *Allotment) refine(holders int) bool {
	changed := false
	for count := 2 * len(allotment.config.Stripes); count <= min(holders*holderStripes, MostStripes); count *= 2 {
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
	order     []lagoonlanding.BackendID
	owned     map[lagoonlanding.BackendID][]int
}

func newPlan(allotment *Allotment, config PlanConfig) *plan {
	made := &plan{allotment: allotment, config: config, owned: map[lagoonlanding.BackendID][]int{}}
	for _, backend := range config.Backends {
		made.order = append(made.order, backend.ID())
		made.owned[backend.ID()] = nil
	}
	for number, stripe := range allotment.config.Stripes {
		if _, ok := made.owned[stripe.Owner()]; ok {
			made.owned[stripe.Owner()] = append(made.owned[stripe.Owner()], number)
		}
	}
	return made
}

// placeOrphans gives the stripes without a fit owner to the backend servers with the fewest, in turn, so that neighbours part.
//
// If few backend servers are left for many stripes, some neighbours stay together, so that the ranges of each still fit into a message.
func (plan *plan) placeOrphans() bool {
	stripes := plan.allotment.config.Stripes
	together := (len(stripes) + len(plan.order)*maxRanges - 1) / (len(plan.order) * maxRanges)
	changed, placed := false, 0
	var taker lagoonlanding.BackendID
	for number := range stripes {
		stripe := &stripes[number]
		if _, ok := plan.owned[stripe.Owner()]; ok {
			placed = 0
			continue
		}
		if back, ok := plan.returnable(stripe); ok {
			plan.move(number, back)
			changed, placed = true, 0
			continue
		}
		if placed%together == 0 {
			taker = plan.fewest()
		}
		plan.move(number, taker)
		changed, placed = true, placed+1
	}
	return changed
}

// returnable returns the holder that has not let go yet, if it is fit again.
func (plan *plan) returnable(stripe *Stripe) (lagoonlanding.BackendID, bool) {
	_, ok := plan.owned[stripe.Prior()]
	return stripe.Prior(), ok
}

// level fills backend servers that have too few stripes, and takes from those that have too many.
func (plan *plan) level() bool {
	part := float64(len(plan.allotment.config.Stripes)) / float64(len(plan.order))
	tolerance := max(1, part*imbalance)
	changed := false
	for {
		most, least := plan.most(), plan.fewest()
		switch {
		case plan.lack(least, part) > tolerance:
			plan.fill(least, part)
		case -plan.lack(most, part) > tolerance:
			plan.relieve(most, part)
		default:
			return changed
		}
		changed = true
	}
}

// lack returns how many stripes the backend server has less than its part.
func (plan *plan) lack(id lagoonlanding.BackendID, part float64) float64 {
	return part - float64(len(plan.owned[id]))
}

// fill gives a backend server its part, several stripes from each of a few givers: each giver writes to the store when it has let go.
func (plan *plan) fill(taker lagoonlanding.BackendID, part float64) {
	for plan.lack(taker, part) >= 1 {
		giver := plan.most()
		if len(plan.owned[giver]) <= len(plan.owned[taker])+1 {
			return
		}
		for count := 0; count < batch(part) && plan.lack(taker, part) >= 1 && len(plan.owned[giver]) > len(plan.owned[taker])+1; count++ {
			plan.give(giver, taker)
		}
	}
}

// relieve takes from a backend server what it has beyond its part.
func (plan *plan) relieve(giver lagoonlanding.BackendID, part float64) {
	for -plan.lack(giver, part) >= 1 {
		taker := plan.fewest()
		if len(plan.owned[giver]) <= len(plan.owned[taker])+1 {
			return
		}
		plan.give(giver, taker)
	}
}

// batch returns how many stripes one backend server gives to another at a time.
func batch(part float64) int { return max(1, int(part*imbalance/2)) }

// give moves one stripe; those of one owner are taken from the middle of its list so that neighbours part.
func (plan *plan) give(from, to lagoonlanding.BackendID) {
	numbers := plan.owned[from]
	index := (len(plan.owned[to]) * 7) % len(numbers)
	number := numbers[index]
	plan.owned[from] = slices.Delete(slices.Clone(numbers), index, index+1)
	plan.move(number, to)
}

func (plan *plan) move(number int, to lagoonlanding.BackendID) {
	plan.allotment.config.Stripes[number].moveTo(to, plan.allotment.Version(), plan.config.IsGone)
	plan.owned[to] = append(plan.owned[to], number)
}

func (plan *plan) fewest() lagoonlanding.BackendID {
	return slices.MinFunc(plan.order, func(a, b lagoonlanding.BackendID) int { return len(plan.owned[a]) - len(plan.owned[b]) })
}

func (plan *plan) most() lagoonlanding.BackendID {
	return slices.MaxFunc(plan.order, func(a, b lagoonlanding.BackendID) int { return len(plan.owned[a]) - len(plan.owned[b]) })
}
