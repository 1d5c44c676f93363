package coordinator

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
)

// TestLateWriteOfSuspectsReplacesNoNewerOnes guards against a store that carries out a write without an answer seconds later: daemons that start then
// would not learn of the requests that crashed backend servers in between.
func TestLateWriteOfSuspectsReplacesNoNewerOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	coordinator, store := newCoordinator(now, &recordingGate{}, false), newLeasedStore(now)
	coordinator.config.Quarantine = quarantiner.NewQuarantine(quarantiner.Config{})
	coordinator.LeaseGranted(1)
	announce(coordinator, now, "server", 1, 1)
	if err := commitNext(t, coordinator, store, now); err != nil {
		t.Fatal(err)
	}
	coordinator.CrashRecorded()
	late := nextWrite(t, coordinator, now)
	if late.kind != suspectsKind {
		t.Fatal("the suspects are not written")
	}
	coordinator.WriteDone(now, late, 0, lagoonlanding.ErrUnknown)
	for _, step := range []string{"first", "second"} {
		now = now.Add(time.Second)
		coordinator.CrashRecorded()
		if err := commitNext(t, coordinator, store, now); err != nil {
			t.Fatalf("%s write after the one without an answer: %v", step, err)
		}
	}
	if _, err := store.commit(late.Transaction()); err == nil {
		t.Error("the late write took effect")
	}
	store.remove(late.put.Key())
	coordinator.CrashRecorded()
	if err := commitNext(t, coordinator, store, now); err == nil {
		t.Fatal("a write on top of an entry that has gone took effect")
	}
	if err := commitNext(t, coordinator, store, now); err != nil {
		t.Errorf("the suspects are not written again: %v", err)
	}
}
