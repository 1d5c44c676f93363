package lagoonlanding

import "time"

// QueuedRequestConfig holds the fields of a QueuedRequest.
type QueuedRequestConfig struct {
	// ID is unique among the requests to the same backend server.
	ID uint64
	// Tenant is the name of the request's tenant.
	Tenant string
	// Weight is the tenant's fair-queueing weight at a busy backend server; zero counts as one.
	Weight int
	// Limit bounds the tenant's requests in flight and queued; zero means no limit.
	Limit int
	// Class is the name of the request's class.
	Class string
	// Cost weights each second of waiting in the class; zero counts as one.
	Cost int
	// Arrived is when the request arrived.
	Arrived time.Time
	// Deadline is when the caller stops waiting; the zero time means no deadline.
	Deadline time.Time
	// Exclusive means that no other request may run concurrently.
	Exclusive bool
}

// QueuedRequest is a request that waits for a free slot of the backend server.
type QueuedRequest struct {
	config QueuedRequestConfig
}

// NewQueuedRequest returns a queued request with the given configuration.
func NewQueuedRequest(config QueuedRequestConfig) QueuedRequest { return QueuedRequest{config: config} }

// ID returns the identifier of the request, which is unique at the backend server.
func (queuedrequest QueuedRequest) ID() uint64 { return queuedrequest.config.ID }

// Tenant returns the name of the request's tenant.
func (queuedrequest QueuedRequest) Tenant() string { return queuedrequest.config.Tenant }

// Weight returns the tenant's fair-queueing weight, at least one.
func (queuedrequest QueuedRequest) Weight() int { return max(queuedrequest.config.Weight, 1) }

// Limit returns the limit of the tenant's requests in flight and queued, zero for no limit.
func (queuedrequest QueuedRequest) Limit() int { return queuedrequest.config.Limit }

// Class returns the name of the request's class.
func (queuedrequest QueuedRequest) Class() string { return queuedrequest.config.Class }

// Cost returns the weight of each second of waiting, at least one.
func (queuedrequest QueuedRequest) Cost() int { return max(queuedrequest.config.Cost, 1) }

// Arrived returns when the request arrived.
func (queuedrequest QueuedRequest) Arrived() time.Time { return queuedrequest.config.Arrived }

// Deadline returns when the caller stops waiting, the zero time for no deadline.
func (queuedrequest QueuedRequest) Deadline() time.Time { return queuedrequest.config.Deadline }

// IsExclusive reports whether no other request may run concurrently.
func (queuedrequest QueuedRequest) IsExclusive() bool { return queuedrequest.config.Exclusive }

// WithID returns a copy with the given identifier and time of arrival.
func (queuedrequest QueuedRequest) WithID(id uint64, arrived time.Time) QueuedRequest {
	queuedrequest.config.ID = id
	queuedrequest.config.Arrived = arrived
	return queuedrequest
}

// Scheduler decides which queued request takes the next free slot; it is not safe for concurrent use.
type Scheduler interface {
	// Add enqueues a request.
	Add(queuedrequest QueuedRequest)
	// Next removes and returns the request that takes a free slot; it returns false if no request is queued or allowed to run yet.
	Next(now time.Time) (QueuedRequest, bool)
	// Remove removes a request from the queue.
	Remove(queuedrequest QueuedRequest)
	// Finish records that a request returned by Next has left its slot, and its service time, zero if the request did not run.
	Finish(queuedrequest QueuedRequest, took time.Duration)
}
