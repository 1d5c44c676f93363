package reporter

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/messenger"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// controlMetrics holds the metrics of the control state.
type controlMetrics struct {
	scope     tally.Scope
	served    tally.Gauge
	set       tally.Gauge
	revision  tally.Gauge
	gained    tally.Counter
	lost      tally.Counter
	owned     map[lagoonlanding.ShardID]bool
	lastBytes map[messenger.Lane]byteCounts
}

// byteCounts holds the numbers of bytes sent and received on a lane.
type byteCounts struct{ sent, received uint64 }

func newControlMetrics(scope tally.Scope) *controlMetrics {
	return &controlMetrics{
		scope:     scope,
		served:    scope.Gauge("shards_served"),
		set:       scope.Gauge("set_version"),
		revision:  scope.Gauge("store_revision"),
		gained:    scope.Counter("shards_gained"),
		lost:      scope.Counter("shards_lost"),
		owned:     make(map[lagoonlanding.ShardID]bool),
		lastBytes: make(map[messenger.Lane]byteCounts),
	}
}

// Run updates the metrics of the control state, the traffic between daemons and the backend server until ctx is cancelled; call it once.
func (reporter *Reporter) Run(ctx context.Context, traffic *messenger.Traffic) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			reporter.controlMetrics.update(reporter.config.Snapshots.Current())
			reporter.controlMetrics.updateBytes(traffic)
			reporter.controlMetrics.updateUpstream(reporter.config.UpstreamLoad)
		}
	}
}

// update updates the gauges and counts the shards gained and lost since the previous update.
func (controlmetrics *controlMetrics) update(snapshot *router.Snapshot) {
	controlmetrics.revision.Update(float64(snapshot.Revision()))
	if snapshot.Set() != nil {
		controlmetrics.set.Update(float64(snapshot.Set().Version()))
	}
	owned := ownedShards(snapshot)
	for shard := range owned {
		if !controlmetrics.owned[shard] {
			controlmetrics.gained.Inc(1)
		}
	}
	for shard := range controlmetrics.owned {
		if !owned[shard] {
			controlmetrics.lost.Inc(1)
		}
	}
	controlmetrics.owned = owned
	controlmetrics.served.Update(float64(len(owned)))
}

// ownedShards returns the shards for which the instance has a lease with a fencing token.
func ownedShards(snapshot *router.Snapshot) map[lagoonlanding.ShardID]bool {
	owned := make(map[lagoonlanding.ShardID]bool)
	for id, group := range snapshot.Groups() {
		lease, ok := snapshot.Lease(id)
		if !ok {
			continue
		}
		for shard := range group.Record().Current().Shards() {
			if lease.Token(shard) != 0 {
				owned[lagoonlanding.NewShardID(id, shard)] = true
			}
		}
	}
	return owned
}

// updateUpstream updates the gauges of the concurrency limit of the backend server and of the requests in flight and waiting.
func (controlmetrics *controlMetrics) updateUpstream(load func() (limit, inFlight, waiting int)) {
	if load == nil {
		return
	}
	limit, inFlight, waiting := load()
	controlmetrics.scope.Gauge("upstream_limit").Update(float64(limit))
	controlmetrics.scope.Gauge("upstream_in_flight").Update(float64(inFlight))
	controlmetrics.scope.Gauge("upstream_waiting").Update(float64(waiting))
}

// updateBytes counts the bytes sent and received since the previous update, by lane.
func (controlmetrics *controlMetrics) updateBytes(traffic *messenger.Traffic) {
	for lane := messenger.LaneControl; lane <= messenger.LaneBulk; lane++ {
		current := byteCounts{sent: traffic.Sent(lane), received: traffic.Received(lane)}
		previous := controlmetrics.lastBytes[lane]
		controlmetrics.lastBytes[lane] = current
		scope := controlmetrics.scope.Tagged(map[string]string{"lane": lane.String()})
		scope.Counter("peer_bytes_sent").Inc(int64(current.sent - previous.sent))
		scope.Counter("peer_bytes_received").Inc(int64(current.received - previous.received))
	}
}
