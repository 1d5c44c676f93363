package lagoonlanding

import (
	"context"
	"errors"
	"time"
)

// Errors of sending a request to a backend server or another instance.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("the request was not sent")
	// ErrMismatched means that the received response belongs to another request.
	ErrMismatched = errors.New("the response belongs to another request")
)

// Fence proves to a backend server that the sender owns the shard.
type Fence struct {
	group GroupID
	shard int
	token uint64
	// deadline is when the lease under the token expires.
	deadline time.Time
}

// NewFence returns a proof of ownership of a shard with a fencing token.
func NewFence(group GroupID, shard int, token uint64) Fence {
	return Fence{group: group, shard: shard, token: token}
}

// Group returns the group of the shard.
func (fence Fence) Group() GroupID { return fence.group }

// Shard returns the number of the shard.
func (fence Fence) Shard() int { return fence.shard }

// Token returns the fencing token, which increases with each owner of the shard.
func (fence Fence) Token() uint64 { return fence.token }

// WithDeadline returns a copy with the expiry of the lease.
func (fence Fence) WithDeadline(deadline time.Time) Fence {
	fence.deadline = deadline
	return fence
}

// Deadline returns when the lease expires; a backend server that checks fences starts no request later, and the zero time means no limit.
func (fence Fence) Deadline() time.Time { return fence.deadline }

// IsZero reports whether the request is for a service that is not sharded.
func (fence Fence) IsZero() bool { return fence.token == 0 }

// UpstreamReport is the load as reported by the backend server; it may be stale or wrong.
type UpstreamReport struct {
	ready    bool
	inFlight int
	slots    int
}

// NewUpstreamReport returns a load report of a backend server.
func NewUpstreamReport(ready bool, inFlight, slots int) UpstreamReport {
	return UpstreamReport{ready: ready, inFlight: inFlight, slots: slots}
}

// IsReady reports whether the backend server accepts requests according to its report.
func (upstreamreport UpstreamReport) IsReady() bool { return upstreamreport.ready }

// InFlight returns the reported number of requests in flight.
func (upstreamreport UpstreamReport) InFlight() int { return upstreamreport.inFlight }

// Slots returns the reported number of requests that the backend server can run concurrently.
func (upstreamreport UpstreamReport) Slots() int { return upstreamreport.slots }

// Upstream is the backend server beside the daemon.
type Upstream interface {
	// Serve sends the request to the backend server; ErrNotSent means that it was not sent, other errors mean that it may have run.
	Serve(ctx context.Context, request Request, fence Fence) (Reply, error)
	// Report requests the load and the readiness of the backend server.
	Report(ctx context.Context) (UpstreamReport, error)
}
