package relayer

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

func write(key string, revision uint64) lagoonlanding.Change {
	return lagoonlanding.NewChange(lagoonlanding.NewEntry(key, []byte("v"), revision), false)
}

func remove(key string, revision uint64) lagoonlanding.Change {
	return lagoonlanding.NewChange(lagoonlanding.NewEntry(key, nil, revision), true)
}

// newJournal returns a connected journal that was listed at revision 10.
func newJournal() *Journal {
	journal := NewJournal("p/")
	journal.Replace(lagoonlanding.NewListing([]lagoonlanding.Entry{lagoonlanding.NewEntry("p/a", []byte("v"), 3)}, 10))
	journal.SetConnected(true)
	return journal
}

func TestFollowerReceivesMissedChanges(t *testing.T) {
	journal := newJournal()
	journal.Apply(lagoonlanding.NewChangeList([]lagoonlanding.Change{write("p/b", 11), remove("p/a", 12), write("p/b", 13)}, 14))
	changes, err := journal.Watch(t.Context(), "p/", 10)
	if err != nil || fmt.Sprint(changes.Changes()[0].IsRemoved(), changes.Changes()[1].Entry().Revision()) != "true 13" || changes.Revision() != 14 {
		t.Errorf("got %+v, %v", changes, err)
	}
	if _, err := journal.Watch(t.Context(), "p/", 9); !errors.Is(err, lagoonlanding.ErrCompacted) {
		t.Errorf("a follower at a revision before the listing got %v", err)
	}
}

func TestOldChangesAreIgnored(t *testing.T) {
	journal := newJournal()
	journal.Apply(lagoonlanding.NewChangeList([]lagoonlanding.Change{write("p/a", 12), write("p/a", 11), remove("p/a", 10)}, 12))
	listing, err := journal.List(t.Context(), "p/")
	if err != nil || len(listing.Entries()) != 1 || listing.Entries()[0].Revision() != 12 {
		t.Errorf("got %+v, %v", listing, err)
	}
}

func TestWatchEndsAtTheTimeoutOrTheNextChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		journal := newJournal()
		start := time.Now()
		changes, err := journal.Watch(t.Context(), "p/", 10)
		if err != nil || len(changes.Changes()) != 0 || time.Since(start) != maxWatchDuration {
			t.Errorf("got %+v, %v after %v", changes, err, time.Since(start))
		}
		time.AfterFunc(100*time.Millisecond, func() { journal.Apply(lagoonlanding.NewChangeList([]lagoonlanding.Change{write("p/b", 11)}, 11)) })
		start = time.Now()
		if changes, _ := journal.Watch(t.Context(), "p/", 10); len(changes.Changes()) != 1 || time.Since(start) != 100*time.Millisecond {
			t.Errorf("got %+v after %v", changes, time.Since(start))
		}
	})
}

func TestNothingIsRelayedWhileDisconnectedFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		journal := newJournal()
		time.AfterFunc(100*time.Millisecond, func() { journal.SetConnected(false) })
		if _, err := journal.Watch(t.Context(), "p/", 10); !errors.Is(err, lagoonlanding.ErrStoreDisconnected) {
			t.Errorf("a waiting follower got %v", err)
		}
		if _, err := journal.List(t.Context(), "p/"); !errors.Is(err, lagoonlanding.ErrStoreDisconnected) {
			t.Errorf("a listing got %v", err)
		}
	})
}

func TestRemovalsAreBounded(t *testing.T) {
	journal := newJournal()
	for number := range uint64(maxRemovals + 5) {
		journal.Apply(lagoonlanding.NewChangeList([]lagoonlanding.Change{write("p/x", 20+2*number), remove("p/x", 21+2*number)}, 21+2*number))
	}
	if _, err := journal.Watch(t.Context(), "p/", 20); !errors.Is(err, lagoonlanding.ErrCompacted) {
		t.Errorf("a follower that misses removals got %v", err)
	}
}

func TestFollowersCatchUpAfterAListingWithoutListingThemselves(t *testing.T) {
	journal := newJournal()
	journal.Apply(lagoonlanding.NewChangeList([]lagoonlanding.Change{write("p/b", 11)}, 14))
	journal.Replace(lagoonlanding.NewListing([]lagoonlanding.Entry{lagoonlanding.NewEntry("p/b", []byte("w"), 17)}, 20))
	changes, err := journal.Watch(t.Context(), "p/", 14)
	if err != nil || len(changes.Changes()) != 2 || changes.Revision() != 20 {
		t.Fatalf("a follower at the journal's previous revision got %+v, %v", changes, err)
	}
	if first, last := changes.Changes()[0], changes.Changes()[1]; first.Entry().Revision() != 17 || !last.IsRemoved() || last.Entry().Key() != "p/a" {
		t.Errorf("got %+v", changes)
	}
	// A follower that received more from another daemon may have entries that were added and removed unnoticed by this journal.
	if _, err := journal.Watch(t.Context(), "p/", 16); !errors.Is(err, lagoonlanding.ErrCompacted) {
		t.Errorf("a follower within the gap got %v", err)
	}
	if _, err := journal.Watch(t.Context(), "p/", 9); !errors.Is(err, lagoonlanding.ErrCompacted) {
		t.Errorf("a follower at a revision before the first listing got %v", err)
	}
}

func TestGapsAreBounded(t *testing.T) {
	journal := newJournal()
	for number := range uint64(maxGaps + 4) {
		journal.Replace(lagoonlanding.NewListing(nil, 20+10*number))
	}
	if _, err := journal.Watch(t.Context(), "p/", 20); !errors.Is(err, lagoonlanding.ErrCompacted) {
		t.Errorf("a follower that is many listings behind got %v", err)
	}
	if _, err := journal.Watch(t.Context(), "p/", 20+10*(maxGaps+2)); err != nil {
		t.Errorf("a follower that is one listing behind got %v", err)
	}
}
