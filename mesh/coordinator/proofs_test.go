package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

func TestWriteRequiresAbsenceOfFormerOwners(t *testing.T) {
	start := time.Unix(1000, 0)
	fleet := registrar.NewFleet(registrar.Config{VerificationTerm: 7 * time.Second, Margin: time.Second})
	fleet.SetComplete(start)
	var ids []lagoonlanding.BackendID
	for number := range 40 {
		id := lagoonlanding.NewBackendID(fmt.Sprint("d", number), "s", 1)
		ids = append(ids, id)
		fleet.Register(time.Unix(1000, 0), lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: id}), uint64(number+1))
		if number > 0 {
			fleet.Unregister(start, id.Daemon(), 100)
		}
	}
	late := start.Add(9 * time.Second)
	proofs := newProofs(fleet)
	if proofs.isExpired(late, ids[0]) {
		t.Error("a registered process is expired")
	}
	if !proofs.isExpired(late, lagoonlanding.NewBackendID("d0", "earlier", 0)) || len(proofs.preconditions) != 0 {
		t.Error("a process that was replaced by a later one is not expired, or requires a registration")
	}
	expired := 0
	for _, id := range ids[1:] {
		if proofs.isExpired(late, id) {
			expired++
		}
	}
	if expired != maxProofs || len(proofs.preconditions) != maxProofs || proofs.preconditions[0] != lagoonlanding.NewPrecondition(daemonPrefix+"d1", 0) {
		t.Errorf("%d processes expired with preconditions %v", expired, proofs.preconditions)
	}
	if !proofs.isExpired(late, ids[1]) || len(proofs.preconditions) != maxProofs {
		t.Error("an absence was recorded twice")
	}
}

// TestKeysOfALivingServerDoNotMoveOnAnOutdatedRegistration guards against two owners of a key: a planner that knows an older registration than
// the allotment takes the newer process for ended, so the store must check the registration together with the write.
func TestKeysOfALivingServerDoNotMoveOnAnOutdatedRegistration(t *testing.T) {
	for name, registered := range map[string]lagoonlanding.BackendID{
		"without a backend server": lagoonlanding.NewBackendID("d", "", 0), "with an earlier process": lagoonlanding.NewBackendID("d", "s", 1),
	} {
		fleet := registrar.NewFleet(registrar.Config{})
		fleet.Register(time.Unix(1000, 0), lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: registered}), 7)
		proofs := newProofs(fleet)
		if proofs.isExpired(time.Unix(1000, 0), lagoonlanding.NewBackendID("d", "s", 2)) &&
			!slices.Equal(proofs.preconditions, []lagoonlanding.Precondition{lagoonlanding.NewPrecondition(daemonPrefix+"d", 7)}) {
			t.Errorf("%s: the write depends on %v", name, proofs.preconditions)
		}
	}
}

func TestFirstDaemonOfAZoneWatchesTheStore(t *testing.T) {
	at := func(name, zone, region string) lagoonlanding.Backend {
		return lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: lagoonlanding.NewBackendID(name, "", 0), AvailabilityZone: zone, Region: region})
	}
	all := []lagoonlanding.Backend{
		at("a1", "a", "r"), at("a2", "a", "r"), at("a3", "a", "r"), at("a4", "a", "r"), at("a5", "a", "r"), at("b1", "b", "r"), at("b2", "b", "r"),
		at("c1", "c", "far"), at("d1", "d", "far"),
	}
	for name, want := range map[string]string{"a1": "[a1 b1 c1]", "a2": "[a1 a2 b1 c1]", "a5": "[a1 a2 a3 a5 b1 c1]", "d1": "[d1 c1 a1]"} {
		fleet := registrar.NewFleet(registrar.Config{})
		coordinator := &Coordinator{config: Config{Fleet: fleet}}
		for index, backend := range all {
			fleet.Register(time.Unix(1000, 0), backend, uint64(index+1))
			if backend.ID().Daemon() == name {
				coordinator.config.Self = backend
			}
		}
		var got []string
		for _, relay := range coordinator.relays() {
			got = append(got, relay.ID().Daemon())
		}
		if fmt.Sprint(got) != want {
			t.Errorf("%s has relays %v, want %s", name, got, want)
		}
	}
}
