package reporter

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/messenger"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// control are the metrics of the control state.
type control struct {
	scope    tally.Scope
	served   tally.Gauge
	set      tally.Gauge
	revision tally.Gauge
	gained   tally.Counter
	lost     tally.Counter
	held     map[lagoonlanding.ShardID]bool
	bytes    map[messenger.Lane]direction
}

// direction are the byte counts of a lane at the last look.
type direction struct{ sent, received uint64 }

func newControl(scope tally.Scope) *control {
	return &control{
		scope:    scope,
		served:   scope.Gauge("shards_served"),
		set:      scope.Gauge("set_version"),
		revision: scope.Gauge("store_revision"),
		gained:   scope.Counter("shards_gained"),
		lost:     scope.Counter("shards_lost"),
		held:     make(map[lagoonlanding.ShardID]bool),
		bytes:    make(map[messenger.Lane]direction),
	}
}

// Watch follows the control state and the bytes between daemons until ctx ends; it is called once.
func (reporter *Reporter) Watch(ctx context.Context, traffic *messenger.Traffic) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			reporter.control.note(reporter.config.Snapshots.Current())
			reporter.control.noteBytes(traffic)
			reporter.control.noteUpstream(reporter.config.UpstreamLoad)
		}
	}
}

// note counts the shards that came and went since the last look.
func (control *control) note(snapshot *router.Snapshot) {
	control.revision.Update(float64(snapshot.Revision()))
	if snapshot.Set() != nil {
		control.set.Update(float64(snapshot.Set().Version()))
	}
	held := heldShards(snapshot)
	for shard := range held {
		if !control.held[shard] {
			control.gained.Inc(1)
		}
	}
	for shard := range control.held {
		if !held[shard] {
			control.lost.Inc(1)
		}
	}
	control.held = held
	control.served.Update(float64(len(held)))
}

func heldShards(snapshot *router.Snapshot) map[lagoonlanding.ShardID]bool {
	held := make(map[lagoonlanding.ShardID]bool)
	for id, group := range snapshot.Groups() {
		holding, ok := snapshot.Holding(id)
		if !ok {
			continue
		}
		for shard := range group.Record().Current().Shards() {
			if holding.Token(shard) != 0 {
				held[lagoonlanding.NewShardID(id, shard)] = true
			}
		}
	}
	return held
}

// noteUpstream tells how far the limit of the backend server has grown and how it is used.
func (control *control) noteUpstream(load func() (limit, inFlight, waiting int)) {
	if load == nil {
		return
	}
	limit, inFlight, waiting := load()
	control.scope.Gauge("upstream_limit").Update(float64(limit))
	control.scope.Gauge("upstream_in_flight").Update(float64(inFlight))
	control.scope.Gauge("upstream_waiting").Update(float64(waiting))
}

func (control *control) noteBytes(traffic *messenger.Traffic) {
	for lane := messenger.LaneControl; lane <= messenger.LaneBulk; lane++ {
		now := direction{sent: traffic.Sent(lane), received: traffic.Received(lane)}
		last := control.bytes[lane]
		control.bytes[lane] = now
		scope := control.scope.Tagged(map[string]string{"lane": lane.String()})
		scope.Counter("peer_bytes_sent").Inc(int64(now.sent - last.sent))
		scope.Counter("peer_bytes_received").Inc(int64(now.received - last.received))
	}
}
