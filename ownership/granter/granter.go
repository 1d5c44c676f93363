package granter

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Config holds the configuration of a Granter.
type Config struct {
	// Self is the instance that acts as the witness.
	Self lagoonlanding.InstanceID
	// Record is the newest known record of the group.
	Record lagoonlanding.Record
	// Now is the time at which the record was received.
	Now time.Time
}

// Granter is the state of one witness of one group; it is not persisted.
type Granter struct {
	self      lagoonlanding.InstanceID
	record    lagoonlanding.Record
	updatedAt time.Time
	promises  map[lagoonlanding.InstanceID]*promise
}

// promise is the witness's state of one member.
type promise struct {
	deadline time.Time
	// released is the newest layout version for which the member has released all shards that it lost.
	released uint64
	// cleared is the newest layout version for which the witness has confirmed that the member cannot serve requests under an older one.
	cleared uint64
	// set is the version of the published set that the member applied at its last renewal.
	set   uint64
	loads []lagoonlanding.ShardLoad
}

// New returns a witness without promises.
func New(config Config) *Granter {
	return &Granter{
		self: config.Self, record: config.Record, updatedAt: config.Now,
		promises: make(map[lagoonlanding.InstanceID]*promise),
	}
}

// Record returns the newest known record.
func (granter *Granter) Record() lagoonlanding.Record { return granter.record }

// IsWitness reports whether this instance is a witness of the current layout.
func (granter *Granter) IsWitness() bool { return granter.record.Current().HasWitness(granter.self) }

// Update applies the record if it is newer than the known one and reports whether it was.
func (granter *Granter) Update(now time.Time, record lagoonlanding.Record) bool {
	if record.Version() <= granter.record.Version() {
		return false
	}
	granter.record = record
	granter.updatedAt = now
	for id, promise := range granter.promises {
		_, current := record.Current().Member(id)
		_, prior := record.Prior().Member(id)
		if !current && !prior && now.After(promise.deadline) {
			delete(granter.promises, id)
		}
	}
	return true
}

// Renew handles a member's lease renewal; set is the version of the published set that the witness applies.
//
// A member whose promise has expired may have missed an accepted set, so it must apply the current set before it serves requests again.
func (granter *Granter) Renew(now time.Time, request lagoonlanding.RenewRequest, set uint64) lagoonlanding.RenewStatus {
	version := granter.record.Version()
	if request.Adopted() > version {
		return lagoonlanding.RenewBehind
	}
	if !granter.IsWitness() {
		return lagoonlanding.RenewNotWitness
	}
	if _, ok := granter.record.Current().Member(request.Member()); !ok {
		return lagoonlanding.RenewRemoved
	}
	promise := granter.promise(request.Member())
	if request.Released() < version && !granter.mayDrain(now, promise) {
		return lagoonlanding.RenewNotReleased
	}
	if now.After(promise.deadline) && request.Set() < set {
		return lagoonlanding.RenewSetOutdated
	}
	promise.deadline = lagoonlanding.WitnessDeadline(now)
	promise.released = max(promise.released, request.Released())
	promise.set = request.Set()
	if request.Loads() != nil {
		promise.loads = request.Loads()
	}
	return lagoonlanding.RenewGranted
}

// mayDrain reports whether a member that has not released the current layout may still get a promise.
func (granter *Granter) mayDrain(now time.Time, promise *promise) bool {
	return promise.cleared < granter.record.Version() && now.Before(granter.updatedAt.Add(lagoonlanding.DrainTerm))
}

func (granter *Granter) promise(member lagoonlanding.InstanceID) *promise {
	known, ok := granter.promises[member]
	if !ok {
		known = &promise{}
		granter.promises[member] = known
	}
	return known
}

// Clear returns the members of the previous layout that can no longer serve requests under it.
// The witness grants these members no further promises under an older layout.
func (granter *Granter) Clear(now time.Time, version uint64) lagoonlanding.ClearanceReply {
	current := granter.record.Version()
	if version > current {
		return lagoonlanding.NewClearanceReply(lagoonlanding.ClearanceBehind, current, nil)
	}
	var cleared []lagoonlanding.InstanceID
	for _, member := range granter.record.Prior().Members() {
		if granter.clear(now, member.ID()) {
			cleared = append(cleared, member.ID())
		}
	}
	return lagoonlanding.NewClearanceReply(lagoonlanding.ClearanceGranted, current, cleared)
}

func (granter *Granter) clear(now time.Time, member lagoonlanding.InstanceID) bool {
	promise := granter.promise(member)
	version := granter.record.Version()
	if promise.released < version && promise.cleared < version && !now.After(promise.deadline) {
		return false
	}
	promise.cleared = version
	return true
}

// Expired returns the members that have not renewed their lease within the promise term.
func (granter *Granter) Expired(now time.Time) map[lagoonlanding.InstanceID]bool {
	expired := make(map[lagoonlanding.InstanceID]bool)
	if !now.After(lagoonlanding.WitnessDeadline(granter.updatedAt)) {
		// The members of a new layout need time to send a first renewal to a new witness.
		return granter.addExpired(now, expired)
	}
	for _, member := range granter.record.Current().Members() {
		known, ok := granter.promises[member.ID()]
		if !ok || now.After(known.deadline) {
			expired[member.ID()] = true
		}
	}
	return expired
}

// addExpired adds the members to which a promise was granted that has expired.
func (granter *Granter) addExpired(now time.Time, expired map[lagoonlanding.InstanceID]bool) map[lagoonlanding.InstanceID]bool {
	for _, member := range granter.record.Current().Members() {
		known, ok := granter.promises[member.ID()]
		if ok && !known.deadline.IsZero() && now.After(known.deadline) {
			expired[member.ID()] = true
		}
	}
	return expired
}

// remainingTermAfterMiss is the remaining term of a promise when its member has missed a renewal.
const remainingTermAfterMiss = lagoonlanding.PromiseTerm - 2*lagoonlanding.RenewInterval

// MoreMayExpire reports whether another member has missed a renewal, as long as no promise has been expired for longer than remainingTermAfterMiss.
//
// The promises of a failed availability zone's members expire within one renewal interval, so one layout can remove all of them.
func (granter *Granter) MoreMayExpire(now time.Time, expired map[lagoonlanding.InstanceID]bool) bool {
	pending := false
	for _, member := range granter.record.Current().Members() {
		deadline := granter.Deadline(member.ID())
		if expired[member.ID()] {
			if now.After(deadline.Add(remainingTermAfterMiss)) {
				return false
			}
			continue
		}
		pending = pending || !deadline.IsZero() && now.After(deadline.Add(-remainingTermAfterMiss))
	}
	return pending
}

// Released returns the members that have released all shards that they lost in the current layout.
func (granter *Granter) Released() map[lagoonlanding.InstanceID]bool {
	released := make(map[lagoonlanding.InstanceID]bool)
	for id, promise := range granter.promises {
		if promise.released == granter.record.Version() {
			released[id] = true
		}
	}
	return released
}

// Deadline returns when the promise to the member expires, the zero time if there is none.
func (granter *Granter) Deadline(member lagoonlanding.InstanceID) time.Time {
	if known, ok := granter.promises[member]; ok {
		return known.deadline
	}
	return time.Time{}
}

// Set returns the version of the published set that the member applied at its last renewal.
func (granter *Granter) Set(member lagoonlanding.InstanceID) uint64 {
	if known, ok := granter.promises[member]; ok {
		return known.set
	}
	return 0
}

// Loads returns the busiest shards that the member reported at its last renewal.
func (granter *Granter) Loads(member lagoonlanding.InstanceID) []lagoonlanding.ShardLoad {
	if known, ok := granter.promises[member]; ok {
		return known.loads
	}
	return nil
}
