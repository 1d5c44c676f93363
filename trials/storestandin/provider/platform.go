package provider

import (
	"errors"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/keeper"
)

// MaxValueBytes bounds the value of an entry.
const MaxValueBytes = 1 << 20

// ErrTooLarge says that a value is above MaxValueBytes.
var ErrTooLarge = errors.New("the value is too large")

// Config holds the caps of a Platform.
type Config struct {
	// CallsPerSecond caps all calls.
	CallsPerSecond int
	// WritesPerSecond caps the writes among them.
	WritesPerSecond int
}

// Platform is the state of the store; it is not safe for use by several goroutines.
type Platform struct {
	table    *keeper.Table
	leases   map[LeaseID]*lease
	lastID   LeaseID
	calls    *bucket
	writes   *bucket
	counters Counters
	switches Switches
	changed  chan struct{}
}

// New returns an empty store with its caps.
func New(config Config) *Platform {
	return &Platform{
		table:    keeper.NewTable(),
		leases:   make(map[LeaseID]*lease),
		calls:    newBucket(config.CallsPerSecond),
		writes:   newBucket(config.WritesPerSecond),
		counters: Counters{},
		changed:  make(chan struct{}),
	}
}

// Admit counts a call and refuses it with ErrUnavailable when the store is down, or with ErrTooMany above a cap.
func (platform *Platform) Admit(kind CallKind, now time.Time) error {
	platform.counters[kind]++
	if platform.switches.down {
		platform.counters[CallRefused]++
		return lagoonlanding.ErrUnavailable
	}
	if !platform.calls.take(now) || kind.isWrite() && !platform.writes.take(now) {
		platform.counters[CallRefused]++
		return ErrTooMany
	}
	return nil
}

// Get returns the entry of the key, or ErrNotFound.
func (platform *Platform) Get(key string) (lagoonlanding.Entry, error) {
	return platform.table.Get(key)
}

// List returns the entries under the prefix.
func (platform *Platform) List(prefix string) lagoonlanding.Listing {
	return platform.table.List(prefix)
}

// Newer returns what was written under the prefix after the revision.
func (platform *Platform) Newer(prefix string, after uint64) lagoonlanding.Listing {
	return platform.table.Newer(prefix, after)
}

// Changed returns a channel that is closed at the next write or turn of a switch.
func (platform *Platform) Changed() <-chan struct{} { return platform.changed }

// Swap writes the value if the entry has the expected revision; the entry goes with the lease unless that is zero.
func (platform *Platform) Swap(key string, expected uint64, value []byte, id LeaseID) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	if id != 0 && platform.leases[id] == nil {
		return 0, ErrNoLease
	}
	revision, err := platform.table.Swap(key, expected, value)
	if err != nil {
		return 0, err
	}
	if id != 0 {
		platform.leases[id].keys[key] = revision
	}
	platform.notify()
	return revision, nil
}

// IsAnswerLost reports whether the answer of the write that just took effect is to be dropped.
func (platform *Platform) IsAnswerLost() bool {
	if platform.switches.lostAnswers == 0 {
		return false
	}
	platform.switches.lostAnswers--
	return true
}

// Counters returns a copy of the numbers of calls by kind.
func (platform *Platform) Counters() Counters { return platform.counters.clone() }

// Switches returns the faults that are switched on.
func (platform *Platform) Switches() Switches { return platform.switches }

// SetSwitches switches faults on and off and wakes the waiting watches.
func (platform *Platform) SetSwitches(switches Switches) {
	platform.switches = switches
	platform.notify()
}

func (platform *Platform) notify() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}
