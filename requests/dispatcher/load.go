package dispatcher

import (
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/sampler"
)

const (
	// maxReportedShards bounds the shards in a load report, to keep lease renewals small.
	maxReportedShards = 16
	// maxTrackedShards bounds the shards that are tracked per group.
	maxTrackedShards = 64
	// loadHalfLife is the half-life of the exponentially decaying request rate.
	loadHalfLife = 5 * time.Second
	// minReportedPerSecond is the request rate below which a shard is not reported.
	minReportedPerSecond = 1.0
)

// loads tracks the request rates of the shards that this instance serves.
type loads struct {
	mutex  sync.Mutex
	groups map[lagoonlanding.GroupID]*sampler.Top[int]
}

func newLoads() *loads {
	return &loads{groups: make(map[lagoonlanding.GroupID]*sampler.Top[int])}
}

func (loads *loads) add(now time.Time, shard lagoonlanding.ShardID) {
	loads.mutex.Lock()
	defer loads.mutex.Unlock()
	top, ok := loads.groups[shard.Group()]
	if !ok {
		top = sampler.NewTop[int](sampler.TopConfig{Capacity: maxTrackedShards, HalfLife: loadHalfLife, Now: now})
		loads.groups[shard.Group()] = top
	}
	top.Add(now, shard.Number())
}

func (loads *loads) busiest(now time.Time, group lagoonlanding.GroupID) []lagoonlanding.ShardLoad {
	loads.mutex.Lock()
	defer loads.mutex.Unlock()
	top, ok := loads.groups[group]
	if !ok {
		return nil
	}
	var busiest []lagoonlanding.ShardLoad
	for _, rate := range top.Rates(now, minReportedPerSecond) {
		if len(busiest) == maxReportedShards {
			break
		}
		busiest = append(busiest, lagoonlanding.NewShardLoad(rate.Name(), rate.PerSecond()))
	}
	return busiest
}
