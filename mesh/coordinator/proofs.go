package coordinator

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// maxProofs bounds the registrations that one write can depend on: a store transaction has at most 32 entries.
const maxProofs = 30

// proofs collects the registrations, or their absence, which show that former owners can no longer own any key.
//
// The store checks them together with the write. A daemon that registers again later sees the write before it assigns keys, and one that
// registered in the meantime makes the write fail, even if this daemon has not received that change yet.
type proofs struct {
	fleet         *registrar.Fleet
	preconditions []lagoonlanding.Precondition
}

func newProofs(fleet *registrar.Fleet) *proofs { return &proofs{fleet: fleet} }

// isExpired reports whether a process can no longer own any key, and records the registration that this depends on.
func (proofs *proofs) isExpired(now time.Time, id lagoonlanding.BackendID) bool {
	if id.IsZero() || !proofs.fleet.IsExpired(now, id) {
		return id.IsZero()
	}
	if proofs.fleet.IsOutlived(id) {
		return true
	}
	precondition := lagoonlanding.NewPrecondition(daemonPrefix+id.Daemon(), proofs.fleet.Revision(id.Daemon()))
	if slices.Contains(proofs.preconditions, precondition) {
		return true
	}
	if len(proofs.preconditions) >= maxProofs {
		return false
	}
	proofs.preconditions = append(proofs.preconditions, precondition)
	return true
}
