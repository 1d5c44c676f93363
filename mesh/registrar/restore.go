package registrar

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// BeginRestore records that the store was restored from a copy: registrations may be missing or older than known until their daemons have written
// them again. Until EndRestore a missing daemon still counts as registered, and a process as not ended. Assignments of missing daemons expire
// a verification term and a margin from now on at the earliest.
func (fleet *Fleet) BeginRestore(now time.Time) {
	fleet.restoring = true
	if fleet.IsComplete() {
		fleet.SetComplete(now)
	}
}

// EndRestore records that every daemon had the time to register again, and reports whether there was a restore.
func (fleet *Fleet) EndRestore(now time.Time) bool {
	if !fleet.restoring {
		return false
	}
	fleet.restoring = false
	for _, known := range fleet.daemons {
		if !known.restored.ID().IsZero() {
			known.backend, known.restored, known.processSince = known.restored, lagoonlanding.Backend{}, now
		}
	}
	return true
}

// isEarlierProcess reports whether a process of a daemon's backend server, or none, is an earlier one than another.
func isEarlierProcess(id, other lagoonlanding.BackendID) bool {
	return other.Name() != "" && (id.Name() == "" || id.StartedMilli() < other.StartedMilli())
}
