package registrar

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

var start = time.Unix(1000, 0)

func registered(daemon, server string, born int64) lagoonlanding.Backend {
	return lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
		ID: lagoonlanding.NewBackendID(daemon, server, born), PeerAddress: "10.0.0.1:1", AvailabilityZone: "z", Region: "r", Service: "s",
		Slots: 6, State: lagoonlanding.BackendReady,
	})
}

func newFleet() *Fleet {
	fleet := NewFleet(Config{GrantTerm: 7 * time.Second, Margin: time.Second})
	fleet.Settle(start)
	return fleet
}

func TestLifeIsGoneAtOnceIfItsDaemonSaysSo(t *testing.T) {
	fleet := newFleet()
	fleet.Register(registered("d", "a", 1), 5)
	id := lagoonlanding.NewBackendID("d", "a", 1)
	if fleet.IsGone(start.Add(time.Hour), id) {
		t.Error("a registered life is gone")
	}
	fleet.Register(registered("d", "b", 2), 6)
	if !fleet.IsGone(start, id) {
		t.Error("a life that another one follows is not gone")
	}
}

func TestUnregisteredLifeIsGoneOnlyAfterItsGrants(t *testing.T) {
	fleet := newFleet()
	id := lagoonlanding.NewBackendID("d", "a", 1)
	fleet.Register(registered("d", "a", 1), 5)
	if fleet.Unregister(start, "d", 4) {
		t.Error("an older removal was believed")
	}
	fleet.Unregister(start, "d", 6)
	if fleet.IsGone(start.Add(8*time.Second), id) || !fleet.IsGone(start.Add(8001*time.Millisecond), id) {
		t.Error("the grants are not waited for")
	}
	fleet.Unsettle()
	if fleet.IsGone(start.Add(time.Hour), id) {
		t.Error("an absence counts while the store is out of reach")
	}
	fleet.Settle(start.Add(time.Hour))
	if fleet.IsGone(start.Add(time.Hour+8*time.Second), id) || !fleet.IsGone(start.Add(time.Hour+9*time.Second), id) {
		t.Error("the absence does not count from the return of the store")
	}
}

func TestUnknownLifeIsGoneOnceTheViewIsOldEnough(t *testing.T) {
	fleet := newFleet()
	id := lagoonlanding.NewBackendID("never-seen", "a", 1)
	if fleet.IsGone(start.Add(8*time.Second), id) || !fleet.IsGone(start.Add(9*time.Second), id) {
		t.Error("a life that was never seen is not waited for")
	}
}

func TestDoubtEndsTheProof(t *testing.T) {
	var session Session
	session.Begin(1)
	session.Keep(start)
	session.Register(5)
	if !session.Proven().IsZero() {
		t.Error("a renewal proves a registration that nobody has seen")
	}
	session.Verify(start.Add(time.Second), 5)
	session.Keep(start.Add(2 * time.Second))
	if session.Proven() != start.Add(2*time.Second) {
		t.Errorf("proven at %v", session.Proven())
	}
	session.Doubt()
	session.Keep(start.Add(3 * time.Second))
	if session.Proven() != start.Add(2*time.Second) {
		t.Error("a renewal after a lost one proves that the entry stands")
	}
	session.Verify(start.Add(4*time.Second), 9)
	if session.IsRegistered() || session.IsVerified() {
		t.Error("an entry of another revision counts as the own one")
	}
}

func TestCodec(t *testing.T) {
	want := registered("d", "a", 1)
	encoded, err := Codec{}.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Codec{}.Decode(lagoonlanding.NewEntry("k", encoded, 1))
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(lagoonlanding.Backend{}, lagoonlanding.BackendID{})); err != nil || diff != "" {
		t.Error(err, diff)
	}
	for _, bad := range []string{"", "{}", `{"daemon":"d","peer-address":"a","state":"odd"}`, `{"daemon":7}`} {
		if _, err := (Codec{}).Decode(lagoonlanding.NewEntry("k", []byte(bad), 1)); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}
