package assigner

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

// Config holds the settings of a Grantor.
type Config struct {
	// Daemon is the name of the daemon.
	Daemon string
	// GrantTerm is how long the daemon may grant keys after its registration was last verified.
	GrantTerm time.Duration
	// MaxAssignmentTerm bounds how long a backend server owns keys after one announcement.
	MaxAssignmentTerm time.Duration
	// MaxClockDrift is by how much the clock of a backend server may run slow, as a fraction.
	MaxClockDrift float64
	// SilentAfter is how long a backend server may send no announcement before it counts as failed.
	SilentAfter time.Duration
}

// minAssignmentTerm is the shortest term that is assigned: announcements arrive about once a second.
const minAssignmentTerm = 100 * time.Millisecond

// Grantor tracks the daemon's backend server and the ranges assigned to it.
//
// No grant outlasts the daemon's own right to grant, so that other backend servers may take over the keys once that has expired.
type Grantor struct {
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
	// latestAt is when the newest announcement arrived.
	latestAt time.Time
	// released are the ranges that the backend server has released, with their handovers.
	released []lagoonlanding.HeldRange
	// assigned are the ranges of the last assignment.
	assigned []lagoonlanding.HeldRange
}

// New returns a Grantor without a backend server.
func New(config Config) *Grantor { return &Grantor{config: config} }

// ID returns the current process of the backend server, or an ID with only the daemon's name if there is none.
func (grantor *Grantor) ID() lagoonlanding.BackendID {
	if !grantor.known || grantor.ended {
		return lagoonlanding.NewBackendID(grantor.config.Daemon, "", 0)
	}
	return grantor.idOf(grantor.latest)
}

// idOf returns the process that sent an announcement.
func (grantor *Grantor) idOf(announcement lagoonlanding.Announcement) lagoonlanding.BackendID {
	return lagoonlanding.NewBackendID(grantor.config.Daemon, announcement.Name(), announcement.StartedMilli())
}

// Latest returns the newest announcement; it returns false if there is no backend server.
func (grantor *Grantor) Latest() (lagoonlanding.Announcement, bool) {
	return grantor.latest, grantor.known && !grantor.ended
}

// Announce processes an announcement; it returns false if the announcement is outdated.
func (grantor *Grantor) Announce(now time.Time, announcement lagoonlanding.Announcement) bool {
	if grantor.known {
		if announcement.StartedMilli() < grantor.latest.StartedMilli() {
			return false
		}
		isSameProcess := grantor.idOf(announcement) == grantor.idOf(grantor.latest)
		if isSameProcess && (announcement.Sequence() <= grantor.latest.Sequence() || grantor.ended) {
			return false
		}
		if !isSameProcess {
			grantor.reset()
		}
	}
	if !grantor.known {
		// The daemon may have granted keys until just before its restart.
		grantor.latestExpiry = now.Add(grantor.withClockDrift(grantor.config.MaxAssignmentTerm))
	}
	grantor.known, grantor.ended = true, false
	grantor.latest, grantor.latestAt = announcement, now
	grantor.released = append(grantor.released, announcement.Released()...)
	return true
}

// reset discards the state of the previous process, which ended before the next one started.
func (grantor *Grantor) reset() {
	grantor.latestExpiry, grantor.expiresAt, grantor.released, grantor.assigned = time.Time{}, time.Time{}, nil, nil
}

// End records that the process of the backend server has ended; it returns false if that is not the current process.
func (grantor *Grantor) End(id lagoonlanding.BackendID) bool {
	if grantor.ID() != id || !grantor.known {
		return false
	}
	grantor.ended = true
	grantor.reset()
	return true
}

// IsSilent reports whether the backend server has sent no announcement for so long that others should take over its keys.
func (grantor *Grantor) IsSilent(now time.Time) bool {
	return grantor.known && !grantor.ended && now.After(grantor.latestAt.Add(grantor.config.SilentAfter))
}

// SilentAt returns when the backend server counts as failed unless it sends another announcement.
func (grantor *Grantor) SilentAt() time.Time { return grantor.latestAt.Add(grantor.config.SilentAfter) }

// LatestExpiry returns when the last assignment has certainly expired.
func (grantor *Grantor) LatestExpiry() time.Time { return grantor.latestExpiry }

// Assign returns the assignment of the backend server's ranges in the allotment; verifiedAt is when the daemon's registration was last
// verified.
func (grantor *Grantor) Assign(now, verifiedAt time.Time, allotment *allocator.Allotment) lagoonlanding.RangeAssignment {
	if allotment == nil {
		return lagoonlanding.RangeAssignment{}
	}
	term := min(grantor.config.MaxAssignmentTerm, verifiedAt.Add(grantor.config.GrantTerm).Sub(now))
	term = time.Duration(float64(term) / (1 + grantor.config.MaxClockDrift))
	if term < minAssignmentTerm {
		return lagoonlanding.RangeAssignment{}
	}
	ranges := allotment.RangesOf(grantor.ID(), func(first, last int) bool { return covers(grantor.latest.Held(), first, last) })
	grantor.assigned = ranges
	grantor.expiresAt = now.Add(term)
	if len(ranges) > 0 {
		grantor.latestExpiry = now.Add(grantor.withClockDrift(term))
	}
	return lagoonlanding.NewRangeAssignment(ranges, grantor.expiresAt)
}

// withClockDrift returns how long a term lasts at most by the clock of the backend server.
func (grantor *Grantor) withClockDrift(term time.Duration) time.Duration {
	return time.Duration(float64(term) * (1 + grantor.config.MaxClockDrift))
}

// HasReleased reports whether the backend server owns no key of the range, and returns the handover for the next owner.
//
// The last announcement was sent after the previous assignment had been applied, so a range that neither contains is released.
func (grantor *Grantor) HasReleased(now time.Time, first, last int) (handover string, ok bool) {
	if !grantor.known || grantor.ended || now.After(grantor.latestExpiry) {
		return "", true
	}
	if overlaps(grantor.latest.Held(), first, last) || overlaps(grantor.assigned, first, last) {
		return "", false
	}
	for _, heldrange := range grantor.released {
		if heldrange.First() <= first && last <= heldrange.Last() {
			return heldrange.Handover(), true
		}
	}
	return "", true
}

// Ownership returns the keys that the backend server serves: those assigned to it, or before the first assignment those that it reports.
//
// After a restart of the daemon the backend server goes on serving its keys, and refuses tasks for keys that it no longer owns.
func (grantor *Grantor) Ownership() *Ownership {
	switch {
	case !grantor.known || grantor.ended:
		return NewOwnership(nil, time.Time{})
	case grantor.expiresAt.IsZero():
		return NewOwnership(grantor.latest.Held(), grantor.SilentAt())
	}
	return NewOwnership(grantor.assigned, grantor.expiresAt)
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
func (grantor *Grantor) HasEnded() bool { return grantor.ended }
