package coordinator

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
	"lagoonlanding.example/lagoonlanding/mesh/grantor"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// recordingGate keeps what it was told last.
type recordingGate struct {
	open   bool
	leaves time.Time
}

func (gate *recordingGate) Open(lagoonlanding.BackendID, int, time.Time, float64) {
	gate.open, gate.leaves = true, time.Time{}
}
func (gate *recordingGate) CloseAt(at time.Time, _ lagoonlanding.Reason) { gate.leaves = at }
func (gate *recordingGate) Close(lagoonlanding.Reason)                   { gate.open = false }

// newDraining returns the control state of daemon d beside a backend server of service s.
func newDraining(start time.Time, gate lagoonlanding.Gate, isDivided bool) *Coordinator {
	log := logrus.New()
	log.SetOutput(io.Discard)
	coordinator := New(start, Config{
		Self:  lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: lagoonlanding.NewBackendID("d", "", 0), Service: "s"}),
		Fleet: registrar.NewFleet(registrar.Config{}), Grantor: grantor.New(grantor.Config{Daemon: "d"}), Gate: gate,
		DrainTerm: 2 * time.Second, EvacuateTerm: 1500 * time.Millisecond, Log: logrus.NewEntry(log),
	})
	coordinator.Direct(start, lagoonlanding.NewRoutingDirective(lagoonlanding.NewRouting(lagoonlanding.RoutingConfig{
		Version: 1, Services: []lagoonlanding.ServicePolicy{lagoonlanding.NewServicePolicy(lagoonlanding.ServicePolicyConfig{Name: "s", Divided: isDivided})},
	})))
	return coordinator
}

func TestLeavingServerOfADividedServiceServesItsKeysUntilTheBound(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, isDivided := range []bool{true, false} {
		gate := &recordingGate{}
		coordinator := newDraining(start, gate, isDivided)
		announce := func(at time.Time, sequence int64, state lagoonlanding.BackendState) {
			coordinator.Announce(at, lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
				Name: "server", Service: "s", StartedMilli: 1, Sequence: sequence, State: state, Slots: 6,
			}))
		}
		announce(start, 1, lagoonlanding.BackendReady)
		announce(start.Add(time.Second), 2, lagoonlanding.BackendDraining)
		announce(start.Add(2*time.Second), 3, lagoonlanding.BackendDraining)
		if gate.open != isDivided {
			t.Errorf("divided %v: open %v", isDivided, gate.open)
		}
		if isDivided && !gate.leaves.Equal(start.Add(3*time.Second)) {
			t.Errorf("it leaves %v after the first word of it", gate.leaves.Sub(start.Add(time.Second)))
		}
	}
}

func TestStoppingDaemonTakesTasksWhileClientsLeaveIt(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, isDivided := range []bool{true, false} {
		gate := &recordingGate{}
		coordinator := newDraining(start, gate, isDivided)
		coordinator.Announce(start, lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
			Name: "server", Service: "s", StartedMilli: 1, Sequence: 1, State: lagoonlanding.BackendReady, Slots: 6,
		}))
		coordinator.Stop(start.Add(time.Second))
		if coordinator.IsReady() {
			t.Errorf("divided %v: a daemon that stops says it is ready", isDivided)
		}
		if !gate.open || gate.leaves.IsZero() != isDivided {
			t.Errorf("divided %v: open %v until %v", isDivided, gate.open, gate.leaves)
		}
		if late := start.Add(2500 * time.Millisecond); !isDivided && gate.leaves.After(late) {
			t.Errorf("tasks are taken until %v after the stop, and may not end in time", gate.leaves.Sub(start.Add(time.Second)))
		}
	}
}

func TestServerInAnEvacuatedZoneServesItsKeysUntilTheyHaveMoved(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, isDivided := range []bool{true, false} {
		gate := &recordingGate{}
		coordinator := newDraining(start, gate, isDivided)
		coordinator.Announce(start, lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
			Name: "server", Service: "s", StartedMilli: 1, Sequence: 1, State: lagoonlanding.BackendReady, Slots: 6,
		}))
		// The daemon is in the zone without a name.
		known := start.Add(time.Second)
		coordinator.Direct(known, lagoonlanding.NewEvacuationDirective("z"))
		if !gate.open || !gate.leaves.IsZero() {
			t.Errorf("divided %v: another zone's evacuation closes the gate", isDivided)
		}
		coordinator.config.Self = lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
			ID: lagoonlanding.NewBackendID("d", "", 0), Service: "s", AvailabilityZone: "z",
		})
		for range 2 {
			// It may be told again, by another source.
			coordinator.Direct(known.Add(time.Second), lagoonlanding.NewEvacuationDirective("z"))
		}
		if gate.open != isDivided || isDivided && !gate.leaves.Equal(known.Add(1500*time.Millisecond)) {
			t.Errorf("divided %v: open %v until %v", isDivided, gate.open, gate.leaves)
		}
	}
}

func TestKeyIsAskedOfItsPriorHolderUntilThatHasLetGo(t *testing.T) {
	prior, owner := lagoonlanding.NewBackendID("a", "server-a", 1), lagoonlanding.NewBackendID("b", "server-b", 1)
	backends := []lagoonlanding.Backend{
		lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: prior, Service: "s", AvailabilityZone: "z"}),
		lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: owner, Service: "s", AvailabilityZone: "y"}),
	}
	for _, isReleased := range []bool{false, true} {
		stripes := make([]allocator.Stripe, allocator.LeastStripes)
		for number := range stripes {
			config := allocator.StripeConfig{Owner: owner, Prior: prior, Token: 2}
			if isReleased {
				config.Prior = lagoonlanding.BackendID{}
			}
			stripes[number] = allocator.NewStripe(config)
		}
		snapshot := NewSnapshot(SnapshotConfig{
			Backends: backends, Evacuated: map[string]bool{"z": true},
			Allotments: map[string]*allocator.Allotment{"s": allocator.NewAllotment(allocator.AllotmentConfig{Service: "s", Version: 2, Stripes: stripes})},
		})
		want := prior
		if isReleased {
			want = owner
		}
		if got, ok := snapshot.Owner("s", 4711); !ok || got.ID() != want {
			t.Errorf("released %v: got %v, %v", isReleased, got.ID(), ok)
		}
	}
}
