package coordinator

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// commitAll carries out the writes that are due, each with the lease that it needs.
func commitAll(t *testing.T, coordinator *Coordinator, store *simStore, now time.Time) {
	t.Helper()
	for range 10 {
		write, _, ok := coordinator.NextWrite(now)
		if !ok {
			return
		}
		if term := write.LeaseTerm(); term > 0 {
			store.lastLease++
			store.expiries[100+store.lastLease] = now.Add(term)
			write = write.WithLease(100 + store.lastLease)
		}
		revision, err := store.commit(write.Transaction())
		coordinator.WriteDone(now, write, revision, err)
	}
	t.Fatal("writes are due without end")
}

// TestServerThatHasLeftIsNotInUseAgainAfterARestart guards against a restarted daemon that takes a delayed announcement of a backend server for its
// present state, though the daemon had acknowledged before that the backend server leaves.
func TestServerThatHasLeftIsNotInUseAgainAfterARestart(t *testing.T) {
	leavings := map[string]func(coordinator *Coordinator, now time.Time){
		"deregistration": func(coordinator *Coordinator, now time.Time) { coordinator.Deregister(now, "server", 0) },
		"response": func(coordinator *Coordinator, now time.Time) {
			coordinator.BackendLeaving(now, coordinator.config.Assigner.ID())
		},
		"announcement": func(coordinator *Coordinator, now time.Time) {
			coordinator.Announce(now, lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
				Name: "server", Service: "s", StartedMilli: 1, Sequence: 5, State: lagoonlanding.BackendDraining, Slots: 6,
			}))
		},
	}
	for name, leave := range leavings {
		for _, isDivided := range []bool{false, true} {
			now := time.Unix(1000, 0)
			store := newLeasedStore(now)
			before := newCoordinator(now, &recordingGate{}, isDivided)
			before.LeaseGranted(1)
			announce(before, now, "server", 1, 4)
			commitAll(t, before, store, now)
			leave(before, now)
			commitAll(t, before, store, now)
			if !before.departure.IsRecorded() {
				t.Fatalf("%s: the departure was not written", name)
			}
			// The lease of the registration ends before the daemon is back.
			store.remove(before.RegistrationKey())
			now = now.Add(5 * time.Second)
			gate := &recordingGate{}
			after := newCoordinator(now, gate, isDivided)
			after.LeaseGranted(1)
			announce(after, now, "server", 1, 3)
			commitAll(t, after, store, now)
			if gate.open && (gate.closesAt.IsZero() || gate.closesAt.After(now)) {
				t.Errorf("%s, divided %v: the gate is open until %v", name, isDivided, gate.closesAt)
			}
			if state := stored(t, after, store).State(); state != lagoonlanding.BackendDraining {
				t.Errorf("%s, divided %v: the backend server is registered as %s", name, isDivided, state)
			}
			announce(after, now, "server", 2, 1)
			commitAll(t, after, store, now)
			if state := stored(t, after, store).State(); state != lagoonlanding.BackendReady || !gate.open || !gate.closesAt.IsZero() {
				t.Errorf("%s, divided %v: a later process under the same name is registered as %s", name, isDivided, state)
			}
		}
	}
}

// TestLateDeregistrationOfAnEarlierProcessIsIgnored guards against a delayed notice that takes a backend server out of use that has started again
// under the same name.
func TestLateDeregistrationOfAnEarlierProcessIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	gate := &recordingGate{}
	coordinator := newCoordinator(now, gate, false)
	announce(coordinator, now, "server", 2, 1)
	if !coordinator.Deregister(now, "server", 1) || !gate.open {
		t.Error("the notice of an earlier process is not acknowledged, or closed the gate")
	}
	if !coordinator.Deregister(now, "other", 0) || !gate.open {
		t.Error("the notice of another process is not acknowledged, or closed the gate")
	}
	if !coordinator.Deregister(now, "server", 2) || gate.open {
		t.Error("the notice of the current process is not acknowledged, or left the gate open")
	}
}

// TestDeregistrationBeforeTheFirstAnnouncementIsNotForgotten covers a notice that a restarted daemon gets before it knows its backend server.
func TestDeregistrationBeforeTheFirstAnnouncementIsNotForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		startedMilli int64
		isRegistered bool
		want         bool
	}{
		"nothing is known of the process": {want: false},
		"with its start time":             {startedMilli: 1, want: true},
		"of the registered process":       {isRegistered: true, want: true},
	} {
		gate := &recordingGate{}
		coordinator := newCoordinator(now, gate, false)
		if test.isRegistered {
			coordinator.config.Fleet.Register(now, lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: lagoonlanding.NewBackendID("d", "server", 1)}), 5)
		}
		if got := coordinator.Deregister(now, "server", test.startedMilli); got != test.want {
			t.Errorf("%s: acknowledged %v", name, got)
		}
		if announce(coordinator, now, "server", 1, 3); test.want && gate.open {
			t.Errorf("%s: the gate is open", name)
		}
	}
}

// TestDepartureIsWrittenOnTopOfAnEarlierOne covers entries of an earlier process, of another writer and of an ended lease.
func TestDepartureIsWrittenOnTopOfAnEarlierOne(t *testing.T) {
	now := time.Unix(1000, 0)
	earlier, err := registrar.DepartureCodec{}.Encode(lagoonlanding.NewBackendID("d", "earlier", 1))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string][]byte{"earlier process": earlier, "another writer": []byte("7")} {
		gate := &recordingGate{}
		coordinator, store := newCoordinator(now, gate, false), newLeasedStore(now)
		store.put(coordinator.departureKey(), value, 1)
		coordinator.LeaseGranted(1)
		announce(coordinator, now, "server", 2, 1)
		commitAll(t, coordinator, store, now)
		if state := stored(t, coordinator, store).State(); state != lagoonlanding.BackendReady || !gate.open {
			t.Errorf("%s: the backend server is registered as %s", name, state)
		}
		store.remove(coordinator.departureKey())
		coordinator.Deregister(now, "server", 0)
		commitAll(t, coordinator, store, now)
		if id, err := (registrar.DepartureCodec{}).Decode(store.entries[coordinator.departureKey()]); err != nil || id != coordinator.config.Assigner.ID() {
			t.Errorf("%s: the departure of %v is stored, %v", name, id, err)
		}
	}
}
