package allocator

import (
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

// imbalance is how many stripes more than its part a backend server may hold before some move, as a share of its part.
//
// A move costs the keys about a second of service, so small differences stay.
const imbalance = 0.2

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
	plan := newPlan(next, config)
	return next, plan.placeOrphans() || plan.level() || changed
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

// placeOrphans gives each stripe without a fit owner to the backend server with the fewest, in turn, so that neighbours part.
func (plan *plan) placeOrphans() bool {
	changed := false
	for number := range plan.allotment.config.Stripes {
		stripe := &plan.allotment.config.Stripes[number]
		if _, ok := plan.owned[stripe.Owner()]; ok {
			continue
		}
		if back, ok := plan.returnable(stripe); ok {
			plan.move(number, back)
		} else {
			plan.move(number, plan.fewest())
		}
		changed = true
	}
	return changed
}

// returnable returns the holder that has not let go yet, if it is fit again.
func (plan *plan) returnable(stripe *Stripe) (lagoonlanding.BackendID, bool) {
	_, ok := plan.owned[stripe.Prior()]
	return stripe.Prior(), ok
}

// level moves stripes from backend servers with too many to those with the fewest.
func (plan *plan) level() bool {
	part := float64(Stripes) / float64(len(plan.order))
	changed := false
	for {
		most, least := plan.most(), plan.fewest()
		excess := float64(len(plan.owned[most])) - part
		lack := part - float64(len(plan.owned[least]))
		isUneven := excess > max(1, part*imbalance) || lack > max(1, part*imbalance)
		if !isUneven && !(changed && excess >= 1 && lack >= 1) {
			return changed
		}
		plan.give(most, least)
		changed = true
	}
}

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
