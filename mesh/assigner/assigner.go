package assigner

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

// Config holds the settings of an Assigner.
type Config struct {
	// Daemon is the name of the daemon.
	Daemon string
	// StartedAt is when the daemon started; an earlier process of it may have assigned keys until then.
	StartedAt time.Time
	// VerificationTerm is how long the daemon may assign keys after its registration was last verified.
	VerificationTerm time.Duration
	// MaxAssignmentTerm bounds how long a backend server owns keys after one announcement.
	MaxAssignmentTerm time.Duration
	// MaxClockDrift is by how much the clock of a backend server may run slow, as a fraction.
	MaxClockDrift float64
	// FailAfter is how long a backend server may send no announcement before it counts as failed.
	FailAfter time.Duration
}

// minAssignmentTerm is the shortest term that is assigned: announcements arrive about once a second.
const minAssignmentTerm = 100 * time.Millisecond

// Assigner tracks the daemon's backend server and the ranges assigned to it.
//
// No assignment outlasts the daemon's own right to assign keys, so that other backend servers may take over the keys once that has expired.
type Assigner struct {
	config Config
	latest lagoonlanding.Announcement
	// known means that an announcement has arrived.
	known bool
	// ended means that the last known process of the backend server has ended.
	ended bool
	// latestExpiry is when the last assignment has certainly expired, even by the slowest clock of the backend server.
	latestExpiry time.Time
	// expiresAt is when the last assignment expires by an exact clock.
	expiresAt time.Time
	// seenAt is when the newest announcement arrived.
	seenAt time.Time
	// released are the ranges that the backend server has released, with their handovers.
	released []lagoonlanding.HeldRange
	// assigned are the ranges of the last assignment.
	assigned []lagoonlanding.HeldRange
}

// New returns an Assigner without a backend server.
func New(config Config) *Assigner { return &Assigner{config: config} }

// ID returns the current process of the backend server, or an ID with only the daemon's name if there is none.
func (assigner *Assigner) ID() lagoonlanding.BackendID {
	if !assigner.known || assigner.ended {
		return lagoonlanding.NewBackendID(assigner.config.Daemon, "", 0)
	}
	return assigner.idOf(assigner.latest)
}

// idOf returns the process that sent an announcement.
func (assigner *Assigner) idOf(announcement lagoonlanding.Announcement) lagoonlanding.BackendID {
	return lagoonlanding.NewBackendID(assigner.config.Daemon, announcement.Name(), announcement.StartedMilli())
}

// Latest returns the newest announcement; it returns false if there is no backend server.
func (assigner *Assigner) Latest() (lagoonlanding.Announcement, bool) {
	return assigner.latest, assigner.known && !assigner.ended
}

// Announce processes an announcement; it returns false if the announcement is outdated.
func (assigner *Assigner) Announce(now time.Time, announcement lagoonlanding.Announcement) bool {
	if assigner.known {
		if announcement.StartedMilli() < assigner.latest.StartedMilli() {
			return false
		}
		isSameProcess := assigner.idOf(announcement) == assigner.idOf(assigner.latest)
		if isSameProcess && (announcement.Sequence() <= assigner.latest.Sequence() || assigner.ended) {
			return false
		}
		if !isSameProcess {
			assigner.reset()
		}
	}
	if !assigner.known {
		// The daemon may have assigned keys until just before its restart.
		assigner.latestExpiry = now.Add(assigner.withClockDrift(assigner.config.MaxAssignmentTerm))
	}
	assigner.known, assigner.ended = true, false
	assigner.latest, assigner.seenAt = announcement, now
	assigner.released = append(assigner.released, announcement.Released()...)
	return true
}

// reset discards the state of the previous process, which ended before the next one started.
func (assigner *Assigner) reset() {
	assigner.latestExpiry, assigner.expiresAt, assigner.released, assigner.assigned = time.Time{}, time.Time{}, nil, nil
}

// End records that the process of the backend server has ended; it returns false if that is not the current process.
func (assigner *Assigner) End(id lagoonlanding.BackendID) bool {
	if assigner.ID() != id || !assigner.known {
		return false
	}
	assigner.ended = true
	assigner.reset()
	return true
}

// IsSilent reports whether the backend server has sent no announcement for so long that others should take over its keys.
func (assigner *Assigner) IsSilent(now time.Time) bool {
	return assigner.known && !assigner.ended && now.After(assigner.seenAt.Add(assigner.config.FailAfter))
}

// FailsAt returns when the backend server counts as failed unless it sends another announcement.
func (assigner *Assigner) FailsAt() time.Time { return assigner.seenAt.Add(assigner.config.FailAfter) }

// LatestExpiry returns when the last assignment has certainly expired.
func (assigner *Assigner) LatestExpiry() time.Time { return assigner.latestExpiry }

// Assign returns the assignment of the backend server's ranges in the allotment; verifiedAt is when the daemon's registration was last
// verified.
func (assigner *Assigner) Assign(now, verifiedAt time.Time, allotment *allocator.Allotment) lagoonlanding.RangeAssignment {
	if allotment == nil {
		return lagoonlanding.RangeAssignment{}
	}
	term := min(assigner.config.MaxAssignmentTerm, verifiedAt.Add(assigner.config.VerificationTerm).Sub(now))
	term = time.Duration(float64(term) / (1 + assigner.config.MaxClockDrift))
	if term < minAssignmentTerm {
		return lagoonlanding.RangeAssignment{}
	}
	ranges := allotment.RangesOf(assigner.ID(), func(first, last int) bool { return covers(assigner.latest.Held(), first, last) })
	assigner.assigned = ranges
	assigner.expiresAt = now.Add(term)
	if len(ranges) > 0 {
		assigner.latestExpiry = now.Add(assigner.withClockDrift(term))
	}
	return lagoonlanding.NewRangeAssignment(ranges, assigner.expiresAt)
}

// Renew returns an assignment as Assign does, but only of keys in the assignment that the backend server has now: no key passes from another
// backend server to this one. It returns none if there is no current assignment, so that the backend server keeps its keys until they expire.
func (assigner *Assigner) Renew(now, verifiedAt time.Time, allotment *allocator.Allotment) lagoonlanding.RangeAssignment {
	if allotment == nil || !now.Before(assigner.expiresAt) {
		return lagoonlanding.RangeAssignment{}
	}
	return assigner.Assign(now, verifiedAt, allotment.Within(func(first, last int) bool { return covers(assigner.assigned, first, last) }))
}

// withClockDrift returns how long a term lasts at most by the clock of the backend server.
func (assigner *Assigner) withClockDrift(term time.Duration) time.Duration {
	return time.Duration(float64(term) * (1 + assigner.config.MaxClockDrift))
}

// HasReleased reports whether the backend server owns no key of the range, and returns the handover for the next owner.
//
// The last announcement was sent after the previous assignment had been applied, so a range that neither contains is released. That doesn't hold
// for assignments of an earlier process of the daemon: the announcement may be a delayed one from before them.
func (assigner *Assigner) HasReleased(now time.Time, first, last int) (handover string, ok bool) {
	if !now.After(assigner.config.StartedAt.Add(assigner.withClockDrift(assigner.config.MaxAssignmentTerm))) {
		return "", false
	}
	if !assigner.known || assigner.ended || now.After(assigner.latestExpiry) {
		return "", true
	}
	if overlaps(assigner.latest.Held(), first, last) || overlaps(assigner.assigned, first, last) {
		return "", false
	}
	for _, heldrange := range assigner.released {
		if heldrange.First() <= first && last <= heldrange.Last() {
			return heldrange.Handover(), true
		}
	}
	return "", true
}

// Ownership returns the keys that the backend server serves: those assigned to it, or before the first assignment those that it reports.
//
// After a restart of the daemon the backend server goes on serving its keys, and refuses tasks for keys that it no longer owns.
func (assigner *Assigner) Ownership() *Ownership {
	switch {
	case !assigner.known || assigner.ended:
		return NewOwnership(nil, time.Time{})
	case assigner.expiresAt.IsZero():
		return NewOwnership(assigner.latest.Held(), assigner.FailsAt())
	}
	return NewOwnership(assigner.assigned, assigner.expiresAt)
}

// overlaps reports whether any of the ranges contains a key from first to last.
func overlaps(ranges []lagoonlanding.HeldRange, first, last int) bool {
	for _, heldrange := range ranges {
		if heldrange.First() <= last && first <= heldrange.Last() {
			return true
		}
	}
	return false
}

// covers reports whether the ranges, in key order, contain every key from first to last.
func covers(ranges []lagoonlanding.HeldRange, first, last int) bool {
	next := first
	for _, heldrange := range ranges {
		if heldrange.First() <= next && next <= heldrange.Last() {
			next = heldrange.Last() + 1
		}
	}
	return next > last
}

// HasEnded reports whether the last known process of the backend server has ended.
func (assigner *Assigner) HasEnded() bool { return assigner.ended }
