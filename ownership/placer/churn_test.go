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

// Alternative placers to compare with Rendezvous.

// plainRendezvous places each shard on the member with the highest score.
type plainRendezvous struct{}

func (plainRendezvous) Place(layout lagoonlanding.Layout) lagoonlanding.Placement {
	assignment := newAssignment(layout)
	for shard := range assignment.owner {
		assignment.owner[shard] = assignment.next(firstBid(shard)).member
	}
	return lagoonlanding.NewPlacement(assignment.owners())
}

// orderedRendezvous places the shards in order on the member with the highest score that has capacity left.
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

// boundedRing is consistent hashing with bounded loads: it places each shard on the next member on the ring that has capacity left.
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
			ring = append(ring, point{hash: mix(member.seed + uint64(replica)*shardMultiplier), member: index})
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
	changes    int
	moved      int
	minMoves   int
	worstRatio float64
	// imbalance is the sum of the ratios of the largest load to the mean load over all layouts.
	imbalance     float64
	peakImbalance float64
}

func (churn churn) ratio() float64 { return float64(churn.moved) / float64(churn.minMoves) }

// measure adds and removes random members and compares the number of moved shards with the minimum for any placement.
func measure(placer lagoonlanding.Placer, shards, members int, random *rand.Rand) churn {
	var list []lagoonlanding.Member
	for i := range members {
		list = append(list, activeMember(i, 100))
	}
	var result churn
	before := placer.Place(layoutOf(shards, list))
	for change := range 20 {
		owned := counts(before)
		minMoves := shards / (len(list) + 1)
		if change%2 == 0 {
			list = append(slices.Clone(list), activeMember(1000+random.IntN(100000), 100))
		} else {
			index := random.IntN(len(list))
			minMoves = owned[list[index].ID()]
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
		result.minMoves += minMoves
		result.worstRatio = max(result.worstRatio, float64(changed)/float64(max(1, minMoves)))
		result.imbalance += imbalance
		result.peakImbalance = max(result.peakImbalance, imbalance)
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

var alternatives = flag.Bool("full", false, "also measure the alternative placers")

// TestChurnStaysNearMinimum bounds the moved shards and the largest load of a member over seeded changes of groups of 2 to 24 members.
func TestChurnStaysNearMinimum(t *testing.T) {
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
		if candidate.placer != NewRendezvous() && !*alternatives {
			continue
		}
		for _, bound := range bounds {
			total := measureAllSizes(candidate.placer, bound.shards)
			imbalance := total.imbalance / float64(total.changes)
			t.Logf("%s, %d shards, %d changes: churn %.2f of the minimum (worst change %.2f), imbalance mean %.2f peak %.2f",
				candidate.name, bound.shards, total.changes, total.ratio(), total.worstRatio, imbalance, total.peakImbalance)
			if candidate.placer == NewRendezvous() && (total.ratio() > bound.churn || imbalance > bound.imbalance) {
				t.Errorf("%d shards: churn %.2f, imbalance %.2f", bound.shards, total.ratio(), imbalance)
			}
		}
	}
}

func measureAllSizes(placer lagoonlanding.Placer, shards int) churn {
	var total churn
	for members := 2; members < 24; members++ {
		measured := measure(placer, shards, members, rand.New(rand.NewPCG(uint64(shards), uint64(members))))
		total.changes += measured.changes
		total.moved += measured.moved
		total.minMoves += measured.minMoves
		total.imbalance += measured.imbalance
		total.worstRatio = max(total.worstRatio, measured.worstRatio)
		total.peakImbalance = max(total.peakImbalance, measured.peakImbalance)
	}
	return total
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
