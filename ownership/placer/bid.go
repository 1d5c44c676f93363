package placer

import (
	"container/heap"
	"math"
)

// settled is the member of a bid that no shard needs to make any more.
const settled = -2

// bid is a shard's request to be kept by a member.
type bid struct {
	shard  int
	member int
	score  uint64
}

func firstBid(shard int) bid { return bid{shard: shard, member: unowned, score: math.MaxUint64} }

func (bid bid) isSettled() bool { return bid.member == settled }

// isBelow orders the bids to one member by score, then by shard.
func (bid bid) isBelow(other bid) bool {
	if bid.score != other.score {
		return bid.score < other.score
	}
	return bid.shard > other.shard
}

// offer keeps the bid and returns the one that the member drops for it.
func (member *member) offer(offered bid) bid {
	if member.capacity == 0 {
		return offered
	}
	heap.Push(&member.kept, offered)
	if len(member.kept) <= member.capacity {
		return bid{member: settled}
	}
	return heap.Pop(&member.kept).(bid)
}

// keptShards is a heap of a member's bids with the lowest score first.
type keptShards []bid

// Len returns the number of bids.
func (keptshards keptShards) Len() int { return len(keptshards) }

// Less orders the bids by score.
func (keptshards keptShards) Less(i, j int) bool { return keptshards[i].isBelow(keptshards[j]) }

// Swap exchanges two bids.
func (keptshards keptShards) Swap(i, j int) {
	keptshards[i], keptshards[j] = keptshards[j], keptshards[i]
}

// Push appends a bid.
func (keptshards *keptShards) Push(value any) { *keptshards = append(*keptshards, value.(bid)) }

// Pop removes the last bid.
func (keptshards *keptShards) Pop() any {
	last := len(*keptshards) - 1
	value := (*keptshards)[last]
	*keptshards = (*keptshards)[:last]
	return value
}

// shardFactor spreads the numbers of shards over all bits; it is odd, so no two shards share a seed.
const shardFactor = 0x9e3779b97f4a7c15

func shardSeed(shard int) uint64 { return (uint64(shard) + 1) * shardFactor }

// mix is the finalizer of xxHash64, which needs no memory.
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
