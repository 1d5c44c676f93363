package scheduler

import (
	"cmp"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// reservedSlots is how many slots the slow classes may not use.
const reservedSlots = 2

// FairConfig holds the dependencies of a Fair scheduler.
type FairConfig struct {
	// Classes provides the estimated service time that a tenant is charged when a request starts.
	Classes *Classes
	// Inner returns the scheduler of the requests of one tenant.
	Inner func() lagoonlanding.Scheduler
}

// Fair implements weighted fair queuing of service time between tenants.
//
// Each tenant has a virtual time that advances by the service time of its requests divided by its weight; the tenant with
// the lowest virtual time goes next. A tenant accumulates no credit while it has no requests.
type Fair struct {
	config  FairConfig
	tenants map[string]*tenantQueue
	// charges holds the estimated service time that was charged for each running request.
	charges     map[uint64]time.Duration
	virtualTime float64
}

type tenantQueue struct {
	name        string
	scheduler   lagoonlanding.Scheduler
	virtualTime float64
	queued      int
	running     int
}

var _ lagoonlanding.Scheduler = (*Fair)(nil)

// NewFair returns an empty scheduler that is fair between tenants.
func NewFair(config FairConfig) *Fair {
	return &Fair{config: config, tenants: map[string]*tenantQueue{}, charges: map[uint64]time.Duration{}}
}

// Add queues a request for its tenant.
func (fair *Fair) Add(queuedrequest lagoonlanding.QueuedRequest) {
	tenantqueue, ok := fair.tenants[queuedrequest.Tenant()]
	if !ok {
		tenantqueue = &tenantQueue{name: queuedrequest.Tenant(), scheduler: fair.config.Inner(), virtualTime: fair.virtualTime}
		fair.tenants[queuedrequest.Tenant()] = tenantqueue
	}
	if tenantqueue.queued == 0 {
		tenantqueue.virtualTime = max(tenantqueue.virtualTime, fair.virtualTime)
	}
	tenantqueue.queued++
	tenantqueue.scheduler.Add(queuedrequest)
}

// Next removes and returns a request of the tenant with the lowest virtual time among those with a request that may run.
func (fair *Fair) Next(now time.Time) (lagoonlanding.QueuedRequest, bool) {
	for _, tenantqueue := range fair.byVirtualTime() {
		queuedrequest, ok := tenantqueue.scheduler.Next(now)
		if !ok {
			continue
		}
		tenantqueue.queued--
		tenantqueue.running++
		fair.virtualTime = max(fair.virtualTime, tenantqueue.virtualTime)
		estimate := fair.config.Classes.Mean(queuedrequest.Class())
		fair.charges[queuedrequest.ID()] = estimate
		tenantqueue.virtualTime += virtualTimeOf(queuedrequest, estimate)
		return queuedrequest, true
	}
	return lagoonlanding.QueuedRequest{}, false
}

// Remove removes a request from the queue.
func (fair *Fair) Remove(queuedrequest lagoonlanding.QueuedRequest) {
	tenantqueue, ok := fair.tenants[queuedrequest.Tenant()]
	if !ok {
		return
	}
	tenantqueue.scheduler.Remove(queuedrequest)
	tenantqueue.queued--
	fair.removeIdle(tenantqueue)
}

// Finish replaces the estimate that the tenant was charged by the actual service time.
func (fair *Fair) Finish(queuedrequest lagoonlanding.QueuedRequest, took time.Duration) {
	tenantqueue, ok := fair.tenants[queuedrequest.Tenant()]
	if !ok {
		return
	}
	tenantqueue.virtualTime += virtualTimeOf(queuedrequest, took-fair.charges[queuedrequest.ID()])
	delete(fair.charges, queuedrequest.ID())
	tenantqueue.scheduler.Finish(queuedrequest, took)
	tenantqueue.running--
	fair.removeIdle(tenantqueue)
}

// virtualTimeOf returns by how much a service time advances the virtual time of the request's tenant.
func virtualTimeOf(queuedrequest lagoonlanding.QueuedRequest, took time.Duration) float64 {
	return took.Seconds() / float64(queuedrequest.Weight())
}

// byVirtualTime returns the tenants with queued requests, in ascending order of virtual time.
func (fair *Fair) byVirtualTime() []*tenantQueue {
	tenantqueues := make([]*tenantQueue, 0, len(fair.tenants))
	for _, tenantqueue := range fair.tenants {
		if tenantqueue.queued > 0 {
			tenantqueues = append(tenantqueues, tenantqueue)
		}
	}
	slices.SortFunc(tenantqueues, func(a, b *tenantQueue) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.name, b.name))
	})
	return tenantqueues
}

// removeIdle deletes a tenant without requests whose virtual time is not ahead of the others, to keep the table bounded.
func (fair *Fair) removeIdle(tenantqueue *tenantQueue) {
	if tenantqueue.queued == 0 && tenantqueue.running == 0 && tenantqueue.virtualTime <= fair.virtualTime {
		delete(fair.tenants, tenantqueue.name)
	}
}

// NewDefault returns the scheduler for a backend server with the given number of slots: fair between tenants, by priority within each.
func NewDefault(slots int) lagoonlanding.Scheduler {
	classes := NewClasses(max(slots-reservedSlots, 1))
	return NewFair(FairConfig{
		Classes: classes,
		Inner:   func() lagoonlanding.Scheduler { return NewPriority(classes) },
	})
}
