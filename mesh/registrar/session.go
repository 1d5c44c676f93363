package registrar

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Session is the state of the daemon's own registration: its lease, its revision and when it was last verified to be in the store.
//
// After a renewal without an answer the registration may have disappeared, so it has to be read again before it counts as verified.
type Session struct {
	lease lagoonlanding.LeaseID
	// revision is the store revision of the daemon's entry; zero while there is none.
	revision uint64
	// stored is the revision that the entry was last seen to have in the store, zero for none; the next write of the entry depends on it.
	stored     uint64
	verified   bool
	verifiedAt time.Time
	// earlierVerifiedAt is when the registration was last certainly in the store in an earlier era of it, zero for never.
	earlierVerifiedAt time.Time
}

// Lease returns the lease of the registration, zero if there is none.
func (session *Session) Lease() lagoonlanding.LeaseID { return session.lease }

// IsRegistered reports whether the entry was written under the current lease.
func (session *Session) IsRegistered() bool { return session.lease != 0 && session.revision != 0 }

// IsVerified reports whether a successful renewal is enough to verify the registration.
func (session *Session) IsVerified() bool { return session.verified }

// VerifiedAt returns when the registration was last certainly in the store, zero for never.
func (session *Session) VerifiedAt() time.Time { return session.verifiedAt }

// Revision returns the store revision of the entry, zero while there is none.
func (session *Session) Revision() uint64 { return session.revision }

// Stored returns the revision that the entry was last seen to have in the store, zero for none. It may be outdated: a write that depends on it
// then fails and shows the current one.
func (session *Session) Stored() uint64 { return session.stored }

// Observe records the revision of the entry in the store, zero for none, which may have been written by an earlier process of the daemon or
// be an earlier write of this one.
func (session *Session) Observe(revision uint64) { session.stored = revision }

// Unregister records that the entry was removed or replaced, though the lease may still exist.
func (session *Session) Unregister() { session.revision, session.verified = 0, false }

// Begin records a new lease, under which nothing is registered yet.
func (session *Session) Begin(lease lagoonlanding.LeaseID) {
	session.lease, session.revision, session.verified = lease, 0, false
}

// Register records the revision at which the entry was written.
func (session *Session) Register(revision uint64) {
	session.revision, session.stored = revision, revision
}

// Renewed records that a renewal sent at the given time succeeded.
func (session *Session) Renewed(sent time.Time) {
	if session.verified && sent.After(session.verifiedAt) {
		session.verifiedAt = sent
	}
}

// SetUnverified records a renewal that doesn't verify the registration, such as one without an answer.
func (session *Session) SetUnverified() { session.verified = false }

// End records that the lease has ended, and the entry with it.
func (session *Session) End() {
	*session = Session{verifiedAt: session.verifiedAt, earlierVerifiedAt: session.earlierVerifiedAt}
}

// BeginEra records that the store was restored from a copy: it may lack the lease and the entry, or issue the lease to another daemon again.
func (session *Session) BeginEra() {
	*session = Session{verifiedAt: session.verifiedAt, earlierVerifiedAt: session.verifiedAt}
}

// EarlierVerifiedAt returns when the registration was last certainly in the store in an earlier era of it, zero for never.
func (session *Session) EarlierVerifiedAt() time.Time { return session.earlierVerifiedAt }

// Verify records the revision of the daemon's entry, zero for none, from a read that was sent at the given time.
func (session *Session) Verify(sent time.Time, revision uint64) {
	if !session.IsRegistered() {
		return
	}
	if revision != session.revision {
		session.Observe(revision)
		session.Unregister()
		return
	}
	session.verified = true
	if sent.After(session.verifiedAt) {
		session.verifiedAt = sent
	}
}
