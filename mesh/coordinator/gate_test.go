package coordinator

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
	"lagoonlanding.example/lagoonlanding/mesh/assigner"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// recordingGate records the last call.
type recordingGate struct {
	open     bool
	closesAt time.Time
	endsBy   time.Time
}

func (gate *recordingGate) Open(lagoonlanding.BackendID, int, time.Time, float64) {
	gate.open, gate.closesAt = true, time.Time{}
}
func (gate *recordingGate) CloseAt(at time.Time, _ lagoonlanding.Reason) { gate.closesAt = at }
func (gate *recordingGate) Close(lagoonlanding.Reason)                   { gate.open = false }
func (gate *recordingGate) EndBy(at time.Time)                           { gate.endsBy = at }

// newCoordinator returns the control state of daemon d with a backend server of service s.
func newCoordinator(start time.Time, gate lagoonlanding.Gate, isDivided bool) *Coordinator {
	log := logrus.New()
	log.SetOutput(io.Discard)
	coordinator := New(start, Config{
		Self:  lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: lagoonlanding.NewBackendID("d", "", 0), PeerAddress: "d:1", Service: "s"}),
		Fleet: registrar.NewFleet(registrar.Config{}), Assigner: assigner.New(assigner.Config{Daemon: "d"}), Gate: gate,
		DrainTerm: 2 * time.Second, EvacuateTerm: 1500 * time.Millisecond, Log: logrus.NewEntry(log),
	})
	coordinator.ApplyDirective(start, lagoonlanding.NewRoutingDirective(lagoonlanding.NewRouting(lagoonlanding.RoutingConfig{
		Version: 1, Services: []lagoonlanding.ServicePolicy{lagoonlanding.NewServicePolicy(lagoonlanding.ServicePolicyConfig{Name: "s", Divided: isDivided})},
	})))
	return coordinator
}

func TestDrainingServerOfShardedServiceServesItsKeysUntilTheDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, isDivided := range []bool{true, false} {
		gate := &recordingGate{}
		coordinator := newCoordinator(start, gate, isDivided)
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
		if isDivided && !gate.closesAt.Equal(start.Add(3*time.Second)) {
			t.Errorf("the gate closes %v after the first draining announcement", gate.closesAt.Sub(start.Add(time.Second)))
		}
	}
}

func TestStoppingDaemonAcceptsTasksWhileClientsMoveAway(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, isDivided := range []bool{true, false} {
		gate := &recordingGate{}
		coordinator := newCoordinator(start, gate, isDivided)
		coordinator.Announce(start, lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
			Name: "server", Service: "s", StartedMilli: 1, Sequence: 1, State: lagoonlanding.BackendReady, Slots: 6,
		}))
		coordinator.Stop(start.Add(time.Second), start.Add(6*time.Second))
		if coordinator.IsReady() {
			t.Errorf("divided %v: a stopping daemon is ready", isDivided)
		}
		if want := start.Add(6 * time.Second); !gate.endsBy.Equal(want) {
			t.Errorf("divided %v: tasks may end by %v, want %v", isDivided, gate.endsBy, want)
		}
		if !gate.open || gate.closesAt.IsZero() != isDivided {
			t.Errorf("divided %v: open %v until %v", isDivided, gate.open, gate.closesAt)
		}
		if late := start.Add(2500 * time.Millisecond); !isDivided && gate.closesAt.After(late) {
			t.Errorf("tasks are accepted until %v after the stop, too late for them to end in time", gate.closesAt.Sub(start.Add(time.Second)))
		}
	}
}

func TestServerInEvacuatedZoneServesItsKeysUntilTheyHaveMoved(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, isDivided := range []bool{true, false} {
		gate := &recordingGate{}
		coordinator := newCoordinator(start, gate, isDivided)
		coordinator.Announce(start, lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
			Name: "server", Service: "s", StartedMilli: 1, Sequence: 1, State: lagoonlanding.BackendReady, Slots: 6,
		}))
		// The daemon's own zone has an empty name at first.
		evacuatedAt := start.Add(time.Second)
		coordinator.ApplyDirective(evacuatedAt, lagoonlanding.NewEvacuationDirective("z"))
		if !gate.open || !gate.closesAt.IsZero() {
			t.Errorf("divided %v: the evacuation of another zone closed the gate", isDivided)
		}
		coordinator.config.Self = lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
			ID: lagoonlanding.NewBackendID("d", "", 0), Service: "s", AvailabilityZone: "z",
		})
		for range 2 {
			// The directive may arrive again from another source.
			coordinator.ApplyDirective(evacuatedAt.Add(time.Second), lagoonlanding.NewEvacuationDirective("z"))
		}
		if gate.open != isDivided || isDivided && !gate.closesAt.Equal(evacuatedAt.Add(1500*time.Millisecond)) {
			t.Errorf("divided %v: open %v until %v", isDivided, gate.open, gate.closesAt)
		}
	}
}

func TestPriorOwnerServesKeyUntilItHasReleasedIt(t *testing.T) {
	prior, owner := lagoonlanding.NewBackendID("a", "server-a", 1), lagoonlanding.NewBackendID("b", "server-b", 1)
	backends := []lagoonlanding.Backend{
		lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: prior, Service: "s", AvailabilityZone: "z"}),
		lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: owner, Service: "s", AvailabilityZone: "y"}),
	}
	for _, isReleased := range []bool{false, true} {
		stripes := make([]allocator.Stripe, allocator.MinStripes)
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

// TestRestartedDaemonIgnoresAServerThatHasLeft plays a delayed announcement of an earlier process that arrives after a restart of the daemon.
func TestRestartedDaemonIgnoresAServerThatHasLeft(t *testing.T) {
	start := time.Unix(1000, 0)
	gate := &recordingGate{}
	coordinator := newCoordinator(start, gate, false)
	coordinator.config.Fleet.Register(start, lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: lagoonlanding.NewBackendID("d", "second", 2000), Service: "s"}), 5)
	announce := func(name string, startedMilli int64) bool {
		_, ok := coordinator.Announce(start, lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
			Name: name, Service: "s", StartedMilli: startedMilli, Sequence: 9, State: lagoonlanding.BackendReady, Slots: 6,
		}))
		return ok
	}
	if announce("first", 1000) || gate.open {
		t.Error("a process that has been replaced is in use again")
	}
	if !announce("second", 2000) || !gate.open {
		t.Error("the registered process is not used")
	}
	if !announce("third", 3000) || !gate.open {
		t.Error("a later process is not used")
	}
}

// TestRestartedDaemonKeepsNoOlderConfiguration plays a restarted daemon that first hears the newest configuration and then an older one.
func TestRestartedDaemonKeepsNoOlderConfiguration(t *testing.T) {
	coordinator := newCoordinator(time.Unix(1000, 0), &recordingGate{}, false)
	for _, version := range []int64{7, 3} {
		coordinator.ApplyDirective(time.Unix(1001, 0), lagoonlanding.NewRoutingDirective(lagoonlanding.NewRouting(lagoonlanding.RoutingConfig{Version: version})))
	}
	if got := coordinator.Snapshot().Routing().Version(); got != 7 {
		t.Errorf("version %d is in force", got)
	}
}

// TestDrainingServerThatRefusesConnectionsKeepsItsKeys covers one that has closed its listener and still works.
func TestDrainingServerThatRefusesConnectionsKeepsItsKeys(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, state := range []lagoonlanding.BackendState{lagoonlanding.BackendReady, lagoonlanding.BackendDraining} {
		coordinator := newCoordinator(start, &recordingGate{}, true)
		announce := func(sequence int64) bool {
			_, ok := coordinator.Announce(start.Add(time.Duration(sequence)*time.Second), lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
				Name: "server", Service: "s", StartedMilli: 1, Sequence: sequence, State: state, Slots: 6,
			}))
			return ok
		}
		announce(1)
		coordinator.ProcessEnded(coordinator.config.Assigner.ID())
		isDraining := state == lagoonlanding.BackendDraining
		if ended := coordinator.config.Assigner.HasEnded(); ended == isDraining {
			t.Errorf("%s: ended %v", state, ended)
		}
		if accepted := announce(2); accepted != isDraining {
			t.Errorf("%s: next announcement accepted %v", state, accepted)
		}
	}
}
