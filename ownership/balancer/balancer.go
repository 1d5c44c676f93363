package balancer

import (
	"cmp"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// The rules that keep shards from moving on every small change of load.
const (
	// HotShare is the load of a member, as a multiple of the mean, from which on it is hot.
	HotShare = 1.5
	// CoolShare is the load up to which a member may receive shards.
	CoolShare = 1.2
	// HotTerm is how long a member must be hot before shards move.
	HotTerm = 5 * time.Second
	// CalmTerm is how long an exception must have been needless before it ends.
	CalmTerm = time.Minute
	// ChangeInterval is the time between two changes.
	ChangeInterval = 10 * time.Second
	// MaxMoves bounds the shards that one change moves.
	MaxMoves = 8
	// MaxPins bounds the exceptions of a group.
	MaxPins = 64
	// LeastLoad is the load of a member, in requests a second, below which nothing is moved.
	LeastLoad = 100.0
)

// Balancer holds what a coordinator has seen of the loads of one group.
type Balancer struct {
	placer     lagoonlanding.Placer
	nextAt     time.Time
	hotAt      map[lagoonlanding.InstanceID]time.Time
	needlessAt map[int]time.Time
}

// New returns a balancer that has seen no loads.
func New(placer lagoonlanding.Placer) *Balancer {
	return &Balancer{
		placer: placer,
		hotAt:  make(map[lagoonlanding.InstanceID]time.Time), needlessAt: make(map[int]time.Time),
	}
}

// Loads are the busiest shards that each member reported last.
type Loads map[lagoonlanding.InstanceID][]lagoonlanding.ShardLoad

// Decide returns the exceptions that the next layout should have; it is false if they should stay.
func (balancer *Balancer) Decide(now time.Time, layout lagoonlanding.Layout, loads Loads) ([]lagoonlanding.Pin, bool) {
	view := newView(layout, balancer.placer.Place(layout), loads)
	hot := balancer.hot(now, view)
	needless := balancer.needless(now, layout, view)
	if now.Before(balancer.nextAt) {
		return nil, false
	}
	pins := slices.Clone(layout.Pins())
	moves := view.moveAway(hot, MaxPins-len(pins))
	if len(moves) == 0 {
		return balancer.end(now, pins, needless)
	}
	for _, move := range moves {
		pins = slices.DeleteFunc(pins, func(pin lagoonlanding.Pin) bool { return pin.Shard() == move.Shard() })
	}
	balancer.nextAt = now.Add(ChangeInterval)
	return ordered(append(pins, moves...)), true
}

// end removes exceptions that are needless.
func (balancer *Balancer) end(now time.Time, pins []lagoonlanding.Pin, needless []int) ([]lagoonlanding.Pin, bool) {
	if len(needless) == 0 {
		return nil, false
	}
	needless = needless[:min(len(needless), MaxMoves)]
	balancer.nextAt = now.Add(ChangeInterval)
	kept := slices.DeleteFunc(pins, func(pin lagoonlanding.Pin) bool { return slices.Contains(needless, pin.Shard()) })
	return ordered(kept), true
}

func ordered(pins []lagoonlanding.Pin) []lagoonlanding.Pin {
	sorted := make([]lagoonlanding.Pin, 0, len(pins))
	sorted = append(sorted, pins...)
	slices.SortFunc(sorted, func(a, b lagoonlanding.Pin) int { return cmp.Compare(a.Shard(), b.Shard()) })
	return sorted
}

// hot returns the members that have been hot for the term, the busiest first.
func (balancer *Balancer) hot(now time.Time, view *view) []lagoonlanding.InstanceID {
	var hot []lagoonlanding.InstanceID
	for _, id := range view.members {
		if !view.isHot(id) {
			delete(balancer.hotAt, id)
			continue
		}
		at, known := balancer.hotAt[id]
		if !known {
			at = now.Add(HotTerm)
			balancer.hotAt[id] = at
		}
		if !now.Before(at) {
			hot = append(hot, id)
		}
	}
	slices.SortStableFunc(hot, func(a, b lagoonlanding.InstanceID) int { return cmp.Compare(view.total[b], view.total[a]) })
	return hot
}

// needless returns the shards whose exceptions have been needless for the term.
func (balancer *Balancer) needless(now time.Time, layout lagoonlanding.Layout, view *view) []int {
	if len(layout.Pins()) == 0 {
		clear(balancer.needlessAt)
		return nil
	}
	base := balancer.placer.Place(withoutPins(layout))
	var needless []int
	for _, pin := range layout.Pins() {
		if !view.hasRoom(base.Owner(pin.Shard()), view.load(pin.Shard())) {
			delete(balancer.needlessAt, pin.Shard())
			continue
		}
		at, known := balancer.needlessAt[pin.Shard()]
		if !known {
			at = now.Add(CalmTerm)
			balancer.needlessAt[pin.Shard()] = at
		}
		if !now.Before(at) {
			needless = append(needless, pin.Shard())
		}
	}
	return needless
}

func withoutPins(layout lagoonlanding.Layout) lagoonlanding.Layout {
	return lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{
		Version: layout.Version(), Shards: layout.Shards(), Members: layout.Members(), Witnesses: layout.Witnesses(),
	})
}
