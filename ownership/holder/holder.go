package holder

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
)

// Config holds what a Holder starts with.
type Config struct {
	// Self is the instance that holds the lease.
	Self lagoonlanding.InstanceID
	// Group is the group of the lease.
	Group lagoonlanding.GroupID
	// Placer derives the owners of the shards.
	Placer lagoonlanding.Placer
}

// Holder is one member's lease in one group.
type Holder struct {
	config   Config
	record   lagoonlanding.Record
	adopted  time.Time
	released uint64
	promises map[lagoonlanding.InstanceID]time.Time
	shards   []shard
	tally    *grouper.Tally
}

// New returns a lease that has adopted no layout yet.
func New(config Config) *Holder {
	return &Holder{config: config, promises: make(map[lagoonlanding.InstanceID]time.Time)}
}

// Record returns the record whose layout is adopted.
func (holder *Holder) Record() lagoonlanding.Record { return holder.record }

// Version returns the adopted layout version, zero before the first.
func (holder *Holder) Version() uint64 { return holder.record.Version() }

// Released returns the newest layout version at which all lost shards are let go.
func (holder *Holder) Released() uint64 { return holder.released }

// Promised counts a witness's promise that was asked for at the given time.
func (holder *Holder) Promised(witness lagoonlanding.InstanceID, asked time.Time) {
	deadline := lagoonlanding.HolderDeadline(asked)
	if deadline.After(holder.promises[witness]) {
		holder.promises[witness] = deadline
	}
}

// Deadline returns when the lease lapses: the deadline that a majority of the witnesses' promises reaches.
func (holder *Holder) Deadline() time.Time {
	layout := holder.record.Current()
	if len(layout.Witnesses()) == 0 {
		return time.Time{}
	}
	deadlines := make([]time.Time, 0, len(layout.Witnesses()))
	for _, witness := range layout.Witnesses() {
		deadlines = append(deadlines, holder.promises[witness.ID()])
	}
	slices.SortFunc(deadlines, func(a, b time.Time) int { return b.Compare(a) })
	return deadlines[layout.Majority()-1]
}

// Rules are the parts of the service's settings that a takeover depends on.
type Rules struct {
	checksFence bool
	longestRun  time.Duration
}

// NewRules returns whether backend servers refuse outdated tokens, and how long a request may run.
func NewRules(checksFence bool, longestRun time.Duration) Rules {
	return Rules{checksFence: checksFence, longestRun: longestRun}
}

// servesAt returns when a shard may be served whose prior owner is known to be cleared now.
func (rules Rules) servesAt(now time.Time) time.Time {
	if rules.checksFence {
		return now
	}
	// The clock of the backend server that still runs requests may be slower than this one.
	return now.Add(rules.longestRun + rules.longestRun*lagoonlanding.DriftPermille/1000)
}

// Cleared counts a prior witness's answer; shards whose prior owner is cleared by a majority may then be served.
func (holder *Holder) Cleared(now time.Time, witness lagoonlanding.InstanceID, reply lagoonlanding.ClearanceReply, rules Rules) {
	if holder.tally == nil || !holder.tally.Add(witness, reply) {
		return
	}
	for i := range holder.shards {
		shard := &holder.shards[i]
		if shard.state == stateAcquiring && shard.servesAt.IsZero() && holder.tally.IsCleared(shard.peer) {
			shard.servesAt = rules.servesAt(now)
		}
	}
	holder.Advance(now)
}

// Advance serves the shards whose time to wait has passed and gives up drains that took too long; it reports whether anything changed.
func (holder *Holder) Advance(now time.Time) bool {
	changed := false
	for i := range holder.shards {
		shard := &holder.shards[i]
		if shard.state == stateAcquiring && !shard.servesAt.IsZero() && !now.Before(shard.servesAt) {
			shard.serve(holder.record.Version(), holder.record.Revision())
			changed = true
		}
		if shard.state == stateDraining && !now.Before(holder.adopted.Add(lagoonlanding.DrainTerm)) {
			shard.drop()
			changed = true
		}
	}
	holder.updateReleased()
	return changed
}

// HandOver takes a shard from its prior owner and reports whether the attempts must be imported first.
func (holder *Holder) HandOver(request lagoonlanding.HandoverRequest) (lagoonlanding.HandoverStatus, bool) {
	if request.Version() > holder.record.Version() {
		return lagoonlanding.HandoverBehind, false
	}
	index := request.Shard()
	if request.Version() < holder.record.Version() || index < 0 || index >= len(holder.shards) {
		return lagoonlanding.HandoverLate, false
	}
	shard := &holder.shards[index]
	if shard.state == stateServing && shard.takenFrom == request.From() {
		// The answer to the first handover was lost.
		return lagoonlanding.HandoverAccepted, false
	}
	if shard.state != stateAcquiring || shard.peer != request.From() {
		return lagoonlanding.HandoverLate, false
	}
	shard.serve(holder.record.Version(), request.Since())
	shard.takenFrom = request.From()
	return lagoonlanding.HandoverAccepted, true
}

// HandedOver ends the drain of a shard that its new owner has taken, or no longer needs, and reports whether it still drained.
func (holder *Holder) HandedOver(index int, version uint64) bool {
	if version != holder.record.Version() || index >= len(holder.shards) || holder.shards[index].state != stateDraining {
		return false
	}
	holder.shards[index].drop()
	holder.updateReleased()
	return true
}

func (holder *Holder) updateReleased() {
	for i := range holder.shards {
		if holder.shards[i].state == stateDraining {
			return
		}
	}
	holder.released = holder.record.Version()
}

// IsAcquiring reports whether some shard waits for its prior owner to be cleared.
func (holder *Holder) IsAcquiring() bool {
	return slices.ContainsFunc(holder.shards, func(shard shard) bool {
		return shard.state == stateAcquiring && shard.servesAt.IsZero()
	})
}

// IsEmpty reports whether the member neither serves nor moves any shard.
func (holder *Holder) IsEmpty() bool {
	return !slices.ContainsFunc(holder.shards, func(shard shard) bool { return shard.state != stateAbsent })
}

// Tokens returns the fencing tokens by shard, zero for shards that are not served.
func (holder *Holder) Tokens() []uint64 {
	tokens := make([]uint64, len(holder.shards))
	for i, shard := range holder.shards {
		if shard.state == stateServing {
			tokens[i] = shard.token
		}
	}
	return tokens
}

// Since returns the store revisions by shard from which on the ledger is complete.
func (holder *Holder) Since() []uint64 {
	since := make([]uint64, len(holder.shards))
	for i, shard := range holder.shards {
		since[i] = shard.since
	}
	return since
}

// LoseAttempts dates the shard's ledger from the adopted layout on.
func (holder *Holder) LoseAttempts(index int) {
	if index < len(holder.shards) {
		holder.shards[index].since = holder.record.Revision()
	}
}

// Counts returns how many shards the member serves, waits for and hands over.
func (holder *Holder) Counts() (serving, acquiring, draining int) {
	for _, shard := range holder.shards {
		switch shard.state {
		case stateServing:
			serving++
		case stateAcquiring:
			acquiring++
		case stateDraining:
			draining++
		}
	}
	return serving, acquiring, draining
}
