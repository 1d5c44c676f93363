package coordinator

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// announce passes a ready announcement of a process to the control state of daemon d.
func announce(coordinator *Coordinator, now time.Time, name string, startedMilli, sequence int64) bool {
	_, ok := coordinator.Announce(now, lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
		Name: name, Service: "s", StartedMilli: startedMilli, Sequence: sequence, State: lagoonlanding.BackendReady, Slots: 6,
	}))
	return ok
}

// newLeasedStore returns an empty store in which lease 1 exists.
func newLeasedStore(now time.Time) *simStore {
	return &simStore{
		entries: map[string]lagoonlanding.Entry{}, leases: map[string]lagoonlanding.LeaseID{},
		expiries: map[lagoonlanding.LeaseID]time.Time{1: now.Add(time.Hour)},
	}
}

// nextWrite returns the write that is due.
func nextWrite(t *testing.T, coordinator *Coordinator, now time.Time) Write {
	t.Helper()
	write, _, ok := coordinator.NextWrite(now)
	if !ok {
		t.Fatal("no write is due")
	}
	return write
}

// commitNext carries out the write that is due and passes its result on.
func commitNext(t *testing.T, coordinator *Coordinator, store *simStore, now time.Time) error {
	t.Helper()
	write := nextWrite(t, coordinator, now)
	revision, err := store.commit(write.Transaction())
	coordinator.WriteDone(now, write, revision, err)
	return err
}

// stored returns the registration of daemon d in the store.
func stored(t *testing.T, coordinator *Coordinator, store *simStore) lagoonlanding.Backend {
	t.Helper()
	backend, err := registrar.Codec{}.Decode(store.entries[coordinator.RegistrationKey()])
	if err != nil {
		t.Fatal(err)
	}
	return backend
}

// TestLateWriteOfARegistrationReplacesNoNewerOne guards against a store that carries out a write without an answer seconds later: the
// registration would say that the daemon has no backend server, and others would take over the keys of the running one.
func TestLateWriteOfARegistrationReplacesNoNewerOne(t *testing.T) {
	now := time.Unix(1000, 0)
	coordinator, store := newCoordinator(now, &recordingGate{}, true), newLeasedStore(now)
	coordinator.LeaseGranted(1)
	announce(coordinator, now, "first", 1, 1)
	if err := commitNext(t, coordinator, store, now); err != nil {
		t.Fatal(err)
	}
	coordinator.ProcessEnded(coordinator.config.Assigner.ID())
	late := nextWrite(t, coordinator, now)
	coordinator.WriteDone(now, late, 0, lagoonlanding.ErrUnknown)
	now = now.Add(time.Second)
	announce(coordinator, now, "second", 2, 1)
	if err := commitNext(t, coordinator, store, now); err != nil {
		t.Fatal(err)
	}
	if _, err := store.commit(late.Transaction()); err == nil {
		t.Errorf("the late write took effect: %v is registered", stored(t, coordinator, store).ID())
	}
}

// TestRegistrationIsWrittenAgainAfterAWriteWithoutAnswer guards against a daemon that returns to its earlier registration without a write, while
// the store may still carry out the one in between.
func TestRegistrationIsWrittenAgainAfterAWriteWithoutAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	coordinator, store := newCoordinator(now, &recordingGate{}, true), newLeasedStore(now)
	coordinator.LeaseGranted(1)
	announce(coordinator, now, "server", 1, 1)
	if err := commitNext(t, coordinator, store, now); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	late := nextWrite(t, coordinator, now)
	if late.backend.State() != lagoonlanding.BackendDraining {
		t.Fatalf("a silent backend server is registered as %s", late.backend.State())
	}
	coordinator.WriteDone(now, late, 0, lagoonlanding.ErrUnknown)
	now = now.Add(time.Second)
	announce(coordinator, now, "server", 1, 2)
	if err := commitNext(t, coordinator, store, now); err != nil {
		t.Fatal(err)
	}
	if _, err := store.commit(late.Transaction()); err == nil || stored(t, coordinator, store).State() != lagoonlanding.BackendReady {
		t.Errorf("the late write took effect: the backend server is registered as %s", stored(t, coordinator, store).State())
	}
}

// TestReplacedRegistrationIsWrittenAgain covers an entry that was changed by an earlier process of the daemon or by another writer.
func TestReplacedRegistrationIsWrittenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	coordinator, store := newCoordinator(now, &recordingGate{}, true), newLeasedStore(now)
	store.put(coordinator.RegistrationKey(), []byte("an earlier process"), 1)
	coordinator.LeaseGranted(1)
	announce(coordinator, now, "server", 1, 1)
	if err := commitNext(t, coordinator, store, now); err == nil {
		t.Fatal("the first write replaced an entry that the daemon did not know")
	}
	if err := commitNext(t, coordinator, store, now); err != nil {
		t.Fatalf("the write on top of the known entry failed: %v", err)
	}
	revision := store.put(coordinator.RegistrationKey(), []byte("another writer"), 1)
	coordinator.Apply(now, lagoonlanding.NewChangeList([]lagoonlanding.Change{lagoonlanding.NewChange(store.entries[coordinator.RegistrationKey()], false)}, revision))
	if err := commitNext(t, coordinator, store, now); err != nil {
		t.Fatalf("the write on top of the other writer's entry failed: %v", err)
	}
	if id := stored(t, coordinator, store).ID(); id != coordinator.config.Assigner.ID() {
		t.Errorf("%v is registered", id)
	}
	if _, _, ok := coordinator.NextWrite(now); ok {
		t.Error("another write is due")
	}
}
