package holder

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
)

// Change describes what the traffic path must do after the adoption of a layout.
type Change struct {
	drains  []Drain
	dropped []int
}

// Drains returns the shards to hand over once their running requests have finished.
func (change Change) Drains() []Drain { return change.drains }

// Dropped returns the shards whose deduplication records are no longer valid.
func (change Change) Dropped() []int { return change.dropped }

// Drain is a shard to hand over to its new owner.
type Drain struct {
	shard int
	to    lagoonlanding.InstanceID
	since uint64
}

// Shard returns the number of the shard.
func (drain Drain) Shard() int { return drain.shard }

// To returns the new owner.
func (drain Drain) To() lagoonlanding.InstanceID { return drain.to }

// Since returns the store revision from which the shard's deduplication records are complete.
func (drain Drain) Since() uint64 { return drain.since }

// Adopt switches to a newer record that contains this member.
func (holder *Holder) Adopt(now time.Time, record lagoonlanding.Record, rules Rules) Change {
	var change Change
	if record.Version() <= holder.record.Version() {
		return change
	}
	consecutive := record.Version() == holder.record.Version()+1
	next := holder.config.Placer.Place(record.Current())
	prior := holder.config.Placer.Place(record.Prior())
	holder.record = record
	holder.adoptedAt = now
	holder.tally = grouper.NewTally(record)
	if len(holder.shards) != record.Current().Shards() {
		holder.shards = make([]shard, record.Current().Shards())
	}
	for i := range holder.shards {
		transition := transition{now: now, owner: next.Owner(i), prior: prior.Owner(i), consecutive: consecutive, rules: rules}
		holder.adoptShard(i, transition, &change)
	}
	holder.updateReleased()
	return change
}

// transition is the change of one shard's owner under a new layout.
type transition struct {
	now   time.Time
	owner lagoonlanding.InstanceID
	prior lagoonlanding.InstanceID
	// consecutive means that no layout was missed, in which another member could have owned the shard.
	consecutive bool
	rules       Rules
}

func (holder *Holder) adoptShard(index int, transition transition, change *Change) {
	shard := &holder.shards[index]
	shard.handedOverBy = lagoonlanding.InstanceID{}
	wasServing := shard.state == stateServing && transition.consecutive
	if transition.owner == holder.config.Self {
		if !wasServing {
			change.dropped = append(change.dropped, index)
			holder.takeOver(shard, transition)
		}
		return
	}
	if wasServing && !transition.owner.IsZero() {
		change.drains = append(change.drains, Drain{shard: index, to: transition.owner, since: shard.since})
		shard.drain(transition.owner)
		return
	}
	if shard.state != stateAbsent {
		change.dropped = append(change.dropped, index)
	}
	shard.drop()
}

// takeOver serves a shard immediately or starts to acquire it from its previous owner.
func (holder *Holder) takeOver(shard *shard, transition transition) {
	hadNoOtherOwner := transition.prior.IsZero() || transition.prior == holder.config.Self
	if !hadNoOtherOwner {
		shard.acquire(transition.prior)
		return
	}
	if holder.record.Prior().Version() == 0 {
		shard.serve(holder.record.Version(), holder.record.Revision())
		return
	}
	// The layout before the previous one is settled, so there is no other owner, but requests of an earlier owner may still be running.
	shard.acquire(transition.prior)
	shard.servableAt = transition.rules.servableAt(transition.now)
	if !transition.now.Before(shard.servableAt) {
		shard.serve(holder.record.Version(), holder.record.Revision())
	}
}
