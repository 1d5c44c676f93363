package placer

import (
	"cmp"
	"flag"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"github.com/cespare/xxhash/v2"

	"lagoonlanding.example/lagoonlanding"
)

// The placers that were measured against Rendezvous and not taken.

// plainRendezvous gives each shard to the member with the highest score.
type plainRendezvous struct{}

func (plainRendezvous) Place(layout lagoonlanding.Layout) lagoonlanding.Placement {
	assignment := newAssignment(layout)
	for shard := range assignment.owner {
		assignment.owner[shard] = assignment.next(firstBid(shard)).member
	}
	return lagoonlanding.NewPlacement(assignment.owners())
}

// orderedRendezvous gives the shards in their order to the best member that has room.
type orderedRendezvous struct{}

func (orderedRendezvous) Place(layout lagoonlanding.Layout) lagoonlanding.Placement {
	assignment := newAssignment(layout)
	for shard := range assignment.owner {
		bid := assignment.next(firstBid(shard))
		for assignment.members[bid.member].capacity == 0 {
			bid = assignment.next(bid)
		}
		assignment.members[bid.member].capacity--
		assignment.owner[shard] = bid.member
	}
	return lagoonlanding.NewPlacement(assignment.owners())
}

// boundedRing walks a ring of points to the first member that has room.
type boundedRing struct{}

func (boundedRing) Place(layout lagoonlanding.Layout) lagoonlanding.Placement {
	type point struct {
		hash   uint64
		member int
	}
	assignment := newAssignment(layout)
	var ring []point
	for index, member := range assignment.members {
		for replica := range 64 {
			ring = append(ring, point{hash: mix(member.seed + uint64(replica)*shardFactor), member: index})
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	for shard := range assignment.owner {
		hash := xxhash.Sum64([]byte{byte(shard), byte(shard >> 8)})
		at := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= hash })
		for assignment.members[ring[at%len(ring)].member].capacity == 0 {
			at++
		}
		owner := ring[at%len(ring)].member
		assignment.members[owner].capacity--
		assignment.owner[shard] = owner
	}
	return lagoonlanding.NewPlacement(assignment.owners())
}

type churn struct {
	changes int
	moved   int
	least   int
	worst   float64
	// imbalance is the sum over all layouts of the largest load over the mean.
	imbalance float64
	peak      float64
}

func (churn churn) ratio() float64 { return float64(churn.moved) / float64(churn.least) }

// measure lets members come and go at random and compares the moved shards with the fewest that any placement must move.
func measure(placer lagoonlanding.Placer, shards, members int, random *rand.Rand) churn {
	var list []lagoonlanding.Member
	for i := range members {
		list = append(list, activeMember(i, 100))
	}
	var result churn
	before := placer.Place(layoutOf(shards, list))
	for change := range 20 {
		owned := counts(before)
		least := shards / (len(list) + 1)
		if change%2 == 0 {
			list = append(slices.Clone(list), activeMember(1000+random.IntN(100000), 100))
		} else {
			index := random.IntN(len(list))
			least = owned[list[index].ID()]
			list = slices.Delete(slices.Clone(list), index, index+1)
		}
		after := placer.Place(layoutOf(shards, list))
		changed := moved(before, after)
		largest := 0
		for _, count := range counts(after) {
			largest = max(largest, count)
		}
		imbalance := float64(largest*len(list)) / float64(shards)
		result.changes++
		result.moved += changed
		result.least += least
		result.worst = max(result.worst, float64(changed)/float64(max(1, least)))
		result.imbalance += imbalance
		result.peak = max(result.peak, imbalance)
		before = after
	}
	return result
}

var placers = []struct {
	name   string
	placer lagoonlanding.Placer
}{
	{name: "bounded rendezvous", placer: NewRendezvous()},
	{name: "plain rendezvous", placer: plainRendezvous{}},
	{name: "ordered rendezvous", placer: orderedRendezvous{}},
	{name: "bounded ring", placer: boundedRing{}},
}

var full = flag.Bool("full", false, "also measure the placers that were not taken")

// TestChurnStaysNearLeast bounds the moved shards and the load of the fullest member over seeded changes of 2 to 24 members.
func TestChurnStaysNearLeast(t *testing.T) {
	bounds := []struct {
		shards    int
		churn     float64
		imbalance float64
	}{
		{shards: 64, churn: 1.55, imbalance: 1.12},
		{shards: 128, churn: 1.45, imbalance: 1.07},
		{shards: 256, churn: 1.35, imbalance: 1.04},
		{shards: 512, churn: 1.25, imbalance: 1.02},
	}
	for _, candidate := range placers {
		if candidate.placer != NewRendezvous() && !*full {
			continue
		}
		for _, bound := range bounds {
			all := measureAll(candidate.placer, bound.shards)
			imbalance := all.imbalance / float64(all.changes)
			t.Logf("%s, %d shards, %d changes: churn %.2f of the least (worst change %.2f), imbalance mean %.2f peak %.2f",
				candidate.name, bound.shards, all.changes, all.ratio(), all.worst, imbalance, all.peak)
			if candidate.placer == NewRendezvous() && (all.ratio() > bound.churn || imbalance > bound.imbalance) {
				t.Errorf("%d shards: churn %.2f, imbalance %.2f", bound.shards, all.ratio(), imbalance)
			}
		}
	}
}

func measureAll(placer lagoonlanding.Placer, shards int) churn {
	var all churn
	for members := 2; members < 24; members++ {
		one := measure(placer, shards, members, rand.New(rand.NewPCG(uint64(shards), uint64(members))))
		all.changes += one.changes
		all.moved += one.moved
		all.least += one.least
		all.imbalance += one.imbalance
		all.worst = max(all.worst, one.worst)
		all.peak = max(all.peak, one.peak)
	}
	return all
}

func BenchmarkPlace(b *testing.B) {
	var list []lagoonlanding.Member
	for i := range 24 {
		list = append(list, activeMember(i, 100))
	}
	for _, candidate := range placers {
		b.Run(candidate.name, func(b *testing.B) {
			for b.Loop() {
				candidate.placer.Place(layoutOf(512, list))
			}
		})
	}
}
