package lagoonlanding

import (
	"context"
	"errors"
	"time"
)

// Errors of a MetadataStore in addition to those of a Store.
var (
	// ErrCompacted means that the store no longer has the changes after the requested revision.
	ErrCompacted = errors.New("the store has compacted the requested changes")
	// ErrLeaseEnded means that the store lease does not exist or has expired.
	ErrLeaseEnded = errors.New("the store lease has expired")
	// ErrStoreDisconnected means that a daemon has no changes to relay because its own connection to the store is down.
	ErrStoreDisconnected = errors.New("the daemon is disconnected from the store")
)

// ConflictError is an ErrConflict with the entries that the store currently holds.
type ConflictError struct {
	current []Entry
}

// NewConflictError returns a conflict with the current entries.
func NewConflictError(current []Entry) *ConflictError { return &ConflictError{current: current} }

// Error returns the message of ErrConflict.
func (conflicterror *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (conflicterror *ConflictError) Unwrap() error { return ErrConflict }

// Entries returns the current entries of the preconditions whose keys exist.
func (conflicterror *ConflictError) Entries() []Entry { return conflicterror.current }

// Current returns the current entry of a key; it returns false if the entry does not exist or was not reported.
func (conflicterror *ConflictError) Current(key string) (Entry, bool) {
	for _, entry := range conflicterror.current {
		if entry.Key() == key && entry.Revision() > 0 {
			return entry, true
		}
	}
	return Entry{}, false
}

// LeaseID identifies a store lease; zero means no lease.
type LeaseID int64

// Change is one write or deletion in the store.
type Change struct {
	entry   Entry
	removed bool
}

// NewChange returns the write or the deletion of an entry.
func NewChange(entry Entry, removed bool) Change { return Change{entry: entry, removed: removed} }

// Entry returns the written entry; the entry of a deletion has no value.
func (change Change) Entry() Entry { return change.entry }

// IsRemoved reports whether the entry was deleted.
func (change Change) IsRemoved() bool { return change.removed }

// ChangeList holds the changes under a key prefix up to a store revision.
type ChangeList struct {
	changes  []Change
	revision uint64
}

// NewChangeList returns a list of changes that is complete up to the revision.
func NewChangeList(changes []Change, revision uint64) ChangeList {
	return ChangeList{changes: changes, revision: revision}
}

// Changes returns the changes in store order.
func (changelist ChangeList) Changes() []Change { return changelist.changes }

// Revision returns the store revision up to which the list is complete.
func (changelist ChangeList) Revision() uint64 { return changelist.revision }

// Put is one write of a transaction.
type Put struct {
	key   string
	value []byte
	lease LeaseID
}

// NewPut returns a write that is attached to the lease, or is permanent if the lease is zero.
func NewPut(key string, value []byte, lease LeaseID) Put {
	return Put{key: key, value: value, lease: lease}
}

// Key returns the key of the entry.
func (put Put) Key() string { return put.key }

// Value returns the bytes to write.
func (put Put) Value() []byte { return put.value }

// Lease returns the lease that the entry is attached to, zero if the entry is permanent.
func (put Put) Lease() LeaseID { return put.lease }

// Precondition is a revision that an entry must have for a transaction to be carried out.
type Precondition struct {
	key      string
	revision uint64
}

// NewPrecondition returns the condition that an entry has a revision, zero for a key that does not exist.
func NewPrecondition(key string, revision uint64) Precondition {
	return Precondition{key: key, revision: revision}
}

// Key returns the key of the entry.
func (precondition Precondition) Key() string { return precondition.key }

// Revision returns the required revision, zero for a key that must not exist.
func (precondition Precondition) Revision() uint64 { return precondition.revision }

// TransactionConfig holds the fields of a Transaction.
type TransactionConfig struct {
	// Preconditions must all hold for the transaction to be carried out.
	Preconditions []Precondition
	// Puts are the entries to write.
	Puts []Put
}

// Transaction is an atomic write that depends on the current revisions of entries.
//
// A store may carry out a write whose response was lost seconds later. The preconditions keep such a write from replacing a newer one.
type Transaction struct {
	config TransactionConfig
}

// NewTransaction returns a transaction with the given configuration.
func NewTransaction(config TransactionConfig) Transaction { return Transaction{config: config} }

// Preconditions returns the conditions that must all hold.
func (transaction Transaction) Preconditions() []Precondition {
	return transaction.config.Preconditions
}

// Puts returns the entries to write.
func (transaction Transaction) Puts() []Put { return transaction.config.Puts }

// Feed reads the entries of the store and watches them for changes.
type Feed interface {
	// List reads all entries under a prefix; a watch that starts at the returned revision misses no change.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch waits for changes under the prefix after the revision; it returns an empty list on timeout, or ErrCompacted.
	Watch(ctx context.Context, prefix string, after uint64) (ChangeList, error)
}

// PeerFeed is the feed of a daemon that relays changes from the store.
type PeerFeed interface {
	Feed
	// Probe returns at once whether the daemon relays changes: it fails with ErrStoreDisconnected if it does not.
	Probe(ctx context.Context, prefix string) error
}

// PeerFeeds provides the feeds of other daemons.
type PeerFeeds interface {
	// Feed returns the feed of the daemon at a peer address.
	Feed(address string) PeerFeed
}

// LeaseStore is the part of a MetadataStore that one daemon can call on behalf of another: calls that do not block on changes.
//
// Every method fails with ErrUnavailable if the call was not carried out, and with ErrUnknown if the outcome is unknown.
type LeaseStore interface {
	// Get reads one entry and fails with ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// Commit carries out a transaction and returns its revision; it fails with a ConflictError if a precondition does not hold, and with
	// ErrLeaseEnded if a lease of the entries has expired.
	Commit(ctx context.Context, transaction Transaction) (uint64, error)
	// Grant creates a lease that expires unless it is renewed.
	Grant(ctx context.Context, term time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; it fails with ErrLeaseEnded if the lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// PeerStores provides access to the store through other daemons.
type PeerStores interface {
	// Store returns the store as reached through the daemon at a peer address; calls fail with ErrStoreDisconnected if that daemon is disconnected from the store.
	Store(address string) LeaseStore
}

// MetadataStore is a key-value store with leases for the state that the fleet shares.
type MetadataStore interface {
	LeaseStore
	Feed
	// ListStale reads all entries under a prefix, possibly a few seconds stale, at a fraction of the cost of List.
	ListStale(ctx context.Context, prefix string) (Listing, error)
}
