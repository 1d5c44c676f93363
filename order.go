package lagoonlanding

import "time"

// WaitingConfig holds the parts of a Waiting.
type WaitingConfig struct {
	// ID tells the request from all others at the same backend server.
	ID uint64
	// Tenant is the name of the request's tenant.
	Tenant string
	// Weight is the tenant's share of a busy backend server; zero counts as one.
	Weight int
	// Limit bounds the tenant's requests in flight and waiting; zero for none.
	Limit int
	// Class is the name of the request's class.
	Class string
	// Cost is the weight of a second of waiting in the class; zero counts as one.
	Cost int
	// Arrived is when the request arrived.
	Arrived time.Time
	// Deadline is when the caller stops waiting; the zero time for never.
	Deadline time.Time
	// Alone says that no other request may run beside it.
	Alone bool
}

// Waiting is a request that waits for a slot of the backend server.
type Waiting struct {
	config WaitingConfig
}

// NewWaiting returns the waiting request that the configuration describes.
func NewWaiting(config WaitingConfig) Waiting { return Waiting{config: config} }

// ID returns what tells the request from all others at the same backend server.
func (waiting Waiting) ID() uint64 { return waiting.config.ID }

// Tenant returns the name of the request's tenant.
func (waiting Waiting) Tenant() string { return waiting.config.Tenant }

// Weight returns the tenant's share of a busy backend server, at least one.
func (waiting Waiting) Weight() int { return max(waiting.config.Weight, 1) }

// Limit returns the bound on the tenant's requests in flight and waiting, zero for none.
func (waiting Waiting) Limit() int { return waiting.config.Limit }

// Class returns the name of the request's class.
func (waiting Waiting) Class() string { return waiting.config.Class }

// Cost returns the weight of a second of waiting, at least one.
func (waiting Waiting) Cost() int { return max(waiting.config.Cost, 1) }

// Arrived returns when the request arrived.
func (waiting Waiting) Arrived() time.Time { return waiting.config.Arrived }

// Deadline returns when the caller stops waiting, the zero time for never.
func (waiting Waiting) Deadline() time.Time { return waiting.config.Deadline }

// IsAlone reports whether no other request may run beside it.
func (waiting Waiting) IsAlone() bool { return waiting.config.Alone }

// WithID returns the request with its number and its time of arrival.
func (waiting Waiting) WithID(id uint64, arrived time.Time) Waiting {
	waiting.config.ID = id
	waiting.config.Arrived = arrived
	return waiting
}

// Order decides which waiting request takes the next free slot; it is not safe for use by several goroutines.
type Order interface {
	// Add notes a waiting request.
	Add(waiting Waiting)
	// Next removes and returns the request that takes a free slot; it is false if none waits or none may run yet.
	Next(now time.Time) (Waiting, bool)
	// Remove takes out a request that waits no longer.
	Remove(waiting Waiting)
	// Finish tells that a request that Next returned has left its slot, and how long it ran; zero for one that did not run.
	Finish(waiting Waiting, took time.Duration)
}
