package coordinator

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// maxAbsences bounds the daemons whose absence one write relies on: a transaction of the store has at most 32 entries.
const maxAbsences = 30

// absences collects the registrations on whose absence an allotment relies.
//
// The store checks them with the write. A daemon that registers again later sees the write before it grants keys, and one that has
// registered meanwhile makes the write fail, however late this daemon hears of it.
type absences struct {
	fleet *registrar.Fleet
	keys  []string
}

func newAbsences(fleet *registrar.Fleet) *absences { return &absences{fleet: fleet} }

// isGone reports whether a life can hold no key any more, and notes what that relies on.
func (absences *absences) isGone(now time.Time, id lagoonlanding.BackendID) bool {
	if id.IsZero() || !absences.fleet.IsGone(now, id) {
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
