package syncer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
	"lagoonlanding.example/lagoonlanding/mesh/relayer"
)

// restoredStore is a store whose configuration goes back from version 5 to 2 when it is restored; its watches never end by themselves.
type restoredStore struct {
	*fakeStore
	era *atomic.Uint64
}

func (store restoredStore) List(_ context.Context, prefix string) (lagoonlanding.Listing, error) {
	if prefix == coordinator.FleetPrefix {
		relay := lagoonlanding.BackendConfig{
			ID: lagoonlanding.NewBackendID("relay", "", 0), PeerAddress: "10.0.0.1:1", AvailabilityZone: "z", State: lagoonlanding.BackendAbsent,
		}
		value, _ := registrar.Codec{}.Encode(lagoonlanding.NewBackend(relay))
		revision := store.era.Load()<<42 | 4
		return lagoonlanding.NewListing([]lagoonlanding.Entry{lagoonlanding.NewEntry(prefix+"daemons/relay", value, revision)}, revision), nil
	}
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

// Guards against a revision from a daemon of an earlier release that equals a known one of an earlier era.
func TestNumbersOfAnEarlierEraFromAnotherDaemonAreRejected(t *testing.T) {
	syncer := newSyncer(newFakeStore(true))
	syncer.era = 2
	for _, check := range []struct {
		answer any
		want   bool
	}{
		{uint64(9), true}, {uint64(2<<42 | 9), false}, {lagoonlanding.NewEntry("k", nil, 1<<42|9), true}, {lagoonlanding.LeaseID(9), true},
		{lagoonlanding.LeaseID(2<<42 | 9), false}, {lagoonlanding.LeaseID(-1 << 50), false}, {struct{}{}, false},
	} {
		if syncer.isOfEarlierEra(check.answer) != check.want {
			t.Errorf("%v is of an earlier era: %v", check.answer, !check.want)
		}
	}
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

// relays are the feeds of daemons that all relay the same journal.
type relays struct{ *relayer.Journal }

func (relays relays) Feed(string) lagoonlanding.PeerFeed { return relays.Journal }

// Guards against a daemon that starts after a restore and applies an older configuration than other zones have.
func TestStartingDaemonAppliesNoOlderConfigurationThanOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := restoredStore{newFakeStore(false), &atomic.Uint64{}}
		store.era.Store(1)
		known := relays{relayer.NewJournal("orders/")}
		known.SetConnected(true)
		known.Replace(lagoonlanding.NewListing([]lagoonlanding.Entry{lagoonlanding.NewEntry("orders/one", []byte{5}, 1<<42|3)}, 1<<42|3))
		syncer := newSyncer(store)
		syncer.config.Peers = known
		run(t, syncer)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if routing := syncer.config.Coordinator.Snapshot().Routing(); routing != nil && routing.Version() != 5 {
				t.Fatalf("version %d is in force", routing.Version())
			}
		}
		if syncer.config.Coordinator.Snapshot().Routing() == nil {
			t.Error("no configuration is in force")
		}
	})
}
