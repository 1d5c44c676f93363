package lagoonlanding

import (
	"context"
	"errors"
	"time"
)

// Errors of those who pass a request on.
var (
	// ErrNotSent says that no byte of a request has left this process.
	ErrNotSent = errors.New("the request was not sent")
	// ErrMismatched says that the answer that came belongs to another request.
	ErrMismatched = errors.New("the answer belongs to another request")
)

// Fence proves to a backend server that the sender owns the shard.
type Fence struct {
	group GroupID
	shard int
	token uint64
	// deadline is when the lease under the token lapses.
	deadline time.Time
}

// NewFence returns the proof of ownership of a shard under a fencing token.
func NewFence(group GroupID, shard int, token uint64) Fence {
	return Fence{group: group, shard: shard, token: token}
}

// Group returns the group of the shard.
func (fence Fence) Group() GroupID { return fence.group }

// Shard returns the number of the shard.
func (fence Fence) Shard() int { return fence.shard }

// Token returns the fencing token, which grows with each owner of the shard.
func (fence Fence) Token() uint64 { return fence.token }

// Until returns the proof with the time at which the lease behind it lapses.
func (fence Fence) Until(deadline time.Time) Fence {
	fence.deadline = deadline
	return fence
}

// Deadline returns when the lease lapses; a backend server that checks fences starts nothing later, zero for no bound.
func (fence Fence) Deadline() time.Time { return fence.deadline }

// IsZero reports whether the request is for a service that is not divided by key.
func (fence Fence) IsZero() bool { return fence.token == 0 }

// UpstreamReport is what a backend server tells of its load; it lags and may mislead.
type UpstreamReport struct {
	ready    bool
	inFlight int
	slots    int
}

// NewUpstreamReport returns the report of a backend server.
func NewUpstreamReport(ready bool, inFlight, slots int) UpstreamReport {
	return UpstreamReport{ready: ready, inFlight: inFlight, slots: slots}
}

// IsReady reports whether the backend server says that it takes work.
func (upstreamreport UpstreamReport) IsReady() bool { return upstreamreport.ready }

// InFlight returns how many requests the backend server says that it runs.
func (upstreamreport UpstreamReport) InFlight() int { return upstreamreport.inFlight }

// Slots returns how many requests the backend server says that it can run at once.
func (upstreamreport UpstreamReport) Slots() int { return upstreamreport.slots }

// Upstream is the backend server beside the daemon.
type Upstream interface {
	// Serve runs the request; ErrNotSent says that the backend server never got it, other errors that it may have run.
	Serve(ctx context.Context, request Request, fence Fence) (Reply, error)
	// Report asks for the load and the readiness.
	Report(ctx context.Context) (UpstreamReport, error)
}
