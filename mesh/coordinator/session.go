package coordinator

import (
	"errors"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// Lease takes in a new lease for the registration.
func (coordinator *Coordinator) Lease(lease lagoonlanding.LeaseID) {
	coordinator.session.Begin(lease)
	coordinator.answered()
}

// verifyTerm is how old the proof of the registration may be before a daemon that the store does not answer reads it again, through others:
// a read has the price of ten renewals, and grants last for some seconds after the proof.
const verifyTerm = 2 * time.Second

// Kept takes in what became of a renewal that was sent at the time.
//
// One that another daemon carried out proves no registration: the store may have taken the entry away with the answers.
func (coordinator *Coordinator) Kept(sent time.Time, isDirect bool, err error) {
	switch {
	case err == nil && isDirect:
		coordinator.session.Keep(sent)
		coordinator.answered()
	case err == nil:
		coordinator.session.Doubt()
		coordinator.answered()
	case errors.Is(err, lagoonlanding.ErrLeaseEnded):
		coordinator.session.End()
	default:
		coordinator.session.Doubt()
	}
	coordinator.detoured = !isDirect
}

// MustVerify reports whether the registration must be read to be proved.
func (coordinator *Coordinator) MustVerify(now time.Time) bool {
	if !coordinator.session.IsRegistered() || coordinator.session.IsVerified() {
		return false
	}
	return !coordinator.detoured || !now.Before(coordinator.session.Proven().Add(verifyTerm))
}

// Session returns the daemon's registration.
func (coordinator *Coordinator) Session() registrar.Session { return coordinator.session }

// Verify takes in the revision of the daemon's own entry, zero for none, as the store told when it was asked at the given time.
//
// It counts only if the allotments are known as of the registration or later: an entry that stands unchanged was never absent, so nobody
// else took the keys since.
func (coordinator *Coordinator) Verify(asked time.Time, revision uint64) {
	if revision == 0 || coordinator.view >= coordinator.session.Revision() {
		coordinator.session.Verify(asked, revision)
	}
}

// verifyWritten counts the registration as proven once the view reaches it: every earlier change is known then.
func (coordinator *Coordinator) verifyWritten() {
	if coordinator.session.IsRegistered() && !coordinator.session.IsVerified() && coordinator.sentAt.After(coordinator.session.Proven()) &&
		coordinator.view >= coordinator.session.Revision() {
		coordinator.session.Verify(coordinator.sentAt, coordinator.session.Revision())
	}
}
