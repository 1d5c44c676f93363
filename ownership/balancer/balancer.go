package balancer

import (
	"cmp"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Thresholds and delays that prevent shards from moving at every small change of load.
const (
	// HotLoadFactor is the load of a member, as a multiple of its share of the load, above which the member is hot.
	HotLoadFactor = 1.5
	// MaxReceiverLoadFactor is the load of a member, as a multiple of its share of the load, up to which it may receive shards.
	MaxReceiverLoadFactor = 1.2
	// HotDuration is how long a member must be hot before shards move away from it.
	HotDuration = 5 * time.Second
	// UnneededPinDuration is how long a pin must have been unneeded before it is removed.
	UnneededPinDuration = time.Minute
	// ChangeInterval is the minimum time between two changes.
	ChangeInterval = 10 * time.Second
	// MaxMoves bounds the number of shards that one change moves.
	MaxMoves = 8
	// MaxPins bounds the number of pins of a group.
	MaxPins = 64
	// MinLoad is the load of a member, in requests per second, up to which none of its shards are moved.
	MinLoad = 100.0
)

// Balancer tracks which members of a group are hot and which pins are unneeded.
type Balancer struct {
	placer     lagoonlanding.Placer
	nextChange time.Time
	// offloadAfter is when shards may move away from each hot member.
	offloadAfter map[lagoonlanding.InstanceID]time.Time
	// removeAfter is when each unneeded pin may be removed, by shard.
	removeAfter map[int]time.Time
}

// New returns a balancer without load history.
func New(placer lagoonlanding.Placer) *Balancer {
	return &Balancer{
		placer:       placer,
		offloadAfter: make(map[lagoonlanding.InstanceID]time.Time), removeAfter: make(map[int]time.Time),
	}
}

// Loads are the busiest shards that each member last reported.
type Loads map[lagoonlanding.InstanceID][]lagoonlanding.ShardLoad

// Decide returns the pins of the next layout, or false if the pins should not change.
func (balancer *Balancer) Decide(now time.Time, layout lagoonlanding.Layout, loads Loads) ([]lagoonlanding.Pin, bool) {
	view := newView(layout, balancer.placer.Place(layout), loads)
	hot := balancer.hot(now, view)
	unneeded := balancer.unneeded(now, layout, view)
	if now.Before(balancer.nextChange) {
		return nil, false
	}
	pins := slices.Clone(layout.Pins())
	moves := view.offload(hot, MaxPins-len(pins))
	if len(moves) == 0 {
		return balancer.removePins(now, pins, unneeded)
	}
	for _, move := range moves {
		pins = slices.DeleteFunc(pins, func(pin lagoonlanding.Pin) bool { return pin.Shard() == move.Shard() })
	}
	balancer.nextChange = now.Add(ChangeInterval)
	return sortByShard(append(pins, moves...)), true
}

// removePins removes at most MaxMoves unneeded pins and returns the others, or false if none are unneeded.
func (balancer *Balancer) removePins(now time.Time, pins []lagoonlanding.Pin, unneeded []int) ([]lagoonlanding.Pin, bool) {
	if len(unneeded) == 0 {
		return nil, false
	}
	unneeded = unneeded[:min(len(unneeded), MaxMoves)]
	balancer.nextChange = now.Add(ChangeInterval)
	kept := slices.DeleteFunc(pins, func(pin lagoonlanding.Pin) bool { return slices.Contains(unneeded, pin.Shard()) })
	return sortByShard(kept), true
}

func sortByShard(pins []lagoonlanding.Pin) []lagoonlanding.Pin {
	sorted := make([]lagoonlanding.Pin, 0, len(pins))
	sorted = append(sorted, pins...)
	slices.SortFunc(sorted, func(a, b lagoonlanding.Pin) int { return cmp.Compare(a.Shard(), b.Shard()) })
	return sorted
}

// hot returns the members that have been hot for HotDuration, busiest first.
func (balancer *Balancer) hot(now time.Time, view *view) []lagoonlanding.InstanceID {
	var hot []lagoonlanding.InstanceID
	for _, id := range view.members {
		if !view.isHot(id) {
			delete(balancer.offloadAfter, id)
			continue
		}
		at, known := balancer.offloadAfter[id]
		if !known {
			at = now.Add(HotDuration)
			balancer.offloadAfter[id] = at
		}
		if !now.Before(at) {
			hot = append(hot, id)
		}
	}
	slices.SortStableFunc(hot, func(a, b lagoonlanding.InstanceID) int { return cmp.Compare(view.total[b], view.total[a]) })
	return hot
}

// unneeded returns the shards whose pins have been unneeded for UnneededPinDuration.
func (balancer *Balancer) unneeded(now time.Time, layout lagoonlanding.Layout, view *view) []int {
	if len(layout.Pins()) == 0 {
		clear(balancer.removeAfter)
		return nil
	}
	base := balancer.placer.Place(withoutPins(layout))
	var unneeded []int
	for _, pin := range layout.Pins() {
		if !view.hasRoom(base.Owner(pin.Shard()), view.load(pin.Shard())) {
			delete(balancer.removeAfter, pin.Shard())
			continue
		}
		at, known := balancer.removeAfter[pin.Shard()]
		if !known {
			at = now.Add(UnneededPinDuration)
			balancer.removeAfter[pin.Shard()] = at
		}
		if !now.Before(at) {
			unneeded = append(unneeded, pin.Shard())
		}
	}
	return unneeded
}

func withoutPins(layout lagoonlanding.Layout) lagoonlanding.Layout {
	return lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{
		Version: layout.Version(), Shards: layout.Shards(), Members: layout.Members(), Witnesses: layout.Witnesses(),
	})
}
