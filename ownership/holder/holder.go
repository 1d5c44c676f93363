package holder

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
)

// Config holds the configuration of a Holder.
type Config struct {
	// Self is the instance that holds the lease.
	Self lagoonlanding.InstanceID
	// Group is the group of the lease.
	Group lagoonlanding.GroupID
	// Placer computes the owners of the shards.
	Placer lagoonlanding.Placer
}

// Holder is a member's lease in one group.
type Holder struct {
	config    Config
	record    lagoonlanding.Record
	adoptedAt time.Time
	released  uint64
	promises  map[lagoonlanding.InstanceID]time.Time
	shards    []shard
	tally     *grouper.Tally
}

// New returns a lease without an adopted layout.
func New(config Config) *Holder {
	return &Holder{config: config, promises: make(map[lagoonlanding.InstanceID]time.Time)}
}

// Record returns the adopted record, the zero record if there is none.
func (holder *Holder) Record() lagoonlanding.Record { return holder.record }

// Version returns the adopted layout version, zero if there is none.
func (holder *Holder) Version() uint64 { return holder.record.Version() }

// Released returns the newest layout version for which this member has released all shards that it lost.
func (holder *Holder) Released() uint64 { return holder.released }

// Promised records a witness's promise that was requested at the given time.
func (holder *Holder) Promised(witness lagoonlanding.InstanceID, requestedAt time.Time) {
	deadline := lagoonlanding.HolderDeadline(requestedAt)
	if deadline.After(holder.promises[witness]) {
		holder.promises[witness] = deadline
	}
}

// Deadline returns when the lease expires: the latest time until which a majority of the witnesses have promised it.
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

// Rules are the service settings that determine when a shard may be taken over.
type Rules struct {
	checksFence bool
	maxRunTime  time.Duration
}

// NewRules returns the rules for a service whose backend servers reject outdated fencing tokens or not, with its maximum request run time.
func NewRules(checksFence bool, maxRunTime time.Duration) Rules {
	return Rules{checksFence: checksFence, maxRunTime: maxRunTime}
}

// servableAt returns when a shard may be served whose previous owner is cleared at the given time.
func (rules Rules) servableAt(now time.Time) time.Time {
	if rules.checksFence {
		return now
	}
	// Requests may still be running on the previous owner's backend server, whose clock may be slower than the local one.
	return now.Add(rules.maxRunTime + rules.maxRunTime*lagoonlanding.DriftPermille/1000)
}

// Cleared records a previous witness's reply; shards whose previous owner a majority has cleared may then be served.
func (holder *Holder) Cleared(now time.Time, witness lagoonlanding.InstanceID, reply lagoonlanding.ClearanceReply, rules Rules) {
	if holder.tally == nil || !holder.tally.Add(witness, reply) {
		return
	}
	for i := range holder.shards {
		shard := &holder.shards[i]
		if shard.state == stateAcquiring && shard.servableAt.IsZero() && holder.tally.IsCleared(shard.peer) {
			shard.servableAt = rules.servableAt(now)
		}
	}
	holder.Advance(now)
}

// Advance starts to serve the shards whose waiting time has passed, aborts overdue drains and reports whether anything changed.
func (holder *Holder) Advance(now time.Time) bool {
	changed := false
	for i := range holder.shards {
		shard := &holder.shards[i]
		if shard.state == stateAcquiring && !shard.servableAt.IsZero() && !now.Before(shard.servableAt) {
			shard.serve(holder.record.Version(), holder.record.Revision())
			changed = true
		}
		if shard.state == stateDraining && !now.Before(holder.adoptedAt.Add(lagoonlanding.DrainTerm)) {
			shard.drop()
			changed = true
		}
	}
	holder.updateReleased()
	return changed
}

// AcceptHandover takes over a shard from its previous owner and reports whether the deduplication records must be imported first.
func (holder *Holder) AcceptHandover(request lagoonlanding.HandoverRequest) (lagoonlanding.HandoverStatus, bool) {
	if request.Version() > holder.record.Version() {
		return lagoonlanding.HandoverBehind, false
	}
	index := request.Shard()
	if request.Version() < holder.record.Version() || index < 0 || index >= len(holder.shards) {
		return lagoonlanding.HandoverLate, false
	}
	shard := &holder.shards[index]
	if shard.state == stateServing && shard.handedOverBy == request.From() {
		// The reply to an earlier request was lost.
		return lagoonlanding.HandoverAccepted, false
	}
	if shard.state != stateAcquiring || shard.peer != request.From() {
		return lagoonlanding.HandoverLate, false
	}
	shard.serve(holder.record.Version(), request.Since())
	shard.handedOverBy = request.From()
	return lagoonlanding.HandoverAccepted, true
}

// HandedOver ends the drain of a shard and reports whether the shard was still draining.
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

// IsAcquiring reports whether any shard waits for its previous owner to be cleared.
func (holder *Holder) IsAcquiring() bool {
	return slices.ContainsFunc(holder.shards, func(shard shard) bool {
		return shard.state == stateAcquiring && shard.servableAt.IsZero()
	})
}

// IsEmpty reports whether the member neither serves nor moves any shard.
func (holder *Holder) IsEmpty() bool {
	return !slices.ContainsFunc(holder.shards, func(shard shard) bool { return shard.state != stateAbsent })
}

// Tokens returns the fencing token of each shard, zero for shards that are not served.
func (holder *Holder) Tokens() []uint64 {
	tokens := make([]uint64, len(holder.shards))
	for i, shard := range holder.shards {
		if shard.state == stateServing {
			tokens[i] = shard.token
		}
	}
	return tokens
}

// Since returns, for each shard, the store revision from which its deduplication records are complete.
func (holder *Holder) Since() []uint64 {
	since := make([]uint64, len(holder.shards))
	for i, shard := range holder.shards {
		since[i] = shard.since
	}
	return since
}

// ResetSince marks the shard's deduplication records as complete only from the adopted layout on.
func (holder *Holder) ResetSince(index int) {
	if index < len(holder.shards) {
		holder.shards[index].since = holder.record.Revision()
	}
}

// Counts returns the numbers of shards that the member serves, acquires and hands over.
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
