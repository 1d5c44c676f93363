package syncer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// restoredStore is a store whose configuration goes back from version 5 to 2 when it is restored; its watches never end by themselves.
type restoredStore struct {
	*fakeStore
	era *atomic.Uint64
}

func (store restoredStore) List(context.Context, string) (lagoonlanding.Listing, error) {
	version, revision := byte(5), uint64(9)
	if era := store.era.Load(); era > 0 {
		version, revision = 2, era<<42|4
	}
	return lagoonlanding.NewListing([]lagoonlanding.Entry{lagoonlanding.NewEntry("orders/one", []byte{version}, revision)}, revision), nil
}

func (store restoredStore) Watch(ctx context.Context, _ string, _ uint64) (lagoonlanding.ChangeList, error) {
	<-ctx.Done()
	return lagoonlanding.ChangeList{}, ctx.Err()
}

func (store restoredStore) KeepAlive(context.Context, lagoonlanding.LeaseID) error { return nil }

func (store restoredStore) Grant(context.Context, time.Duration) (lagoonlanding.LeaseID, error) {
	return 1, nil
}

// Guards against a watch that waits on in an earlier era, and against followers that get an older configuration than the one in force.
func TestViewsFollowTheStoreIntoALaterEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := restoredStore{newFakeStore(false), &atomic.Uint64{}}
		syncer := newSyncer(store)
		run(t, syncer)
		time.Sleep(2 * time.Second)
		store.era.Store(1)
		syncer.EraBegan(1)
		time.Sleep(time.Second)
		listing, err := syncer.config.DirectiveJournal.List(t.Context(), "orders/")
		if err != nil || lagoonlanding.EraOf(listing.Revision()) != 1 || len(listing.Entries()) != 1 {
			t.Fatalf("a follower got %+v, %v", listing, err)
		}
		entry, routing := listing.Entries()[0], syncer.config.Coordinator.Snapshot().Routing()
		if entry.Value()[0] != 5 || lagoonlanding.EraOf(entry.Revision()) != 1 || routing.Version() != 5 {
			t.Errorf("a follower got %+v, version %d is in force", entry, routing.Version())
		}
		if _, err := syncer.config.DirectiveJournal.Watch(t.Context(), "orders/", 9); err != nil {
			t.Errorf("a follower of the earlier era got %v", err)
		}
	})
}

// Guards against an evacuation that ends because a restore has lost its entry, and one that goes on though the operator has removed it.
func TestLostEvacuationIsNotARemovedOne(t *testing.T) {
	syncer := newSyncer(newFakeStore(true))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go syncer.control.Run(ctx)
	handler := &directiveHandler{syncer: syncer, zones: map[string]evacuation{}}
	evacuate := func(key string, revision, removedAt uint64) {
		handler.zones[key] = evacuation{zone: key, revision: revision}
		syncer.config.Coordinator.ApplyDirective(time.Now(), lagoonlanding.NewEvacuationDirective(key))
		handler.apply(lagoonlanding.NewChange(lagoonlanding.NewEntry(key, nil, removedAt), true))
	}
	evacuate("lost", 7, 1<<42|3)
	evacuate("removed", 1<<42|4, 1<<42|5)
	snapshot := syncer.config.Coordinator.Snapshot()
	if !snapshot.IsEvacuated("lost") || snapshot.IsEvacuated("removed") {
		t.Error("the lost evacuation has ended, or the removed one has not")
	}
}
