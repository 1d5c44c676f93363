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
	if !fleet.EndRestore(settled) || fleet.EndRestore(settled) {
		t.Error("the restore did not end once")
	}
	if backend, _ := fleet.Backend("d"); backend.ID().Name() != "" || len(fleet.Registered()) != 1 {
		t.Errorf("%v of %v is in use after the restore", backend, fleet.Registered())
	}
}

// Guards against a registration that counts as verified in an era of the store in which it was never written.
func TestSessionBeginsAnewInALaterEra(t *testing.T) {
	session := &Session{}
	session.Begin(4)
	session.Register(9)
	session.Verify(start, 9)
	session.BeginEra()
	session.Renewed(start.Add(time.Second))
	session.Verify(start.Add(time.Second), 9)
	if session.Lease() != 0 || session.IsRegistered() || session.Stored() != 0 || !session.VerifiedAt().Equal(start) || !session.EarlierVerifiedAt().Equal(start) {
		t.Errorf("got %+v", session)
	}
	session.Begin(5)
	session.Register(1<<42 | 3)
	session.Verify(start.Add(2*time.Second), 1<<42|3)
	if !session.EarlierVerifiedAt().Equal(start) || !session.VerifiedAt().Equal(start.Add(2*time.Second)) {
		t.Errorf("got %+v", session)
	}
}
