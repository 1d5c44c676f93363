package grantor

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

// Config holds what a Grantor is built from.
type Config struct {
	// Daemon is the name of the daemon.
	Daemon string
	// GrantTerm is how long the daemon may go on granting after the last proof that it is registered.
	GrantTerm time.Duration
	// LongestHold bounds how long a backend server holds keys after one announcement.
	LongestHold time.Duration
	// SlowClock is by how much the clock of a backend server may run slow, as a share.
	SlowClock float64
	// SilentAfter is how long a backend server may say nothing before it counts as lost.
	SilentAfter time.Duration
}

// shortestHold is the least term that is worth telling: announcements come about once a second.
const shortestHold = 100 * time.Millisecond

// Grantor knows the backend server beside the daemon and what it was told to hold.
//
// No grant outlasts the daemon's own right to grant, so that others may take the keys once that has run out.
type Grantor struct {
	config Config
	latest lagoonlanding.Announcement
	known  bool
	ended  bool
	// lapses is when the backend server holds nothing any more if it is told nothing else.
	lapses time.Time
	// ends is when the backend server lets go by a clock that runs as it should.
	ends time.Time
	// heard is when the last announcement came.
	heard time.Time
	// released are handovers that no allotment carries yet.
	released []lagoonlanding.HeldRange
	// ordered is what the last order said.
	ordered []lagoonlanding.HeldRange
}

// New returns a grantor that knows no backend server.
func New(config Config) *Grantor { return &Grantor{config: config} }

// ID returns the life of the backend server, or one with only the daemon's name if there is none.
func (grantor *Grantor) ID() lagoonlanding.BackendID {
	if !grantor.known || grantor.ended {
		return lagoonlanding.NewBackendID(grantor.config.Daemon, "", 0)
	}
	return grantor.lifeOf(grantor.latest)
}

func (grantor *Grantor) lifeOf(announcement lagoonlanding.Announcement) lagoonlanding.BackendID {
	return lagoonlanding.NewBackendID(grantor.config.Daemon, announcement.Name(), announcement.StartedMilli())
}

// Latest returns the newest announcement; it is false if there is no backend server.
func (grantor *Grantor) Latest() (lagoonlanding.Announcement, bool) {
	return grantor.latest, grantor.known && !grantor.ended
}

// Announce takes in an announcement; it is false for one that is older than what is known.
func (grantor *Grantor) Announce(now time.Time, announcement lagoonlanding.Announcement) bool {
	if grantor.known {
		if announcement.StartedMilli() < grantor.latest.StartedMilli() {
			return false
		}
		isSameLife := grantor.lifeOf(announcement) == grantor.lifeOf(grantor.latest)
		if isSameLife && (announcement.Sequence() <= grantor.latest.Sequence() || grantor.ended) {
			return false
		}
		if !isSameLife {
			grantor.forget()
		}
	}
	if !grantor.known {
		// An earlier run of the daemon may have granted keys until just now.
		grantor.lapses = now.Add(grantor.slowed(grantor.config.LongestHold))
	}
	grantor.known, grantor.ended = true, false
	grantor.latest, grantor.heard = announcement, now
	grantor.released = append(grantor.released, announcement.Released()...)
	return true
}

// forget drops what was known of an earlier life, which ended when the next one began.
func (grantor *Grantor) forget() {
	grantor.lapses, grantor.ends, grantor.released, grantor.ordered = time.Time{}, time.Time{}, nil, nil
}

// End notes that the backend server's process has ended.
func (grantor *Grantor) End(id lagoonlanding.BackendID) bool {
	if grantor.ID() != id || !grantor.known {
		return false
	}
	grantor.ended = true
	grantor.forget()
	return true
}

// IsSilent reports whether the backend server has said nothing for long, so that others should take its keys.
func (grantor *Grantor) IsSilent(now time.Time) bool {
	return grantor.known && !grantor.ended && now.After(grantor.heard.Add(grantor.config.SilentAfter))
}

// SilentAt returns when the backend server counts as lost if it says nothing.
func (grantor *Grantor) SilentAt() time.Time { return grantor.heard.Add(grantor.config.SilentAfter) }

// Lapses returns when the backend server holds nothing any more if it is told nothing else.
func (grantor *Grantor) Lapses() time.Time { return grantor.lapses }

// Order returns what the backend server is to hold by the allotment; proven is when the daemon last was surely registered.
func (grantor *Grantor) Order(now, proven time.Time, allotment *allocator.Allotment) lagoonlanding.RangeAssignment {
	if allotment == nil {
		return lagoonlanding.RangeAssignment{}
	}
	term := min(grantor.config.LongestHold, proven.Add(grantor.config.GrantTerm).Sub(now))
	term = time.Duration(float64(term) / (1 + grantor.config.SlowClock))
	if term < shortestHold {
		return lagoonlanding.RangeAssignment{}
	}
	ranges := allotment.RangesOf(grantor.ID(), func(first, last int) bool { return covers(grantor.latest.Held(), first, last) })
	grantor.ordered = ranges
	grantor.ends = now.Add(term)
	if len(ranges) > 0 {
		grantor.lapses = now.Add(grantor.slowed(term))
	}
	return lagoonlanding.NewRangeAssignment(ranges, grantor.ends)
}

// slowed returns how long a term lasts at most by the clock of a backend server.
func (grantor *Grantor) slowed(term time.Duration) time.Duration {
	return time.Duration(float64(term) * (1 + grantor.config.SlowClock))
}

// HasLetGo reports whether the backend server holds no key of the range, and with which proof for the next holder.
//
// The last announcement was sent after the order before it was taken, so what it leaves out and no order names is free.
func (grantor *Grantor) HasLetGo(now time.Time, first, last int) (handover string, ok bool) {
	if !grantor.known || grantor.ended || now.After(grantor.lapses) {
		return "", true
	}
	if overlaps(grantor.latest.Held(), first, last) || overlaps(grantor.ordered, first, last) {
		return "", false
	}
	for _, released := range grantor.released {
		if released.First() <= first && last <= released.Last() {
			return released.Handover(), true
		}
	}
	return "", true
}

// Holding returns what the backend server may be asked for: what it was told to hold, or before any order what it says it holds.
//
// After a restart of the daemon it goes on with the keys of the run before, and refuses a task for any that it no longer holds.
func (grantor *Grantor) Holding() *Holding {
	switch {
	case !grantor.known || grantor.ended:
		return NewHolding(nil, time.Time{})
	case grantor.ends.IsZero():
		return NewHolding(grantor.latest.Held(), grantor.SilentAt())
	}
	return NewHolding(grantor.ordered, grantor.ends)
}

func overlaps(ranges []lagoonlanding.HeldRange, first, last int) bool {
	for _, held := range ranges {
		if held.First() <= last && first <= held.Last() {
			return true
		}
	}
	return false
}

// covers reports whether the ranges, in order, hold every key from first to last.
func covers(ranges []lagoonlanding.HeldRange, first, last int) bool {
	next := first
	for _, held := range ranges {
		if held.First() <= next && next <= held.Last() {
			next = held.Last() + 1
		}
	}
	return next > last
}

// HasEnded reports whether the last known life of the backend server has ended.
func (grantor *Grantor) HasEnded() bool { return grantor.ended }
