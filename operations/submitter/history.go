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

// HistoryLength is how many sets the history keeps; the next one takes the place of the oldest.
const HistoryLength = 32

func historyKey(version uint64) string {
	return fmt.Sprintf("%s%02d", lagoonlanding.HistoryPrefix, version%HistoryLength)
}

// keep puts the set into the history, unless it or a later one stands in its place.
func (submitter *Submitter) keep(ctx context.Context, set *publisher.Set) error {
	if set == nil {
		return nil
	}
	kept, err := submitter.kept(ctx, set.Version())
	if err != nil || kept.Version() >= set.Version() {
		return err
	}
	value, err := submitter.config.Sets.Encode(set)
	if err != nil {
		return err
	}
	_, err = submitter.swap(ctx, historyKey(set.Version()), kept.Revision(), value)
	if errors.Is(err, lagoonlanding.ErrConflict) {
		// Another publisher has kept it.
		return nil
	}
	if err != nil {
		return oops.In("submitter").Wrapf(err, "keeping set %d in the history", set.Version())
	}
	return nil
}

// kept returns what stands in the place of the version.
func (submitter *Submitter) kept(ctx context.Context, version uint64) (Held, error) {
	entry, err := submitter.get(ctx, historyKey(version))
	if errors.Is(err, lagoonlanding.ErrNotFound) {
		return Held{}, nil
	}
	if err != nil {
		return Held{}, oops.In("submitter").Wrapf(err, "reading set %d from the history", version)
	}
	set, err := submitter.config.Sets.Decode(entry)
	if err != nil {
		return Held{}, oops.In("submitter").Wrapf(err, "reading set %d from the history", version)
	}
	return NewHeld(set, entry.Revision()), nil
}

// History returns the kept sets, the newest first.
func (submitter *Submitter) History(ctx context.Context) ([]*publisher.Set, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := submitter.config.Store.List(limited, lagoonlanding.HistoryPrefix)
	if err != nil {
		return nil, oops.In("submitter").Wrapf(err, "reading the history")
	}
	held, err := submitter.Read(ctx)
	if err != nil {
		return nil, err
	}
	var sets []*publisher.Set
	for _, entry := range listing.Entries() {
		set, err := submitter.config.Sets.Decode(entry)
		if err != nil {
			return nil, oops.In("submitter").Wrapf(err, "reading the history")
		}
		if set.Version() < held.Version() {
			sets = append(sets, set)
		}
	}
	if held.Set() != nil {
		sets = append(sets, held.Set())
	}
	slices.SortFunc(sets, func(a, b *publisher.Set) int { return cmp.Compare(b.Version(), a.Version()) })
	return sets, nil
}
