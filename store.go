package lagoonlanding

import (
	"context"
	"errors"
)

// Errors that a Store returns besides those of the transport.
var (
	// ErrNotFound says that the store holds no entry under the key.
	ErrNotFound = errors.New("no such entry in the store")
	// ErrConflict says that the entry's revision is not the expected one, so nothing was written.
	ErrConflict = errors.New("the entry has another revision")
	// ErrUnknown says that the answer was lost, so the write may have taken effect.
	ErrUnknown = errors.New("the answer of the store was lost")
	// ErrUnavailable says that the store refused the call and nothing was written.
	ErrUnavailable = errors.New("the store is unavailable")
)

// Entry is one value of the store with the revision of its last write.
type Entry struct {
	key      string
	value    []byte
	revision uint64
}

// NewEntry returns the entry of a key.
func NewEntry(key string, value []byte, revision uint64) Entry {
	return Entry{key: key, value: value, revision: revision}
}

// Key returns the name under which the store holds the entry.
func (entry Entry) Key() string { return entry.key }

// Value returns the bytes of the entry.
func (entry Entry) Value() []byte { return entry.value }

// Revision returns the store-wide revision of the entry's last write.
func (entry Entry) Revision() uint64 { return entry.revision }

// Listing is a consistent read of the entries under a prefix.
type Listing struct {
	entries  []Entry
	revision uint64
}

// NewListing returns the entries read at a revision of the store.
func NewListing(entries []Entry, revision uint64) Listing {
	return Listing{entries: entries, revision: revision}
}

// Entries returns the entries in the order of their keys.
func (listing Listing) Entries() []Entry { return listing.entries }

// Revision returns the store's revision at the read.
func (listing Listing) Revision() uint64 { return listing.revision }

// Store is the platform's key-value service.
type Store interface {
	// Get reads one entry and fails with ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all entries under a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Swap writes the value if the entry still has the expected revision, zero for an absent one, and returns the new revision.
	Swap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
	// Watch waits until an entry under the prefix is newer than the revision, or ctx ends, and returns the newer entries.
	Watch(ctx context.Context, prefix string, after uint64) (Listing, error)
}
