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
	// maxRemovals bounds the removals that are kept for followers that are behind; followers are the daemons that receive changes from this one.
	maxRemovals = 256
	// maxGaps bounds the gaps between listings across which followers can still catch up.
	maxGaps = 16
	// maxWatchDuration bounds a watch, so that followers notice a stopped daemon in time: a configuration must take effect within two
	// seconds.
	maxWatchDuration = 700 * time.Millisecond
)

var _ lagoonlanding.PeerFeed = (*Journal)(nil)

// Journal holds the entries under one key prefix of the store, as this daemon received them; it is safe for concurrent use.
type Journal struct {
	prefix string

	mutex    sync.Mutex
	entries  map[string]lagoonlanding.Entry
	removals []lagoonlanding.Change
	// compactRevision is the revision after which all removals are known, except for those in the gaps.
	compactRevision uint64
	gaps            []gap
	// revision is the store revision up to which the journal is complete, zero before the first listing.
	revision uint64
	// connected means that the daemon receives changes from the store itself.
	connected bool
	// changed is closed at the next change.
	changed chan struct{}
}

// gap is a range of revisions within which the journal doesn't know the removals; entries that it had before and that were removed within
// it count as removed at the end of the gap.
type gap struct {
	after, until uint64
}

// NewJournal returns an empty journal of the keys under a prefix.
func NewJournal(prefix string) *Journal {
	return &Journal{prefix: prefix, entries: map[string]lagoonlanding.Entry{}, changed: make(chan struct{})}
}

// Prefix returns the key prefix.
func (journal *Journal) Prefix() string { return journal.prefix }

// Revision returns the store revision up to which the journal is complete, zero before the first listing.
func (journal *Journal) Revision() uint64 {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.revision
}

// Replace replaces the entries with a full listing and returns the missing entries as removals.
func (journal *Journal) Replace(listing lagoonlanding.Listing) []lagoonlanding.Change {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if lagoonlanding.EraOf(listing.Revision()) < lagoonlanding.EraOf(journal.revision) {
		// A listing of an earlier era of the store shows nothing of the current one.
		return nil
	}
	listed := map[string]lagoonlanding.Entry{}
	for _, entry := range listing.Entries() {
		listed[entry.Key()] = entry
	}
	var removals []lagoonlanding.Change
	for key := range journal.entries {
		if _, ok := listed[key]; !ok {
			removals = append(removals, lagoonlanding.NewChange(lagoonlanding.NewEntry(key, nil, listing.Revision()), true))
		}
	}
	journal.entries = listed
	journal.recordGap(removals, listing.Revision())
	journal.revision = max(journal.revision, listing.Revision())
	journal.notify()
	return removals
}

// recordGap records the gap before a listing and the removals found by it, so that followers that were as far as the journal need not list too.
func (journal *Journal) recordGap(removals []lagoonlanding.Change, revision uint64) {
	if journal.revision == 0 {
		journal.compactRevision = revision
		return
	}
	if revision > journal.revision {
		journal.gaps = append(journal.gaps, gap{after: journal.revision, until: revision})
	}
	if len(journal.gaps) > maxGaps {
		journal.compact(journal.gaps[0].until)
	}
	for _, removal := range removals {
		journal.addRemoval(removal)
	}
}

// addRemoval keeps a removal for followers that are behind.
func (journal *Journal) addRemoval(removal lagoonlanding.Change) {
	journal.removals = append(journal.removals, removal)
	if len(journal.removals) > maxRemovals {
		journal.compact(journal.removals[0].Entry().Revision())
		journal.removals = journal.removals[1:]
	}
}

// compact drops support for followers that are behind the revision, and the gaps that only they need.
func (journal *Journal) compact(revision uint64) {
	journal.compactRevision = max(journal.compactRevision, revision)
	journal.gaps = slices.DeleteFunc(journal.gaps, func(gap gap) bool { return gap.until <= journal.compactRevision })
}

// isCompleteSince reports whether the journal knows all changes after the revision.
func (journal *Journal) isCompleteSince(after uint64) bool {
	return after >= journal.compactRevision && !slices.ContainsFunc(journal.gaps, func(gap gap) bool { return gap.after < after && after < gap.until })
}

// Apply applies changes.
func (journal *Journal) Apply(list lagoonlanding.ChangeList) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	for _, change := range list.Changes() {
		journal.apply(change)
	}
	journal.revision = max(journal.revision, list.Revision())
	if len(list.Changes()) > 0 {
		journal.notify()
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
	journal.addRemoval(change)
}

// SetConnected records whether the daemon receives changes from the store itself; nothing is relayed while it does not.
func (journal *Journal) SetConnected(connected bool) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.connected != connected {
		journal.connected = connected
		journal.notify()
	}
}

// notify wakes all waiting watches; the caller holds the mutex.
func (journal *Journal) notify() {
	close(journal.changed)
	journal.changed = make(chan struct{})
}

// Probe fails with ErrStoreDisconnected while the daemon does not receive changes from the store itself.
func (journal *Journal) Probe(_ context.Context, _ string) error {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if !journal.connected {
		return lagoonlanding.ErrStoreDisconnected
	}
	return nil
}

// List returns all entries; it fails with ErrStoreDisconnected while the daemon does not receive changes from the store itself.
func (journal *Journal) List(_ context.Context, _ string) (lagoonlanding.Listing, error) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if !journal.connected {
		return lagoonlanding.Listing{}, lagoonlanding.ErrStoreDisconnected
	}
	var entries []lagoonlanding.Entry
	for _, entry := range journal.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b lagoonlanding.Entry) int { return strings.Compare(a.Key(), b.Key()) })
	return lagoonlanding.NewListing(entries, journal.revision), nil
}

// Watch waits for changes after the revision; it fails with ErrStoreDisconnected while the daemon does not receive changes from the store
// itself, and with ErrCompacted if the journal no longer knows all of them.
func (journal *Journal) Watch(ctx context.Context, _ string, after uint64) (lagoonlanding.ChangeList, error) {
	timeout := time.After(maxWatchDuration)
	for {
		changes, changed, err := journal.changesSince(after)
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

// changesSince returns the changes after the revision, and a channel that is closed at the next change.
func (journal *Journal) changesSince(after uint64) (lagoonlanding.ChangeList, <-chan struct{}, error) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if !journal.connected {
		return lagoonlanding.ChangeList{}, nil, lagoonlanding.ErrStoreDisconnected
	}
	if lagoonlanding.EraOf(after) > lagoonlanding.EraOf(journal.revision) {
		// The follower knows a later era of the store than this daemon does.
		return lagoonlanding.ChangeList{}, nil, lagoonlanding.ErrStoreDisconnected
	}
	if !journal.isCompleteSince(after) {
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
	return lagoonlanding.NewChangeList(changes, max(journal.revision, after)), journal.changed, nil
}
