package holder

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
)

// Change is what the adoption of a layout asks of the traffic path.
type Change struct {
	drains  []Drain
	dropped []int
}

// Drains returns the shards that must be handed over once their running requests have ended.
func (change Change) Drains() []Drain { return change.drains }

// Dropped returns the shards whose ledger no longer counts.
func (change Change) Dropped() []int { return change.dropped }

// Drain is the handover of one shard.
type Drain struct {
	shard int
	to    lagoonlanding.InstanceID
	since uint64
}

// Shard returns the number of the shard.
func (drain Drain) Shard() int { return drain.shard }

// To returns the new owner.
func (drain Drain) To() lagoonlanding.InstanceID { return drain.to }

// Since returns the store revision from which on the shard's ledger is complete.
func (drain Drain) Since() uint64 { return drain.since }

// Adopt takes a newer record that holds this member.
func (holder *Holder) Adopt(now time.Time, record lagoonlanding.Record, rules Rules) Change {
	var change Change
	if record.Version() <= holder.record.Version() {
		return change
	}
	consecutive := record.Version() == holder.record.Version()+1
	next := holder.config.Placer.Place(record.Current())
	prior := holder.config.Placer.Place(record.Prior())
	holder.record = record
	holder.adopted = now
	holder.tally = grouper.NewTally(record)
	if len(holder.shards) != record.Current().Shards() {
		holder.shards = make([]shard, record.Current().Shards())
	}
	for i := range holder.shards {
		move := move{now: now, owner: next.Owner(i), prior: prior.Owner(i), consecutive: consecutive, rules: rules}
		holder.adoptShard(i, move, &change)
	}
	holder.updateReleased()
	return change
}

// move is what a new layout means for one shard.
type move struct {
	now         time.Time
	owner       lagoonlanding.InstanceID
	prior       lagoonlanding.InstanceID
	consecutive bool
	rules       Rules
}

func (holder *Holder) adoptShard(index int, move move, change *Change) {
	shard := &holder.shards[index]
	shard.takenFrom = lagoonlanding.InstanceID{}
	wasServing := shard.state == stateServing && move.consecutive
	if move.owner == holder.config.Self {
		if !wasServing {
			change.dropped = append(change.dropped, index)
			holder.take(shard, move)
		}
		return
	}
	if wasServing && !move.owner.IsZero() {
		change.drains = append(change.drains, Drain{shard: index, to: move.owner, since: shard.since})
		shard.drain(move.owner)
		return
	}
	if shard.state != stateAbsent {
		change.dropped = append(change.dropped, index)
	}
	shard.drop()
}

// take starts to serve a shard at once or to acquire it from its prior owner.
func (holder *Holder) take(shard *shard, move move) {
	free := move.prior.IsZero() || move.prior == holder.config.Self
	if !free {
		shard.acquire(move.prior)
		return
	}
	if holder.record.Prior().Version() == 0 {
		shard.serve(holder.record.Version(), holder.record.Revision())
		return
	}
	// The layout before the prior one is settled, so no other owner is left; its last requests may still run.
	shard.acquire(move.prior)
	shard.servesAt = move.rules.servesAt(move.now)
	if !move.now.Before(shard.servesAt) {
		shard.serve(holder.record.Version(), holder.record.Revision())
	}
}
