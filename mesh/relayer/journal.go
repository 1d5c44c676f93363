package relayer

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// maxRemovals bounds the removals that are remembered for those who are behind.
	maxRemovals = 256
	// maxGaps bounds the listings over which removals are remembered.
	maxGaps = 16
	// longestWait bounds a watch, so that a daemon that has stopped is noticed: a configuration is in force within two seconds.
	longestWait = 700 * time.Millisecond
)

// Journal is the state of one part of the store as this daemon hears it; it is safe for use by many goroutines.
type Journal struct {
	prefix string

	mutex    sync.Mutex
	entries  map[string]lagoonlanding.Entry
	removals []lagoonlanding.Change
	// horizon is the revision after which all removals are known, but for those in the gaps.
	horizon uint64
	gaps    []gap
	reached uint64
	// direct says that the daemon hears from the store itself.
	direct  bool
	changed chan struct{}
}

// gap lies between two revisions of which the journal knows no removals; those of entries that it knew are counted at its end.
type gap struct {
	after, until uint64
}

// NewJournal returns the journal of the keys under a prefix.
func NewJournal(prefix string) *Journal {
	return &Journal{prefix: prefix, entries: map[string]lagoonlanding.Entry{}, changed: make(chan struct{})}
}

// Prefix returns how the keys begin.
func (journal *Journal) Prefix() string { return journal.prefix }

// Reached returns the revision that the journal reaches, zero before the first listing.
func (journal *Journal) Reached() uint64 {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.reached
}

// Replace takes in a whole listing and returns the entries that it lacks as removals.
func (journal *Journal) Replace(listing lagoonlanding.Listing) []lagoonlanding.Change {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	listed := map[string]lagoonlanding.Entry{}
	for _, entry := range listing.Entries() {
		listed[entry.Key()] = entry
	}
	var gone []lagoonlanding.Change
	for key := range journal.entries {
		if _, ok := listed[key]; !ok {
			gone = append(gone, lagoonlanding.NewChange(lagoonlanding.NewEntry(key, nil, listing.Revision()), true))
		}
	}
	journal.entries = listed
	journal.bridge(gone, listing.Revision())
	journal.reached = max(journal.reached, listing.Revision())
	journal.wake()
	return gone
}

// bridge keeps the removals that followers may have missed over a listing, so that those who know what the journal knew need not list.
func (journal *Journal) bridge(gone []lagoonlanding.Change, revision uint64) {
	if journal.reached == 0 {
		journal.horizon = revision
		return
	}
	if revision > journal.reached {
		journal.gaps = append(journal.gaps, gap{after: journal.reached, until: revision})
	}
	if len(journal.gaps) > maxGaps {
		journal.rise(journal.gaps[0].until)
	}
	for _, removal := range gone {
		journal.remember(removal)
	}
}

// remember keeps a removal for those who are behind.
func (journal *Journal) remember(removal lagoonlanding.Change) {
	journal.removals = append(journal.removals, removal)
	if len(journal.removals) > maxRemovals {
		journal.rise(journal.removals[0].Entry().Revision())
		journal.removals = journal.removals[1:]
	}
}

// rise forgets what only followers from before the revision need.
func (journal *Journal) rise(revision uint64) {
	journal.horizon = max(journal.horizon, revision)
	journal.gaps = slices.DeleteFunc(journal.gaps, func(gap gap) bool { return gap.until <= journal.horizon })
}

// isKnown reports whether the journal knows all that has changed after the revision.
func (journal *Journal) isKnown(after uint64) bool {
	return after >= journal.horizon && !slices.ContainsFunc(journal.gaps, func(gap gap) bool { return gap.after < after && after < gap.until })
}

// Apply takes in changes.
func (journal *Journal) Apply(list lagoonlanding.ChangeList) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	for _, change := range list.Changes() {
		journal.apply(change)
	}
	journal.reached = max(journal.reached, list.Revision())
	if len(list.Changes()) > 0 {
		journal.wake()
	}
}

func (journal *Journal) apply(change lagoonlanding.Change) {
	entry := change.Entry()
	if known, ok := journal.entries[entry.Key()]; ok && known.Revision() >= entry.Revision() {
		return
	}
	if !change.IsRemoved() {
		journal.entries[entry.Key()] = entry
		return
	}
	delete(journal.entries, entry.Key())
	journal.remember(change)
}

// Connect notes whether the daemon hears from the store itself; others are told nothing while it does not.
func (journal *Journal) Connect(direct bool) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.direct != direct {
		journal.direct = direct
		journal.wake()
	}
}

// wake ends every wait; the mutex is held.
func (journal *Journal) wake() {
	close(journal.changed)
	journal.changed = make(chan struct{})
}

// List returns all entries, or fails if the daemon does not hear from the store itself.
func (journal *Journal) List(_ context.Context, _ string) (lagoonlanding.Listing, error) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if !journal.direct {
		return lagoonlanding.Listing{}, lagoonlanding.ErrStoreDisconnected
	}
	var entries []lagoonlanding.Entry
	for _, entry := range journal.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b lagoonlanding.Entry) int { return strings.Compare(a.Key(), b.Key()) })
	return lagoonlanding.NewListing(entries, journal.reached), nil
}

// Watch waits for changes after the revision, and fails if the daemon does not hear from the store itself.
func (journal *Journal) Watch(ctx context.Context, _ string, after uint64) (lagoonlanding.ChangeList, error) {
	timeout := time.After(longestWait)
	for {
		changes, changed, err := journal.since(after)
		if err != nil || len(changes.Changes()) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return changes, ctx.Err()
		case <-timeout:
			return changes, nil
		case <-changed:
		}
	}
}

// since returns what has changed after the revision, and a channel that closes at the next change.
func (journal *Journal) since(after uint64) (lagoonlanding.ChangeList, <-chan struct{}, error) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if !journal.direct {
		return lagoonlanding.ChangeList{}, nil, lagoonlanding.ErrStoreDisconnected
	}
	if !journal.isKnown(after) {
		return lagoonlanding.ChangeList{}, nil, lagoonlanding.ErrCompacted
	}
	var changes []lagoonlanding.Change
	for _, entry := range journal.entries {
		if entry.Revision() > after {
			changes = append(changes, lagoonlanding.NewChange(entry, false))
		}
	}
	for _, removal := range journal.removals {
		if removal.Entry().Revision() > after {
			changes = append(changes, removal)
		}
	}
	slices.SortFunc(changes, func(a, b lagoonlanding.Change) int { return cmp.Compare(a.Entry().Revision(), b.Entry().Revision()) })
	return lagoonlanding.NewChangeList(changes, max(journal.reached, after)), journal.changed, nil
}
