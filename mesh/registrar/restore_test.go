package registrar

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Guards against daemons that count as gone, and processes that count as ended, because a restored store lacks their latest registrations.
func TestRestoredStoreProvesNothingForATime(t *testing.T) {
	fleet := newFleet()
	later, unseen := lagoonlanding.NewBackendID("d", "b", 2), lagoonlanding.NewBackendID("e", "c", 1)
	fleet.Register(start, newBackend("d", "b", 2), 9)
	fleet.Register(start, newBackend("e", "c", 1), 10)
	restored := start.Add(time.Minute)
	fleet.BeginRestore(restored)
	fleet.Register(restored, newBackend("d", "", 0), 1<<42|5)
	fleet.Unregister(restored, "e", 1<<42|8)
	if backend, _ := fleet.Backend("d"); backend.ID() != later || fleet.IsExpired(restored, later) || len(fleet.Registered()) != 2 {
		t.Errorf("%v of %v is in use during the restore", backend, fleet.Registered())
	}
	settled := restored.Add(8001 * time.Millisecond)
	if fleet.IsExpired(restored.Add(8*time.Second), unseen) || !fleet.IsExpired(settled, unseen) {
		t.Error("the missing process did not expire together with its assignments")
	}
	fleet.EndRestore(settled)
	if backend, _ := fleet.Backend("d"); backend.ID().Name() != "" || len(fleet.Registered()) != 1 {
		t.Errorf("%v of %v is in use after the restore", backend, fleet.Registered())
	}
}
