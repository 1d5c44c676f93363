package coordinator

import (
	"errors"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// LeaseGranted records a new lease for the registration.
func (coordinator *Coordinator) LeaseGranted(lease lagoonlanding.LeaseID) {
	coordinator.session.Begin(lease)
	coordinator.storeAnswered()
}

// maxVerificationAge is how old the verification of the registration may get before a daemon that reaches the store only through other
// daemons reads it again: a read costs as much as ten renewals, and assignments stay valid for some seconds after the verification.
const maxVerificationAge = 2 * time.Second

// RenewalDone records the result of a lease renewal sent at the given time.
//
// A renewal through another daemon doesn't verify the registration: the store may have removed the entry while it did not answer.
func (coordinator *Coordinator) RenewalDone(sent time.Time, isDirect bool, err error) {
	switch {
	case err == nil && isDirect:
		coordinator.session.Renewed(sent)
		coordinator.storeAnswered()
	case err == nil:
		coordinator.session.SetUnverified()
		coordinator.storeAnswered()
	case errors.Is(err, lagoonlanding.ErrLeaseEnded):
		coordinator.session.End()
	default:
		coordinator.session.SetUnverified()
	}
	coordinator.renewedThroughPeer = !isDirect
}

// MustVerify reports whether the registration has to be read from the store to verify it.
func (coordinator *Coordinator) MustVerify(now time.Time) bool {
	if !coordinator.session.IsRegistered() || coordinator.session.IsVerified() {
		return false
	}
	return !coordinator.renewedThroughPeer || !now.Before(coordinator.session.VerifiedAt().Add(maxVerificationAge))
}

// Session returns the daemon's registration.
func (coordinator *Coordinator) Session() registrar.Session { return coordinator.session }

// Verify records the revision of the daemon's own entry, zero for none, from a read of the store sent at the given time.
//
// A revision is accepted only if the allotments are known as of the registration or later: an unchanged entry was never absent, so no
// other daemon has taken the keys since.
func (coordinator *Coordinator) Verify(sent time.Time, revision uint64) {
	if revision != 0 && lagoonlanding.EraOf(revision) < coordinator.era {
		// The answer was made before the store was restored, or by a daemon of an earlier release.
		return
	}
	if revision == 0 || coordinator.viewRevision >= coordinator.session.Revision() {
		coordinator.session.Verify(sent, revision)
	}
}

// verifyWritten marks the registration as verified once the view has reached its revision: every earlier change is known then.
func (coordinator *Coordinator) verifyWritten() {
	if coordinator.session.IsRegistered() && !coordinator.session.IsVerified() && coordinator.registrationSentAt.After(coordinator.session.VerifiedAt()) &&
		coordinator.viewRevision >= coordinator.session.Revision() {
		coordinator.session.Verify(coordinator.registrationSentAt, coordinator.session.Revision())
	}
}
