package lagoonlanding

import (
	"context"
	"errors"
	"time"
)

// Errors of a MetadataStore besides those of a Store.
var (
	// ErrCompacted says that the store no longer has the changes after the asked revision.
	ErrCompacted = errors.New("the store has dropped these changes")
	// ErrLeaseEnded says that the store knows no such lease.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrOutOfTouch says that a daemon has no news to pass on, since it hears nothing from the store itself.
	ErrOutOfTouch = errors.New("the daemon hears nothing from the store")
)

// ConflictError is an ErrConflict that tells what stands in the store instead.
type ConflictError struct {
	current []Entry
}

// NewConflictError returns the conflict with the entries that stand in the store.
func NewConflictError(current []Entry) *ConflictError { return &ConflictError{current: current} }

// Error says that the entry has another revision.
func (conflicterror *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (conflicterror *ConflictError) Unwrap() error { return ErrConflict }

// Current returns the entry that stands under a key; it is false if there is none, or none was told.
func (conflicterror *ConflictError) Current(key string) (Entry, bool) {
	for _, entry := range conflicterror.current {
		if entry.Key() == key && entry.Revision() > 0 {
			return entry, true
		}
	}
	return Entry{}, false
}

// LeaseID names a lease of the store; zero stands for none.
type LeaseID int64

// Change is one write or removal in the store.
type Change struct {
	entry   Entry
	removed bool
}

// NewChange returns the write of an entry, or its removal.
func NewChange(entry Entry, removed bool) Change { return Change{entry: entry, removed: removed} }

// Entry returns the entry as it was written; a removed one has no value.
func (change Change) Entry() Entry { return change.entry }

// IsRemoved reports whether the entry is gone.
func (change Change) IsRemoved() bool { return change.removed }

// ChangeList is what has changed under a prefix up to a revision of the store.
type ChangeList struct {
	changes  []Change
	revision uint64
}

// NewChangeList returns changes that reach up to a revision.
func NewChangeList(changes []Change, revision uint64) ChangeList {
	return ChangeList{changes: changes, revision: revision}
}

// Changes returns the changes in the order of the store.
func (changelist ChangeList) Changes() []Change { return changelist.changes }

// Revision returns the store's revision that the changes reach.
func (changelist ChangeList) Revision() uint64 { return changelist.revision }

// Put is one write of a transaction.
type Put struct {
	key   string
	value []byte
	lease LeaseID
}

// NewPut returns the write of a value that goes with the lease, or stays if that is zero.
func NewPut(key string, value []byte, lease LeaseID) Put {
	return Put{key: key, value: value, lease: lease}
}

// Key returns the name of the entry.
func (put Put) Key() string { return put.key }

// Value returns the bytes to be written.
func (put Put) Value() []byte { return put.value }

// Lease returns the lease with which the entry goes, zero if it stays.
func (put Put) Lease() LeaseID { return put.lease }

// Feed tells what stands in the store and what changes.
type Feed interface {
	// List reads all entries under a prefix; the revision is one from which a watch misses nothing.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch waits for changes under the prefix after the revision; it returns none if none came in time, or ErrCompacted.
	Watch(ctx context.Context, prefix string, after uint64) (ChangeList, error)
}

// PeerFeeds give the feeds of other daemons, which pass on what they hear from the store.
type PeerFeeds interface {
	// Feed returns the feed of the daemon at a peer address.
	Feed(address string) Feed
}

// LeaseStore is the part of a MetadataStore that one daemon can ask for another: calls that do not wait.
//
// Every method fails with ErrUnavailable if the call was not carried out, and with ErrUnknown if nobody can tell.
type LeaseStore interface {
	// Get reads one entry and fails with ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes entries together, whatever they hold, and fails with ErrLeaseEnded if a lease of theirs is gone.
	Put(ctx context.Context, puts ...Put) (uint64, error)
	// PutIf writes an entry that still has the expected revision, zero for none, while there is no entry under the absent keys, or
	// fails with ErrConflict.
	PutIf(ctx context.Context, put Put, expected uint64, absent ...string) (uint64, error)
	// Grant begins a lease that lapses unless it is kept.
	Grant(ctx context.Context, term time.Duration) (LeaseID, error)
	// Keep renews a lease, and fails with ErrLeaseEnded if it is gone.
	Keep(ctx context.Context, lease LeaseID) error
}

// PeerStores give the store as other daemons reach it.
type PeerStores interface {
	// Store returns the store behind the daemon at a peer address; it fails with ErrOutOfTouch if that hears nothing from the store.
	Store(address string) LeaseStore
}

// MetadataStore is a key-value service with leases that keeps what the fleet has to agree on.
type MetadataStore interface {
	LeaseStore
	Feed
	// Peek reads all entries under a prefix as they were some seconds ago at the earliest, at a fraction of the cost of List.
	Peek(ctx context.Context, prefix string) (Listing, error)
}
