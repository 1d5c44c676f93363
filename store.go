package lagoonlanding

import (
	"context"
	"errors"
)

// Errors of a Store in addition to transport errors.
var (
	// ErrNotFound means that the key does not exist in the store.
	ErrNotFound = errors.New("key not found in the store")
	// ErrConflict means that the entry's revision is not the expected one and nothing was written.
	ErrConflict = errors.New("the store entry does not have the expected revision")
	// ErrUnknown means that the response was lost and the write may have taken effect.
	ErrUnknown = errors.New("the response of the store was lost")
	// ErrUnavailable means that the store refused the call and nothing was written.
	ErrUnavailable = errors.New("the store is unavailable")
)

// Entry is one key and value of the store with the revision of its last write.
type Entry struct {
	key      string
	value    []byte
	revision uint64
}

// NewEntry returns an entry with the given key, value and revision.
func NewEntry(key string, value []byte, revision uint64) Entry {
	return Entry{key: key, value: value, revision: revision}
}

// Key returns the key of the entry.
func (entry Entry) Key() string { return entry.key }

// Value returns the bytes of the entry.
func (entry Entry) Value() []byte { return entry.value }

// Revision returns the store-wide revision of the entry's last write.
func (entry Entry) Revision() uint64 { return entry.revision }

// Listing is a consistent snapshot of the entries under a prefix.
type Listing struct {
	entries  []Entry
	revision uint64
}

// NewListing returns a snapshot of the entries at a store revision.
func NewListing(entries []Entry, revision uint64) Listing {
	return Listing{entries: entries, revision: revision}
}

// Entries returns the entries in key order.
func (listing Listing) Entries() []Entry { return listing.entries }

// Revision returns the store revision of the snapshot.
func (listing Listing) Revision() uint64 { return listing.revision }

// Store is the platform's key-value store.
type Store interface {
	// Get reads one entry and fails with ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all entries under a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap writes the value if the entry has the expected revision, zero for a key that does not exist, and returns the new revision.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
	// Watch waits until entries under the prefix are newer than the revision or ctx ends, and returns the newer entries.
	Watch(ctx context.Context, prefix string, after uint64) (Listing, error)
}
