package coordinator

import (
	"errors"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

const (
	// rewriteTerm is how long operators and backend servers have to write again what a restore of the store has lost.
	rewriteTerm = 10 * time.Second
	// rewriteRankDelay is the additional delay per rank before a daemon writes an allotment again: a round trip to the store and the delay of a
	// relayed change.
	rewriteRankDelay = 300 * time.Millisecond
	// maxRewriteRank bounds the rank that counts, so that also the last daemon writes before the assignments of the earlier era expire.
	maxRewriteRank = 10
	// rewriteSpread is the time over which the daemons beyond that rank, and those that know a newer allotment, spread their writes.
	rewriteSpread = time.Second
)

// BeginEra records the era of the store. If it is later than known, the store was restored from a copy and may lack anything that was written since.
//
// Until the longest assignment of an earlier era has expired, the absence of an entry proves nothing.
func (coordinator *Coordinator) BeginEra(now time.Time, era uint64) {
	if era <= coordinator.era {
		return
	}
	coordinator.config.Log.WithField("era", era).WithField("known", coordinator.era).WithField("fleet-revision", coordinator.viewRevision).
		Info("Store is in a later era. Writing the daemon's entries again.")
	coordinator.era, coordinator.settledAt = era, coordinator.config.Fleet.AssignmentsExpireAt(now)
	coordinator.session.BeginEra()
	coordinator.writtenRegistration, coordinator.registrationSentAt = lagoonlanding.Backend{}, time.Time{}
	coordinator.departure.BeginEra(coordinator.isDraining())
	if coordinator.suspectsRevision != 0 {
		coordinator.suspectsPending, coordinator.suspectsRevision = true, 0
	}
	if coordinator.viewRevision > 0 {
		coordinator.config.Fleet.BeginRestore(now)
	}
	clear(coordinator.planNeededSince)
	coordinator.publish()
}

// eraOfResult returns the era that the result of a write shows, zero for none; it may have come through another daemon.
func eraOfResult(revision uint64, err error) uint64 {
	var conflict *lagoonlanding.ConflictError
	if errors.As(err, &conflict) {
		for _, entry := range conflict.Entries() {
			revision = max(revision, entry.Revision())
		}
	}
	return lagoonlanding.EraOf(revision)
}

// endRestore applies what was deferred until the entries that a restore has lost had been written again.
func (coordinator *Coordinator) endRestore(now time.Time) {
	for zone, at := range coordinator.restoreAt {
		if now.After(at) {
			coordinator.RestoreZone(zone)
		}
	}
	if now.After(coordinator.settledAt) && coordinator.config.Fleet.EndRestore(now) {
		coordinator.publish()
	}
}

// LoseZone records that a restore of the store has lost the entry of an evacuated zone. The evacuation ends unless the operator writes it again.
func (coordinator *Coordinator) LoseZone(now time.Time, zone string) {
	if !coordinator.isEvacuated(zone) {
		return
	}
	coordinator.restoreAt[zone] = now.Add(rewriteTerm)
	coordinator.config.Log.WithField("zone", zone).WithField("era", coordinator.era).Warn("Evacuation is missing in the restored store. Keeping it for now.")
}

// assign returns the range assignment of the backend server.
//
// Before the allotment is settled in the era of the store, other daemons may know another one, so the backend server only keeps keys that it has. An
// allotment of an earlier era that the store does not hold yet binds no other daemon once the assignments of that era have expired: under it, keys
// are assigned only for as long as the registration was verified in that era.
func (coordinator *Coordinator) assign(now time.Time, service string) lagoonlanding.RangeAssignment {
	stored := coordinator.allotments[service]
	allotment, era := stored.allotment, max(coordinator.era, lagoonlanding.EraOf(stored.revision))
	switch {
	case allotment == nil || allotment.IsSettled(era):
		return coordinator.config.Assigner.Assign(now, coordinator.session.VerifiedAt(), allotment)
	case allotment.Era() < era:
		return coordinator.config.Assigner.Renew(now, coordinator.session.EarlierVerifiedAt(), allotment)
	}
	return coordinator.config.Assigner.Renew(now, coordinator.session.VerifiedAt(), allotment)
}

// keepAllotment keeps a known allotment though its entry contains another one, which does not supersede it; the known one is written again.
func (coordinator *Coordinator) keepAllotment(known storedAllotment, other *allocator.Allotment, revision uint64) {
	known.revision, known.isReplaced, known.replacedVersion, known.replacedEra = revision, true, other.Version(), other.Era()
	coordinator.allotments[known.allotment.Service()] = known
	coordinator.config.Log.WithField("service", known.allotment.Service()).WithField("version", known.allotment.Version()).WithField("revision", revision).
		WithField("stored", other.Version()).WithField("base", other.Base()).Warn("Allotment in the store does not supersede the known one.")
}

// eraWrite returns the write that brings the known allotment into the era of the store, or settles it there, or when to call again. The zero time
// without a write means that the allotment is settled.
func (coordinator *Coordinator) eraWrite(now time.Time, service string, known storedAllotment, exists bool) (Write, time.Time, bool) {
	era := coordinator.era
	switch {
	case era == 0:
		return Write{}, time.Time{}, false
	case lagoonlanding.EraOf(coordinator.viewRevision) < era:
		// The entries of this era are not known yet.
		return Write{}, now.Add(planDelay), false
	case !exists && now.Before(coordinator.settledAt):
		return Write{}, coordinator.settledAt, false
	case !exists:
		return Write{}, time.Time{}, false
	case known.isReplaced || known.allotment.Era() < era:
		return coordinator.rewrite(now, service, known)
	case known.allotment.IsSettled(era):
		return Write{}, time.Time{}, false
	}
	due := coordinator.settledAt.Add(coordinator.rankDelay(service))
	if now.Before(due) {
		return Write{}, due, false
	}
	coordinator.config.Log.WithField("service", service).WithField("version", known.allotment.Version()).WithField("era", era).
		Info("Assignments of earlier eras have expired. Settling the allotment.")
	return coordinator.conditionalWrite(now, known.allotment.Settle(era), known.revision, nil)
}

// rewrite returns the write of a known allotment that the store does not hold, or when it is due.
func (coordinator *Coordinator) rewrite(now time.Time, service string, known storedAllotment) (Write, time.Time, bool) {
	since, isKnown := coordinator.planNeededSince[service]
	if !isKnown {
		since = now
		coordinator.planNeededSince[service] = since
	}
	due := since.Add(coordinator.rewriteDelay(service, known))
	if now.Before(due) {
		return Write{}, due, false
	}
	expected := known.revision
	if lagoonlanding.EraOf(expected) < coordinator.era {
		expected = 0
	}
	next := known.allotment.Rewrite(coordinator.era, known.replacedVersion)
	coordinator.config.Log.WithField("service", service).WithField("version", known.allotment.Version()).WithField("next", next.Version()).
		WithField("era", coordinator.era).WithField("replaced", known.replacedVersion).Warn("Writing the allotment again.")
	return coordinator.conditionalWrite(now, next, expected, nil)
}

// rewriteDelay returns how long a daemon waits before it writes a known allotment again.
//
// Load: every daemon knows an allotment that the store has lost, and one of them has to write it. If an entry of this era is based on an older one,
// few daemons know that, and they may be any.
func (coordinator *Coordinator) rewriteDelay(service string, known storedAllotment) time.Duration {
	if known.replacedEra == coordinator.era {
		return coordinator.spread(service)
	}
	return coordinator.rankDelay(service)
}

// rankDelay returns how long a daemon gives those before it to write the same.
func (coordinator *Coordinator) rankDelay(service string) time.Duration {
	rank := coordinator.rank()
	if rank >= maxRewriteRank {
		return maxRewriteRank*rewriteRankDelay + coordinator.spread(service)
	}
	return time.Duration(rank) * rewriteRankDelay
}

// spread returns a time that differs between daemons.
func (coordinator *Coordinator) spread(service string) time.Duration {
	return time.Duration(coordinator.eraHash(service) % uint64(rewriteSpread))
}
