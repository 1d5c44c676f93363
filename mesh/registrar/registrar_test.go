package registrar

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

var start = time.Unix(1000, 0)

// newBackend returns the registration of a daemon with a backend server.
func newBackend(daemon, server string, startedMilli int64) lagoonlanding.Backend {
	return lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
		ID: lagoonlanding.NewBackendID(daemon, server, startedMilli), PeerAddress: "10.0.0.1:1", AvailabilityZone: "z", Region: "r", Service: "s",
		Slots: 6, State: lagoonlanding.BackendReady,
	})
}

// newFleet returns a fleet without daemons whose view is complete.
func newFleet() *Fleet {
	fleet := NewFleet(Config{VerificationTerm: 7 * time.Second, Margin: time.Second})
	fleet.SetComplete(start)
	return fleet
}

func TestProcessExpiresAtOnceWhenItsDaemonRegistersAnother(t *testing.T) {
	fleet := newFleet()
	fleet.Register(start, newBackend("d", "a", 1), 5)
	id := lagoonlanding.NewBackendID("d", "a", 1)
	if fleet.IsExpired(start.Add(time.Hour), id) {
		t.Error("a registered process is expired")
	}
	fleet.Register(start, newBackend("d", "b", 2), 6)
	if !fleet.IsExpired(start, id) {
		t.Error("a replaced process is not expired")
	}
}

// TestProcessOutlastsTheRegistrationOfAnEarlierOne guards against two owners of a key: a registration that is older than the allotment, or was made for a
// delayed announcement after a restart of the daemon, does not prove that a later process has ended.
func TestProcessOutlastsTheRegistrationOfAnEarlierOne(t *testing.T) {
	fleet := newFleet()
	fleet.Register(start, newBackend("d", "a", 1), 5)
	later := lagoonlanding.NewBackendID("d", "b", 2)
	if fleet.IsExpired(start.Add(8*time.Second), later) {
		t.Error("the later process is expired while assignments of its daemon may be in force")
	}
	fleet.Register(start.Add(6*time.Second), newBackend("d", "a", 1), 6)
	if !fleet.IsExpired(start.Add(8001*time.Millisecond), later) || !fleet.NextExpiry(start).Equal(start.Add(8*time.Second)) {
		t.Error("the later process did not expire together with its assignments")
	}
}

func TestUnregisteredProcessExpiresAfterItsAssignments(t *testing.T) {
	fleet := newFleet()
	id := lagoonlanding.NewBackendID("d", "a", 1)
	fleet.Register(start, newBackend("d", "a", 1), 5)
	if fleet.Unregister(start, "d", 4) {
		t.Error("a removal older than the registration was applied")
	}
	fleet.Unregister(start, "d", 6)
	if fleet.IsExpired(start.Add(8*time.Second), id) || !fleet.IsExpired(start.Add(8001*time.Millisecond), id) {
		t.Error("the process did not expire together with its assignments")
	}
	fleet.SetIncomplete()
	if fleet.IsExpired(start.Add(time.Hour), id) {
		t.Error("a process expired while the daemon is disconnected from the store")
	}
	fleet.SetComplete(start.Add(time.Hour))
	if fleet.IsExpired(start.Add(time.Hour+8*time.Second), id) || !fleet.IsExpired(start.Add(time.Hour+9*time.Second), id) {
		t.Error("the process did not expire a verification term and a margin after the reconnection to the store")
	}
}

func TestUnknownProcessExpiresOnceTheViewIsOldEnough(t *testing.T) {
	fleet := newFleet()
	id := lagoonlanding.NewBackendID("never-seen", "a", 1)
	if fleet.IsExpired(start.Add(8*time.Second), id) || !fleet.IsExpired(start.Add(9*time.Second), id) {
		t.Error("a process that was never registered did not expire after the verification term")
	}
}

func TestRenewalVerifiesOnlyAVerifiedRegistration(t *testing.T) {
	var session Session
	session.Begin(1)
	session.Renewed(start)
	session.Register(5)
	if !session.VerifiedAt().IsZero() {
		t.Error("a renewal verified a registration that was never read")
	}
	session.Verify(start.Add(time.Second), 5)
	session.Renewed(start.Add(2 * time.Second))
	if session.VerifiedAt() != start.Add(2*time.Second) {
		t.Errorf("verified at %v", session.VerifiedAt())
	}
	session.SetUnverified()
	session.Renewed(start.Add(3 * time.Second))
	if session.VerifiedAt() != start.Add(2*time.Second) {
		t.Error("a renewal after an unanswered one verified the registration")
	}
	session.Verify(start.Add(4*time.Second), 9)
	if session.IsRegistered() || session.IsVerified() {
		t.Error("an entry of another revision counts as the own registration")
	}
}

func TestRegistrationRoundTripAndInvalidEntries(t *testing.T) {
	want := newBackend("d", "a", 1)
	encoded, err := Codec{}.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Codec{}.Decode(lagoonlanding.NewEntry("daemons/d", encoded, 1))
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(lagoonlanding.Backend{}, lagoonlanding.BackendID{})); err != nil || diff != "" {
		t.Error(err, diff)
	}
	for _, bad := range []string{"", "{}", `{"daemon":"d","peer-address":"a","state":"odd"}`, `{"daemon":7}`} {
		if _, err := (Codec{}).Decode(lagoonlanding.NewEntry("daemons/d", []byte(bad), 1)); err == nil {
			t.Errorf("%q was decoded", bad)
		}
	}
}

func FuzzRegistration(f *testing.F) {
	f.Add([]byte(`{"daemon":"d","peer-address":"10.0.0.1:1","state":"ready","compact-heads":true}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		backend, err := Codec{}.Decode(lagoonlanding.NewEntry("daemons/d", value, 1))
		if err == nil && (backend.ID().Daemon() == "" || backend.PeerAddress() == "") {
			t.Error("accepted a registration without a name or an address")
		}
		if err == nil && (backend.Slots() < 0 || backend.Slots() > lagoonlanding.MaxSlots) {
			t.Errorf("accepted %d slots", backend.Slots())
		}
	})
}
