package coordinator

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// maxAbsences bounds the absent registrations that one write can require: a store transaction has at most 32 entries.
const maxAbsences = 30

// absences collects the registrations that must be absent for an allotment to be valid.
//
// The store checks them together with the write. A daemon that registers again later sees the write before it assigns keys, and one that
// registered in the meantime makes the write fail, even if this daemon has not received that change yet.
type absences struct {
	fleet *registrar.Fleet
	keys  []string
}

func newAbsences(fleet *registrar.Fleet) *absences { return &absences{fleet: fleet} }

// isExpired reports whether a process can no longer own any key, and records the absence that this depends on.
func (absences *absences) isExpired(now time.Time, id lagoonlanding.BackendID) bool {
	if id.IsZero() || !absences.fleet.IsExpired(now, id) {
		return id.IsZero()
	}
	key := daemonPrefix + id.Daemon()
	if absences.fleet.IsRegistered(id.Daemon()) || slices.Contains(absences.keys, key) {
		return true
	}
	if len(absences.keys) >= maxAbsences {
		return false
	}
	absences.keys = append(absences.keys, key)
	return true
}
