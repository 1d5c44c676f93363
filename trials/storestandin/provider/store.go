package provider

import (
	"errors"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/keeper"
)

// MaxValueBytes is the maximum size of an entry's value.
const MaxValueBytes = 1 << 20

// ErrTooLarge means that a value is larger than MaxValueBytes.
var ErrTooLarge = errors.New("the value is too large")

// Config holds the rate limits of a Store.
type Config struct {
	// CallsPerSecond limits all calls.
	CallsPerSecond int
	// WritesPerSecond limits writes, which also count as calls.
	WritesPerSecond int
}

// Store is the state of the stand-in store; it is not safe for concurrent use.
type Store struct {
	table    *keeper.Table
	leases   map[LeaseID]*lease
	lastID   LeaseID
	calls    *bucket
	writes   *bucket
	counters Counters
	faults   Faults
	changed  chan struct{}
}

// New returns an empty store with the given rate limits.
func New(config Config) *Store {
	return &Store{
		table:    keeper.NewTable(),
		leases:   make(map[LeaseID]*lease),
		calls:    newBucket(config.CallsPerSecond),
		writes:   newBucket(config.WritesPerSecond),
		counters: Counters{},
		changed:  make(chan struct{}),
	}
}

// Admit counts a call and returns ErrUnavailable if the store is down, or ErrTooManyCalls if the call exceeds a rate limit.
func (store *Store) Admit(kind CallKind, now time.Time) error {
	store.counters[kind]++
	if store.faults.down {
		store.counters[CallRefused]++
		return lagoonlanding.ErrUnavailable
	}
	if !store.calls.take(now) || kind.isWrite() && !store.writes.take(now) {
		store.counters[CallRefused]++
		return ErrTooManyCalls
	}
	return nil
}

// Get returns the entry of the key, or ErrNotFound.
func (store *Store) Get(key string) (lagoonlanding.Entry, error) {
	return store.table.Get(key)
}

// List returns the entries under the prefix.
func (store *Store) List(prefix string) lagoonlanding.Listing {
	return store.table.List(prefix)
}

// Newer returns the entries under the prefix that were written after the revision.
func (store *Store) Newer(prefix string, after uint64) lagoonlanding.Listing {
	return store.table.Newer(prefix, after)
}

// Changed returns a channel that is closed at the next change of an entry, lease or fault.
func (store *Store) Changed() <-chan struct{} { return store.changed }

// CompareAndSwap writes the value if the entry has the expected revision, and attaches the entry to the lease unless id is zero.
func (store *Store) CompareAndSwap(key string, expected uint64, value []byte, id LeaseID) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	if id != 0 && store.leases[id] == nil {
		return 0, ErrNoLease
	}
	revision, err := store.table.CompareAndSwap(key, expected, value)
	if err != nil {
		return 0, err
	}
	if id != 0 {
		store.leases[id].keys[key] = revision
	}
	store.notify()
	return revision, nil
}

// ConsumeLostReply reports whether the reply to the write that was just applied must be dropped, and reduces the number of replies that remain to be dropped.
func (store *Store) ConsumeLostReply() bool {
	if store.faults.lostReplies == 0 {
		return false
	}
	store.faults.lostReplies--
	return true
}

// Counters returns a copy of the call counts by kind.
func (store *Store) Counters() Counters { return store.counters.clone() }

// Faults returns the injected faults.
func (store *Store) Faults() Faults { return store.faults }

// SetFaults replaces the injected faults and wakes the pending watches.
func (store *Store) SetFaults(faults Faults) {
	store.faults = faults
	store.notify()
}

// notify wakes the pending watches.
func (store *Store) notify() {
	close(store.changed)
	store.changed = make(chan struct{})
}
