package relayer

import (
	"errors"
	"testing"

	"lagoonlanding.example/lagoonlanding"
)

// Guards against followers that miss what a restore of the store has removed or brought back, or that follow a daemon in an earlier era.
func TestFollowersGoOnInALaterEra(t *testing.T) {
	journal, restored := newJournal(), uint64(1<<42|10)
	if _, err := journal.Watch(t.Context(), "p/", restored); !errors.Is(err, lagoonlanding.ErrStoreDisconnected) {
		t.Errorf("a follower that knows a later era got %v", err)
	}
	journal.Replace(lagoonlanding.NewListing([]lagoonlanding.Entry{lagoonlanding.NewEntry("p/b", nil, restored)}, restored))
	journal.Replace(lagoonlanding.NewListing(nil, 16))
	changes, err := journal.Watch(t.Context(), "p/", 10)
	if err != nil || len(changes.Changes()) != 2 || changes.Changes()[0].IsRemoved() == changes.Changes()[1].IsRemoved() || changes.Revision() != restored {
		t.Errorf("a follower got %+v, %v", changes, err)
	}
}
