package announcer

import (
	"context"
	"fmt"
	"sync/atomic"

	"lagoonlanding.example/lagoonlanding"
)

// Upstream is the backend server that has announced itself last; it is safe for use by many goroutines.
type Upstream struct {
	current atomic.Pointer[target]
}

// target is an announced backend server with the way to it.
type target struct {
	announcement Announcement
	upstream     lagoonlanding.Upstream
}

var _ lagoonlanding.Upstream = (*Upstream)(nil)

// NewUpstream returns an upstream that nothing has announced yet.
func NewUpstream() *Upstream { return &Upstream{} }

var errNoUpstream = fmt.Errorf("no backend server has announced itself: %w", lagoonlanding.ErrNotSent)

// Serve runs the request at the announced backend server.
func (upstream *Upstream) Serve(
	ctx context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence,
) (lagoonlanding.Reply, error) {
	target := upstream.current.Load()
	if target == nil {
		return lagoonlanding.Reply{}, errNoUpstream
	}
	return target.upstream.Serve(ctx, request, fence)
}

// Report asks the announced backend server for its load.
func (upstream *Upstream) Report(ctx context.Context) (lagoonlanding.UpstreamReport, error) {
	target := upstream.current.Load()
	if target == nil {
		return lagoonlanding.UpstreamReport{}, errNoUpstream
	}
	return target.upstream.Report(ctx)
}

// announced returns the last announcement.
func (upstream *Upstream) announced() (Announcement, bool) {
	target := upstream.current.Load()
	if target == nil {
		return Announcement{}, false
	}
	return target.announcement, true
}
