package scheduler

import (
	"cmp"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// reservedSlots is how many slots the slow classes leave free for the others.
const reservedSlots = 2

// FairConfig holds what a Fair order is built from.
type FairConfig struct {
	// Classes estimates what a request costs its tenant before it has ended.
	Classes *Classes
	// Inner returns the order between the requests of one tenant.
	Inner func() lagoonlanding.Scheduler
}

// Fair shares the service time of the backend server between the tenants by their weights.
//
// Each tenant has a virtual time that grows by the service time of its requests over its weight; the tenant that is
// furthest behind goes next. A tenant that returns starts level with the others and saves up no share.
type Fair struct {
	config  FairConfig
	tenants map[string]*tenant
	charged map[uint64]time.Duration
	virtual float64
}

type tenant struct {
	name    string
	order   lagoonlanding.Scheduler
	virtual float64
	waiting int
	running int
}

var _ lagoonlanding.Scheduler = (*Fair)(nil)

// NewFair returns an empty queue that is fair between tenants.
func NewFair(config FairConfig) *Fair {
	return &Fair{config: config, tenants: map[string]*tenant{}, charged: map[uint64]time.Duration{}}
}

// Add appends a request to those of its tenant.
func (fair *Fair) Add(waiting lagoonlanding.QueuedRequest) {
	owner, ok := fair.tenants[waiting.Tenant()]
	if !ok {
		owner = &tenant{name: waiting.Tenant(), order: fair.config.Inner(), virtual: fair.virtual}
		fair.tenants[waiting.Tenant()] = owner
	}
	if owner.waiting == 0 {
		owner.virtual = max(owner.virtual, fair.virtual)
	}
	owner.waiting++
	owner.order.Add(waiting)
}

// Next removes and returns a request of the tenant that is furthest behind among those that may run.
func (fair *Fair) Next(now time.Time) (lagoonlanding.QueuedRequest, bool) {
	for _, owner := range fair.behind() {
		waiting, ok := owner.order.Next(now)
		if !ok {
			continue
		}
		owner.waiting--
		owner.running++
		fair.virtual = max(fair.virtual, owner.virtual)
		estimate := fair.config.Classes.Mean(waiting.Class())
		fair.charged[waiting.ID()] = estimate
		owner.virtual += share(waiting, estimate)
		return waiting, true
	}
	return lagoonlanding.QueuedRequest{}, false
}

// Remove takes out a request that waits no longer.
func (fair *Fair) Remove(waiting lagoonlanding.QueuedRequest) {
	owner, ok := fair.tenants[waiting.Tenant()]
	if !ok {
		return
	}
	owner.order.Remove(waiting)
	owner.waiting--
	fair.forget(owner)
}

// Finish replaces the estimate by which the tenant was charged with the service time.
func (fair *Fair) Finish(waiting lagoonlanding.QueuedRequest, took time.Duration) {
	owner, ok := fair.tenants[waiting.Tenant()]
	if !ok {
		return
	}
	owner.virtual += share(waiting, took-fair.charged[waiting.ID()])
	delete(fair.charged, waiting.ID())
	owner.order.Finish(waiting, took)
	owner.running--
	fair.forget(owner)
}

// share returns by how much a service time moves the virtual time of the request's tenant.
func share(waiting lagoonlanding.QueuedRequest, took time.Duration) float64 {
	return took.Seconds() / float64(waiting.Weight())
}

// behind returns the tenants with waiting requests, the one furthest behind first.
func (fair *Fair) behind() []*tenant {
	owners := make([]*tenant, 0, len(fair.tenants))
	for _, owner := range fair.tenants {
		if owner.waiting > 0 {
			owners = append(owners, owner)
		}
	}
	slices.SortFunc(owners, func(a, b *tenant) int {
		return cmp.Or(cmp.Compare(a.virtual, b.virtual), cmp.Compare(a.name, b.name))
	})
	return owners
}

// forget drops a tenant without requests whose debt has been overtaken, so that the table stays bounded.
func (fair *Fair) forget(owner *tenant) {
	if owner.waiting == 0 && owner.running == 0 && owner.virtual <= fair.virtual {
		delete(fair.tenants, owner.name)
	}
}

// NewOrder returns the order that backend servers with the number of slots use: fair between tenants, by priority within each.
func NewOrder(slots int) lagoonlanding.Scheduler {
	classes := NewClasses(max(slots-reservedSlots, 1))
	return NewFair(FairConfig{
		Classes: classes,
		Inner:   func() lagoonlanding.Scheduler { return NewPriority(classes) },
	})
}
