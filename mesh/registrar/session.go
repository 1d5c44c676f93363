package registrar

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Session is the daemon's own registration and when it was last proved to be in the store.
//
// After any call without an answer the registration may have gone and come to nothing, so it must be seen again before it counts.
type Session struct {
	lease lagoonlanding.LeaseID
	// revision is that of the daemon's entry; zero while there is none.
	revision uint64
	verified bool
	proven   time.Time
}

// Lease returns the lease of the registration, zero if there is none.
func (session *Session) Lease() lagoonlanding.LeaseID { return session.lease }

// IsRegistered reports whether the entry was written under the present lease.
func (session *Session) IsRegistered() bool { return session.lease != 0 && session.revision != 0 }

// IsVerified reports whether renewals prove the registration.
func (session *Session) IsVerified() bool { return session.verified }

// Proven returns when the registration was last surely in the store, zero for never.
func (session *Session) Proven() time.Time { return session.proven }

// Revision returns the store's revision of the entry, zero while there is none.
func (session *Session) Revision() uint64 { return session.revision }

// Unregister notes that the entry is gone, though the lease may stand.
func (session *Session) Unregister() { session.revision, session.verified = 0, false }

// Begin notes a new lease, under which nothing is registered yet.
func (session *Session) Begin(lease lagoonlanding.LeaseID) {
	session.lease, session.revision, session.verified = lease, 0, false
}

// Register notes that the entry was written by a call that was sent at the time.
func (session *Session) Register(revision uint64) { session.revision = revision }

// Keep notes that a renewal which was sent at the time succeeded.
func (session *Session) Keep(sent time.Time) {
	if session.verified && sent.After(session.proven) {
		session.proven = sent
	}
}

// Doubt notes a renewal without an answer.
func (session *Session) Doubt() { session.verified = false }

// End notes that the lease, or the entry under it, is gone.
func (session *Session) End() { session.lease, session.revision, session.verified = 0, 0, false }

// Verify notes what a complete view that was read after the time holds under the daemon's key.
func (session *Session) Verify(read time.Time, revision uint64) {
	if !session.IsRegistered() {
		return
	}
	if revision != session.revision {
		session.revision, session.verified = 0, false
		return
	}
	session.verified = true
	if read.After(session.proven) {
		session.proven = read
	}
}
