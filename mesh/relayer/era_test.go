package relayer

import (
	"errors"
	"testing"

	"lagoonlanding.example/lagoonlanding"
)

func inEra(era, revision uint64) uint64 { return era<<42 | revision }

// Guards against followers that miss what a restore of the store has removed or brought back, or that follow a daemon in an earlier era.
func TestFollowersGoOnInALaterEra(t *testing.T) {
	journal := newJournal()
	journal.Apply(lagoonlanding.NewChangeList([]lagoonlanding.Change{write("p/lost", 12)}, 14))
	if _, err := journal.Watch(t.Context(), "p/", inEra(1, 3)); !errors.Is(err, lagoonlanding.ErrStoreDisconnected) {
		t.Errorf("a follower that knows a later era got %v", err)
	}
	journal.Replace(lagoonlanding.NewListing([]lagoonlanding.Entry{lagoonlanding.NewEntry("p/a", []byte("v"), inEra(1, 3))}, inEra(1, 10)))
	journal.Apply(lagoonlanding.NewChangeList([]lagoonlanding.Change{write("p/b", 15)}, 15))
	journal.Replace(lagoonlanding.NewListing(nil, 16))
	changes, err := journal.Watch(t.Context(), "p/", 14)
	if err != nil || len(changes.Changes()) < 2 || changes.Revision() != inEra(1, 10) {
		t.Fatalf("got %+v, %v", changes, err)
	}
	removed := map[string]bool{}
	for _, change := range changes.Changes() {
		removed[change.Entry().Key()] = change.IsRemoved()
	}
	if isRemoved, ok := removed["p/a"]; !ok || isRemoved || !removed["p/lost"] {
		t.Errorf("a follower got %+v", changes)
	}
}
