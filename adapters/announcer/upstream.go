package announcer

import (
	"context"
	"fmt"
	"sync/atomic"

	"lagoonlanding.example/lagoonlanding"
)

// Upstream sends requests to the backend server that was announced last; it is safe for concurrent use.
type Upstream struct {
	current atomic.Pointer[target]
}

// target is an announced backend server and its client.
type target struct {
	announcement Announcement
	upstream     lagoonlanding.Upstream
}

var _ lagoonlanding.Upstream = (*Upstream)(nil)

// NewUpstream returns an Upstream without an announced backend server.
func NewUpstream() *Upstream { return &Upstream{} }

var errNoUpstream = fmt.Errorf("no backend server has announced itself: %w", lagoonlanding.ErrNotSent)

// Serve sends the request to the announced backend server; without one it returns ErrNotSent.
func (upstream *Upstream) Serve(
	ctx context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence,
) (lagoonlanding.Reply, error) {
	target := upstream.current.Load()
	if target == nil {
		return lagoonlanding.Reply{}, errNoUpstream
	}
	return target.upstream.Serve(ctx, request, fence)
}

// Report requests the readiness and load of the announced backend server.
func (upstream *Upstream) Report(ctx context.Context) (lagoonlanding.UpstreamReport, error) {
	target := upstream.current.Load()
	if target == nil {
		return lagoonlanding.UpstreamReport{}, errNoUpstream
	}
	return target.upstream.Report(ctx)
}

// announcement returns the last announcement, if there is one.
func (upstream *Upstream) announcement() (Announcement, bool) {
	target := upstream.current.Load()
	if target == nil {
		return Announcement{}, false
	}
	return target.announcement, true
}
