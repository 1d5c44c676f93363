package syncer

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/assigner"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
	"lagoonlanding.example/lagoonlanding/mesh/relayer"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

// fakeStore fails the first watch of each prefix and then blocks watches without any change, as a store does that has dropped its history.
type fakeStore struct {
	mutex   sync.Mutex
	watches map[string]int
	lists   map[string]int
	// unavailable means that the store answers only the first listing of each prefix.
	unavailable bool
}

func newFakeStore(unavailable bool) *fakeStore {
	return &fakeStore{watches: map[string]int{}, lists: map[string]int{}, unavailable: unavailable}
}

var errInterrupted = errors.New("the watch was interrupted")

func (store *fakeStore) List(_ context.Context, prefix string) (lagoonlanding.Listing, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.unavailable && store.lists[prefix] == 1 {
		return lagoonlanding.Listing{}, lagoonlanding.ErrUnavailable
	}
	store.lists[prefix]++
	count := store.lists[prefix]
	return lagoonlanding.NewListing([]lagoonlanding.Entry{lagoonlanding.NewEntry("orders/one", []byte{byte(count)}, uint64(count))}, uint64(count)), nil
}

func (store *fakeStore) Watch(ctx context.Context, prefix string, _ uint64) (lagoonlanding.ChangeList, error) {
	store.mutex.Lock()
	store.watches[prefix]++
	isFirst := store.watches[prefix] == 1 && !store.unavailable
	store.mutex.Unlock()
	if isFirst {
		return lagoonlanding.ChangeList{}, errInterrupted
	}
	<-ctx.Done()
	return lagoonlanding.ChangeList{}, ctx.Err()
}

func (store *fakeStore) Get(context.Context, string) (lagoonlanding.Entry, error) {
	return lagoonlanding.Entry{}, lagoonlanding.ErrNotFound
}
func (store *fakeStore) ListStale(context.Context, string) (lagoonlanding.Listing, error) {
	if store.unavailable {
		return lagoonlanding.Listing{}, lagoonlanding.ErrUnavailable
	}
	return lagoonlanding.Listing{}, nil
}
func (store *fakeStore) Commit(context.Context, lagoonlanding.Transaction) (uint64, error) {
	return 0, lagoonlanding.ErrUnavailable
}
func (store *fakeStore) Grant(context.Context, time.Duration) (lagoonlanding.LeaseID, error) {
	return 0, lagoonlanding.ErrUnavailable
}
func (store *fakeStore) KeepAlive(context.Context, lagoonlanding.LeaseID) error {
	return lagoonlanding.ErrUnavailable
}

// versionCodec decodes a configuration whose value is one byte, its version.
type versionCodec struct{}

func (versionCodec) Encode(lagoonlanding.Directive) ([]byte, error) { return nil, nil }
func (versionCodec) Decode(entry lagoonlanding.Entry) (lagoonlanding.Directive, error) {
	return lagoonlanding.NewRoutingDirective(lagoonlanding.NewRouting(lagoonlanding.RoutingConfig{Version: int64(entry.Value()[0])})), nil
}

type noGate struct{}

func (noGate) Open(lagoonlanding.BackendID, int, time.Time, float64) {}
func (noGate) CloseAt(time.Time, lagoonlanding.Reason)               {}
func (noGate) Close(lagoonlanding.Reason)                            {}
func (noGate) EndBy(time.Time)                                       {}

func newSyncer(store lagoonlanding.MetadataStore) *Syncer {
	return newSyncerOf(store, registrar.Config{})
}

// newSyncerOf returns a syncer whose daemon registers without a backend server once all assignments from before its start have expired.
func newSyncerOf(store lagoonlanding.MetadataStore, fleet registrar.Config) *Syncer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry := logrus.NewEntry(log)
	self := lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: lagoonlanding.NewBackendID("self", "", 0), PeerAddress: "p"})
	return New(Config{
		Coordinator: coordinator.New(time.Now(), coordinator.Config{
			Self: self, Fleet: registrar.NewFleet(fleet), Assigner: assigner.New(assigner.Config{Daemon: "self"}), Gate: noGate{}, Log: entry,
		}),
		Store: store, Daemon: "self", FleetJournal: relayer.NewJournal(coordinator.FleetPrefix), DirectiveJournal: relayer.NewJournal("orders/"),
		Directives: versionCodec{}, Clock: timekeeper.Clock{}, Log: entry,
	})
}

func TestConfigurationIsListedAgainAfterAnInterruptedWatch(t *testing.T) {
	store := newFakeStore(false)
	syncer := newSyncer(store)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { syncer.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if routing := syncer.config.Coordinator.Snapshot().Routing(); routing != nil && routing.Version() > 1 {
			return
		}
	}
	t.Error("the configuration written while the watch was interrupted is not in force within two seconds")
}

func TestChangesAreNotRelayedWhileTheStoreDoesNotAnswer(t *testing.T) {
	store := newFakeStore(true)
	syncer := newSyncer(store)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { syncer.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	waitUntil := func(failure string, timeout time.Duration, isExpected func(err error) bool) {
		for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			if _, err := syncer.config.DirectiveJournal.List(ctx, "orders/"); isExpected(err) {
				return
			}
		}
		t.Fatal(failure)
	}
	waitUntil("changes are never relayed", time.Second, func(err error) bool { return err == nil })
	// The journal stays disconnected until the store answers again.
	defer waitUntil("changes are relayed again", time.Second, func(err error) bool { return err != nil })
	waitUntil("changes are still relayed after the store stopped answering", maxAnswerAge+renewInterval+time.Second, func(err error) bool { return err != nil })
}

// compactingStore compacts its history every 300 ms.
type compactingStore struct{ *fakeStore }

func (store compactingStore) Watch(ctx context.Context, _ string, _ uint64) (lagoonlanding.ChangeList, error) {
	select {
	case <-ctx.Done():
		return lagoonlanding.ChangeList{}, ctx.Err()
	case <-time.After(300 * time.Millisecond):
		return lagoonlanding.ChangeList{}, lagoonlanding.ErrCompacted
	}
}

func (store compactingStore) KeepAlive(context.Context, lagoonlanding.LeaseID) error { return nil }

func (store compactingStore) Grant(context.Context, time.Duration) (lagoonlanding.LeaseID, error) {
	return 1, nil
}

func TestFollowersReceiveChangesAfterTheStoreCompacts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		syncer := newSyncer(compactingStore{newFakeStore(false)})
		run(t, syncer)
		time.Sleep(2 * time.Second)
		revision := syncer.config.DirectiveJournal.Revision()
		for range 20 {
			changes, err := syncer.config.DirectiveJournal.Watch(t.Context(), "orders/", revision)
			if err != nil {
				t.Fatalf("a follower at revision %d got %v", revision, err)
			}
			revision = changes.Revision()
		}
		if revision < 10 {
			t.Errorf("followers only reached revision %d", revision)
		}
	})
}
