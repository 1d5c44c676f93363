package balancer

import (
	"fmt"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
)

const shards = 64

var start = time.Unix(1000, 0)

func newLayout(pins []lagoonlanding.Pin) lagoonlanding.Layout {
	var members []lagoonlanding.Member
	for i := range 4 {
		id := lagoonlanding.NewInstanceID(fmt.Sprint("daemon-", i), 1)
		instance := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: id})
		members = append(members, lagoonlanding.NewMember(instance, lagoonlanding.MemberActive, 100))
	}
	return lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{Version: 1, Shards: shards, Members: members, Pins: pins})
}

// loadsOf returns loads of 10 requests per second for each shard but the hot one, which has the given rate.
func loadsOf(layout lagoonlanding.Layout, hot int, rate float64) Loads {
	placement := placer.NewRendezvous().Place(layout)
	loads := Loads{}
	for shard := range shards {
		perSecond := 10.0
		if shard == hot {
			perSecond = rate
		}
		owner := placement.Owner(shard)
		loads[owner] = append(loads[owner], lagoonlanding.NewShardLoad(shard, perSecond))
	}
	return loads
}

// run calls the balancer every second and returns the final layout and the numbers of changes and moved shards.
func run(balancer *Balancer, layout lagoonlanding.Layout, now time.Time, seconds int, load func(int, lagoonlanding.Layout) Loads) (lagoonlanding.Layout, int, int) {
	changes, moves := 0, 0
	for second := range seconds {
		pins, changed := balancer.Decide(now.Add(time.Duration(second)*time.Second), layout, load(second, layout))
		if !changed {
			continue
		}
		changes++
		before := placer.NewRendezvous().Place(layout)
		layout = newLayout(pins)
		after := placer.NewRendezvous().Place(layout)
		for shard := range shards {
			if before.Owner(shard) != after.Owner(shard) {
				moves++
			}
		}
	}
	return layout, changes, moves
}

func TestOtherShardsMoveAwayFromHotShard(t *testing.T) {
	balancer := New(placer.NewRendezvous())
	layout := newLayout(nil)
	home := placer.NewRendezvous().Place(layout).Owner(7)
	hot := func(_ int, layout lagoonlanding.Layout) Loads { return loadsOf(layout, 7, 600) }
	layout, changes, moves := run(balancer, layout, start, 60, hot)
	placement := placer.NewRendezvous().Place(layout)
	if placement.Owner(7) != home {
		t.Errorf("the hot shard itself moved to %v", placement.Owner(7))
	}
	left := 0
	for shard := range shards {
		if placement.Owner(shard) == home {
			left++
		}
	}
	if left > 2 || moves > 16 || changes > 4 {
		t.Errorf("%d shards remain on the member with the hot shard after %d moves in %d changes", left, moves, changes)
	}
	uniform := func(_ int, layout lagoonlanding.Layout) Loads { return loadsOf(layout, 7, 10) }
	layout, _, _ = run(balancer, layout, start.Add(time.Minute), 200, uniform)
	if len(layout.Pins()) != 0 {
		t.Errorf("%d pins remain without a hot shard", len(layout.Pins()))
	}
}

func TestBalancerIgnoresShortAndSmallImbalances(t *testing.T) {
	cases := map[string]func(int, lagoonlanding.Layout) Loads{
		"bursts of 4 seconds": func(second int, layout lagoonlanding.Layout) Loads {
			if second%5 == 4 {
				return loadsOf(layout, 7, 10)
			}
			return loadsOf(layout, 7, 1000)
		},
		"small imbalance": func(_ int, layout lagoonlanding.Layout) Loads { return loadsOf(layout, 7, 80) },
		"nothing":         func(int, lagoonlanding.Layout) Loads { return nil },
	}
	for name, load := range cases {
		if _, changes, _ := run(New(placer.NewRendezvous()), newLayout(nil), start, 300, load); changes != 0 {
			t.Errorf("%s: %d changes", name, changes)
		}
	}
}

func TestMovingHotShardStaysWithinLimits(t *testing.T) {
	moving := func(second int, layout lagoonlanding.Layout) Loads { return loadsOf(layout, second/20%shards, 2000) }
	layout, changes, moves := run(New(placer.NewRendezvous()), newLayout(nil), start, 600, moving)
	if changes > 60 || moves > 60*MaxMoves || len(layout.Pins()) > MaxPins {
		t.Errorf("%d changes, %d moves, %d pins in 600 s", changes, moves, len(layout.Pins()))
	}
	t.Logf("hot shard that changes every 20 s: %d changes, %d moves in 600 s", changes, moves)
}
