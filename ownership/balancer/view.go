package balancer

import (
	"cmp"
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

// view is the load of each member and shard at one moment.
type view struct {
	members []lagoonlanding.InstanceID
	weight  map[lagoonlanding.InstanceID]float64
	total   map[lagoonlanding.InstanceID]float64
	shards  map[lagoonlanding.InstanceID][]lagoonlanding.ShardLoad
	rates   map[int]float64
	// mean is the load for each hundredth of weight.
	mean float64
}

// newView counts a reported shard for the member that owns it now, whoever reported it.
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
	return view.total[id] > LeastLoad && view.total[id] > HotShare*view.share(id)
}

// hasRoom reports whether the member stays cool with the additional load.
func (view *view) hasRoom(id lagoonlanding.InstanceID, load float64) bool {
	return view.weight[id] > 0 && view.total[id]+load <= CoolShare*view.share(id)
}

// moveAway moves the neighbours of each hot member's busiest shard to members with room, the busiest neighbour first.
func (view *view) moveAway(hot []lagoonlanding.InstanceID, room int) []lagoonlanding.Pin {
	var moves []lagoonlanding.Pin
	for _, from := range hot {
		shards := slices.Clone(view.shards[from])
		slices.SortFunc(shards, func(a, b lagoonlanding.ShardLoad) int {
			return cmp.Or(cmp.Compare(b.PerSecond(), a.PerSecond()), cmp.Compare(a.Shard(), b.Shard()))
		})
		for _, shard := range shards[min(1, len(shards)):] {
			to := view.coolest()
			if len(moves) >= min(MaxMoves, room) || !view.isHot(from) || !view.hasRoom(to, shard.PerSecond()) {
				break
			}
			view.total[from] -= shard.PerSecond()
			view.total[to] += shard.PerSecond()
			moves = append(moves, lagoonlanding.NewPin(shard.Shard(), to))
		}
	}
	return moves
}

// coolest returns the member with the lowest load for its weight.
func (view *view) coolest() lagoonlanding.InstanceID {
	return slices.MinFunc(view.members, func(a, b lagoonlanding.InstanceID) int {
		return cmp.Compare(view.total[a]/view.weight[a], view.total[b]/view.weight[b])
	})
}
