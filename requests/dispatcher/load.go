package dispatcher

import (
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/sampler"
)

const (
	// reportedShards bounds the shards of a load report, so that a renewal stays small.
	reportedShards = 16
	// countedShards bounds the shards of a group that are counted at once.
	countedShards = 64
	// loadHalfLife is how long a request takes to count half.
	loadHalfLife = 5 * time.Second
	// leastReported is the load in requests a second below which a shard is not reported.
	leastReported = 1.0
)

// loads counts the requests to the shards that this instance serves.
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
		top = sampler.NewTop[int](sampler.TopConfig{Capacity: countedShards, HalfLife: loadHalfLife, Now: now})
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
	for _, rate := range top.Rates(now, leastReported) {
		if len(busiest) == reportedShards {
			break
		}
		busiest = append(busiest, lagoonlanding.NewShardLoad(rate.Name(), rate.PerSecond()))
	}
	return busiest
}
