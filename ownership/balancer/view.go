package balancer

import (
	"cmp"
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

// view is a snapshot of the load of each member and shard.
type view struct {
	members []lagoonlanding.InstanceID
	weight  map[lagoonlanding.InstanceID]float64
	total   map[lagoonlanding.InstanceID]float64
	shards  map[lagoonlanding.InstanceID][]lagoonlanding.ShardLoad
	rates   map[int]float64
	// mean is the load per unit of weight.
	mean float64
}

// newView returns the view of the reported loads; it ignores shards that the reporting member no longer owns.
func newView(layout lagoonlanding.Layout, placement lagoonlanding.Placement, loads Loads) *view {
	view := &view{
		weight: make(map[lagoonlanding.InstanceID]float64), total: make(map[lagoonlanding.InstanceID]float64),
		shards: make(map[lagoonlanding.InstanceID][]lagoonlanding.ShardLoad), rates: make(map[int]float64),
	}
	weights := 0.0
	for _, member := range layout.Members() {
		if member.State() == lagoonlanding.MemberActive && member.Weight() > 0 {
			view.members = append(view.members, member.ID())
			view.weight[member.ID()] = float64(member.Weight())
			weights += float64(member.Weight())
		}
	}
	sum := 0.0
	for _, member := range layout.Members() {
		for _, load := range loads[member.ID()] {
			owner := placement.Owner(load.Shard())
			if owner != member.ID() {
				continue
			}
			view.total[owner] += load.PerSecond()
			view.shards[owner] = append(view.shards[owner], load)
			view.rates[load.Shard()] = load.PerSecond()
			sum += load.PerSecond()
		}
	}
	if weights > 0 {
		view.mean = sum / weights
	}
	return view
}

func (view *view) load(shard int) float64 { return view.rates[shard] }

func (view *view) share(id lagoonlanding.InstanceID) float64 { return view.mean * view.weight[id] }

func (view *view) isHot(id lagoonlanding.InstanceID) bool {
	return view.total[id] > MinLoad && view.total[id] > HotLoadFactor*view.share(id)
}

// hasRoom reports whether the member can take the additional load without exceeding MaxReceiverLoadFactor.
func (view *view) hasRoom(id lagoonlanding.InstanceID, load float64) bool {
	return view.weight[id] > 0 && view.total[id]+load <= MaxReceiverLoadFactor*view.share(id)
}

// offload moves all but the busiest shard of each hot member to members with room, busier shards first.
func (view *view) offload(hot []lagoonlanding.InstanceID, limit int) []lagoonlanding.Pin {
	var moves []lagoonlanding.Pin
	for _, from := range hot {
		shards := slices.Clone(view.shards[from])
		slices.SortFunc(shards, func(a, b lagoonlanding.ShardLoad) int {
			return cmp.Or(cmp.Compare(b.PerSecond(), a.PerSecond()), cmp.Compare(a.Shard(), b.Shard()))
		})
		for _, shard := range shards[min(1, len(shards)):] {
			to := view.leastLoaded()
			if len(moves) >= min(MaxMoves, limit) || !view.isHot(from) || !view.hasRoom(to, shard.PerSecond()) {
				break
			}
			view.total[from] -= shard.PerSecond()
			view.total[to] += shard.PerSecond()
			moves = append(moves, lagoonlanding.NewPin(shard.Shard(), to))
		}
	}
	return moves
}

// leastLoaded returns the member with the lowest load relative to its weight.
func (view *view) leastLoaded() lagoonlanding.InstanceID {
	return slices.MinFunc(view.members, func(a, b lagoonlanding.InstanceID) int {
		return cmp.Compare(view.total[a]/view.weight[a], view.total[b]/view.weight[b])
	})
}
