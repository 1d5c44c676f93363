package submitter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// HistoryLength is the number of sets that the history keeps; a new set overwrites the oldest one.
const HistoryLength = 32

func historyKey(version uint64) string {
	return fmt.Sprintf("%s%02d", lagoonlanding.HistoryPrefix, version%HistoryLength)
}

// saveToHistory writes the set to the history, unless its slot already holds the set or a later one.
func (submitter *Submitter) saveToHistory(ctx context.Context, set *publisher.Set) error {
	if set == nil {
		return nil
	}
	saved, err := submitter.readHistoryEntry(ctx, set.Version())
	if err != nil || saved.Version() >= set.Version() {
		return err
	}
	value, err := submitter.config.Sets.Encode(set)
	if err != nil {
		return err
	}
	_, err = submitter.compareAndSwap(ctx, historyKey(set.Version()), saved.Revision(), value)
	if errors.Is(err, lagoonlanding.ErrConflict) {
		// Another publisher has saved it.
		return nil
	}
	if err != nil {
		return oops.In("submitter").Wrapf(err, "saving set %d to the history", set.Version())
	}
	return nil
}

// readHistoryEntry returns the set in the history slot of the version.
func (submitter *Submitter) readHistoryEntry(ctx context.Context, version uint64) (StoredSet, error) {
	entry, err := submitter.get(ctx, historyKey(version))
	if errors.Is(err, lagoonlanding.ErrNotFound) {
		return StoredSet{}, nil
	}
	if err != nil {
		return StoredSet{}, oops.In("submitter").Wrapf(err, "reading set %d from the history", version)
	}
	set, err := submitter.config.Sets.Decode(entry)
	if err != nil {
		return StoredSet{}, oops.In("submitter").Wrapf(err, "reading set %d from the history", version)
	}
	return NewStoredSet(set, entry.Revision()), nil
}

// History returns the set in force and the sets of the history, newest first.
func (submitter *Submitter) History(ctx context.Context) ([]*publisher.Set, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := submitter.config.Store.List(limited, lagoonlanding.HistoryPrefix)
	if err != nil {
		return nil, oops.In("submitter").Wrapf(err, "reading the history")
	}
	storedset, err := submitter.Read(ctx)
	if err != nil {
		return nil, err
	}
	var sets []*publisher.Set
	for _, entry := range listing.Entries() {
		set, err := submitter.config.Sets.Decode(entry)
		if err != nil {
			return nil, oops.In("submitter").Wrapf(err, "reading the history")
		}
		if set.Version() < storedset.Version() {
			sets = append(sets, set)
		}
	}
	if storedset.Set() != nil {
		sets = append(sets, storedset.Set())
	}
	slices.SortFunc(sets, func(a, b *publisher.Set) int { return cmp.Compare(b.Version(), a.Version()) })
	return sets, nil
}
