package granter

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Config holds what a Granter starts with.
type Config struct {
	// Self is the instance that witnesses.
	Self lagoonlanding.InstanceID
	// Record is the group's record.
	Record lagoonlanding.Record
	// Now is the time at which the record was learned.
	Now time.Time
}

// Granter is one witness of one group; it forgets everything with its process.
type Granter struct {
	self     lagoonlanding.InstanceID
	record   lagoonlanding.Record
	learned  time.Time
	promises map[lagoonlanding.InstanceID]*promise
}

// promise is what the witness remembers of one member.
type promise struct {
	deadline time.Time
	released uint64
	// cleared is the newest layout for which the witness has said that the member cannot serve an older one.
	cleared uint64
	set     uint64
	loads   []lagoonlanding.ShardLoad
}

// New returns a witness without promises.
func New(config Config) *Granter {
	return &Granter{
		self: config.Self, record: config.Record, learned: config.Now,
		promises: make(map[lagoonlanding.InstanceID]*promise),
	}
}

// Record returns the newest record that the witness knows.
func (granter *Granter) Record() lagoonlanding.Record { return granter.record }

// IsWitness reports whether the current layout names this instance.
func (granter *Granter) IsWitness() bool { return granter.record.Current().HasWitness(granter.self) }

// Learn takes a newer record and reports whether it was newer.
func (granter *Granter) Learn(now time.Time, record lagoonlanding.Record) bool {
	if record.Version() <= granter.record.Version() {
		return false
	}
	granter.record = record
	granter.learned = now
	for id, promise := range granter.promises {
		_, current := record.Current().Member(id)
		_, prior := record.Prior().Member(id)
		if !current && !prior && now.After(promise.deadline) {
			delete(granter.promises, id)
		}
	}
	return true
}

// Renew decides on a member's renewal; set is the version of the published set that the witness applies.
//
// A member whose promise has lapsed may have missed an accepted set, so it must catch up before it serves again.
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
	return promise.cleared < granter.record.Version() && now.Before(granter.learned.Add(lagoonlanding.DrainTerm))
}

func (granter *Granter) promise(member lagoonlanding.InstanceID) *promise {
	known, ok := granter.promises[member]
	if !ok {
		known = &promise{}
		granter.promises[member] = known
	}
	return known
}

// Clear lists the members of the prior layout that can no longer serve it, and never promises them anything older again.
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

// Lost returns the members that have not renewed for a promise term.
func (granter *Granter) Lost(now time.Time) map[lagoonlanding.InstanceID]bool {
	lost := make(map[lagoonlanding.InstanceID]bool)
	if !now.After(lagoonlanding.WitnessDeadline(granter.learned)) {
		// Members of a new layout and a new witness need time to find each other.
		return granter.lapsed(now, lost)
	}
	for _, member := range granter.record.Current().Members() {
		known, ok := granter.promises[member.ID()]
		if !ok || now.After(known.deadline) {
			lost[member.ID()] = true
		}
	}
	return lost
}

// lapsed adds the members whose promise was given and has lapsed.
func (granter *Granter) lapsed(now time.Time, lost map[lagoonlanding.InstanceID]bool) map[lagoonlanding.InstanceID]bool {
	for _, member := range granter.record.Current().Members() {
		known, ok := granter.promises[member.ID()]
		if ok && !known.deadline.IsZero() && now.After(known.deadline) {
			lost[member.ID()] = true
		}
	}
	return lost
}

// overdueTerm is what is left of the promise to a member that has missed a renewal.
const overdueTerm = lagoonlanding.PromiseTerm - 2*lagoonlanding.RenewInterval

// MayLoseMore reports whether another member has missed a renewal while the lost ones are so for less than a renewal's time.
//
// Members of one availability zone lapse within a renewal interval of one another and should go with one layout.
func (granter *Granter) MayLoseMore(now time.Time, lost map[lagoonlanding.InstanceID]bool) bool {
	overdue := false
	for _, member := range granter.record.Current().Members() {
		deadline := granter.Deadline(member.ID())
		if lost[member.ID()] {
			if now.After(deadline.Add(overdueTerm)) {
				return false
			}
			continue
		}
		overdue = overdue || !deadline.IsZero() && now.After(deadline.Add(-overdueTerm))
	}
	return overdue
}

// Released returns the members that have let go of all that the current layout took from them.
func (granter *Granter) Released() map[lagoonlanding.InstanceID]bool {
	released := make(map[lagoonlanding.InstanceID]bool)
	for id, promise := range granter.promises {
		if promise.released == granter.record.Version() {
			released[id] = true
		}
	}
	return released
}

// Deadline returns when the promise to the member lapses; it is zero if there is none.
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
