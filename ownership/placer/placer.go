package placer

import (
	"github.com/cespare/xxhash/v2"

	"lagoonlanding.example/lagoonlanding"
)

// Rendezvous is a lagoonlanding.Placer that uses rendezvous hashing with bounded loads.
//
// Shards and members rank each other by the same score, and each member accepts at most its share of the shards.
// The result is the unique stable matching, so it does not depend on the order of shards or members.
type Rendezvous struct{}

// NewRendezvous returns a rendezvous placer.
func NewRendezvous() Rendezvous { return Rendezvous{} }

// Place returns the owner of each shard; if no member may own shards, all owners are the zero identity.
func (rendezvous Rendezvous) Place(layout lagoonlanding.Layout) lagoonlanding.Placement {
	assignment := newAssignment(layout)
	if len(assignment.members) > 0 {
		assignment.fill()
		assignment.pin(layout.Pins())
	}
	return lagoonlanding.NewPlacement(assignment.owners())
}

// unowned is the member index of a shard without an owner.
const unowned = -1

type member struct {
	id       lagoonlanding.InstanceID
	seed     uint64
	capacity int
	accepted bidHeap
}

type assignment struct {
	members []member
	owner   []int
}

func newAssignment(layout lagoonlanding.Layout) *assignment {
	assignment := &assignment{owner: make([]int, layout.Shards())}
	total := 0
	for _, candidate := range layout.Members() {
		if mayOwnShards(candidate) {
			total += candidate.Weight()
		}
	}
	for _, candidate := range layout.Members() {
		if mayOwnShards(candidate) {
			assignment.members = append(assignment.members, member{
				id:       candidate.ID(),
				seed:     xxhash.Sum64String(candidate.ID().Name()),
				capacity: share(layout.Shards(), candidate.Weight(), total),
			})
		}
	}
	for shard := range assignment.owner {
		assignment.owner[shard] = unowned
	}
	return assignment
}

func mayOwnShards(candidate lagoonlanding.Member) bool {
	return candidate.State() == lagoonlanding.MemberActive && candidate.Weight() > 0
}

// share returns a member's share of the shards, rounded up so that every shard has room.
func share(shards, weight, total int) int { return (shards*weight + total - 1) / total }

// pin applies the pins last, so that each moves only its own shard; owners get pinned shards in addition to their share.
func (assignment *assignment) pin(pins []lagoonlanding.Pin) {
	for _, pin := range pins {
		index := assignment.index(pin.Owner())
		if index != unowned && pin.Shard() >= 0 && pin.Shard() < len(assignment.owner) {
			assignment.owner[pin.Shard()] = index
		}
	}
}

func (assignment *assignment) index(id lagoonlanding.InstanceID) int {
	for index, member := range assignment.members {
		if member.id == id {
			return index
		}
	}
	return unowned
}

// fill lets each shard bid for the members in descending order of score; a full member rejects the shard with the lowest score.
func (assignment *assignment) fill() {
	for shard := range assignment.owner {
		bid := firstBid(shard)
		for !bid.isNone() {
			bid = assignment.next(bid)
			bid = assignment.members[bid.member].accept(bid)
		}
	}
	for index, member := range assignment.members {
		for _, bid := range member.accepted {
			assignment.owner[bid.shard] = index
		}
	}
}

// next returns the shard's bid for the member with the highest score below that of its last bid.
func (assignment *assignment) next(last bid) bid {
	best, score := unowned, uint64(0)
	seed := shardSeed(last.shard)
	for index := range assignment.members {
		candidate := mix(assignment.members[index].seed ^ seed)
		if candidate > last.score || candidate == last.score && index <= last.member {
			continue
		}
		if best == unowned || candidate > score {
			best, score = index, candidate
		}
	}
	return bid{shard: last.shard, member: best, score: score}
}

func (assignment *assignment) owners() []lagoonlanding.InstanceID {
	owners := make([]lagoonlanding.InstanceID, len(assignment.owner))
	for shard, index := range assignment.owner {
		if index != unowned {
			owners[shard] = assignment.members[index].id
		}
	}
	return owners
}
