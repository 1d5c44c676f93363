package placer

import (
	"container/heap"
	"math"
)

// noBid is the member index of an empty bid.
const noBid = -2

// bid is a shard's request to be placed on a member.
type bid struct {
	shard  int
	member int
	score  uint64
}

// firstBid returns the bid that precedes a shard's first one, with a score above that of any member.
func firstBid(shard int) bid { return bid{shard: shard, member: unowned, score: math.MaxUint64} }

func (bid bid) isNone() bool { return bid.member == noBid }

// hasLowerPriority orders the bids for one member by score, then by shard in descending order.
func (bid bid) hasLowerPriority(other bid) bool {
	if bid.score != other.score {
		return bid.score < other.score
	}
	return bid.shard > other.shard
}

// accept adds the bid and returns the bid that the member rejects because it is full, or an empty bid.
func (member *member) accept(candidate bid) bid {
	if member.capacity == 0 {
		return candidate
	}
	heap.Push(&member.accepted, candidate)
	if len(member.accepted) <= member.capacity {
		return bid{member: noBid}
	}
	return heap.Pop(&member.accepted).(bid)
}

// bidHeap is a heap of a member's accepted bids, lowest priority first.
type bidHeap []bid

// Len returns the number of bids.
func (bidheap bidHeap) Len() int { return len(bidheap) }

// Less orders the bids by priority.
func (bidheap bidHeap) Less(i, j int) bool { return bidheap[i].hasLowerPriority(bidheap[j]) }

// Swap exchanges two bids.
func (bidheap bidHeap) Swap(i, j int) {
	bidheap[i], bidheap[j] = bidheap[j], bidheap[i]
}

// Push appends a bid.
func (bidheap *bidHeap) Push(value any) { *bidheap = append(*bidheap, value.(bid)) }

// Pop removes the last bid.
func (bidheap *bidHeap) Pop() any {
	last := len(*bidheap) - 1
	value := (*bidheap)[last]
	*bidheap = (*bidheap)[:last]
	return value
}

// shardMultiplier spreads the shard numbers over all bits; it is odd, so all shards have different seeds.
const shardMultiplier = 0x9e3779b97f4a7c15

func shardSeed(shard int) uint64 { return (uint64(shard) + 1) * shardMultiplier }

// mix is the finalizer of xxHash64, which does not allocate.
func mix(value uint64) uint64 {
	const (
		prime2 = 0xc2b2ae3d27d4eb4f
		prime3 = 0x165667b19e3779f9
	)
	value ^= value >> 33
	value *= prime2
	value ^= value >> 29
	value *= prime3
	value ^= value >> 32
	return value
}
