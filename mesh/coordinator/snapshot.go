package coordinator

import (
	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

// SnapshotConfig holds the fields of a Snapshot.
type SnapshotConfig struct {
	// Routing is the newest configuration, nil before the first.
	Routing *lagoonlanding.Routing
	// Revision is the store revision up to which the fleet is known.
	Revision uint64
	// Backends are the daemons of the fleet.
	Backends []lagoonlanding.Backend
	// Allotments maps each sharded service to the owners of its keys.
	Allotments map[string]*allocator.Allotment
	// Relays are the daemons from which this one receives changes, in order of preference.
	Relays []lagoonlanding.Backend
	// Evacuated are the zones whose backend servers receive no tasks.
	Evacuated map[string]bool
}

// Snapshot is an immutable view of the control state for request handling.
type Snapshot struct {
	config SnapshotConfig
	// candidates are the ready backend servers of each service in zones that are not evacuated.
	candidates map[string][]lagoonlanding.Backend
	daemons    map[string]lagoonlanding.Backend
	// addresses maps the daemons by the addresses at which they accept tasks.
	addresses map[string]lagoonlanding.Backend
}

// NewSnapshot returns a snapshot with the given fields, indexed by service and by daemon; they must not be changed afterwards.
func NewSnapshot(config SnapshotConfig) *Snapshot {
	snapshot := &Snapshot{
		config: config, candidates: map[string][]lagoonlanding.Backend{}, daemons: map[string]lagoonlanding.Backend{},
		addresses: map[string]lagoonlanding.Backend{},
	}
	for _, backend := range config.Backends {
		if backend.State() == lagoonlanding.BackendReady && !config.Evacuated[backend.AvailabilityZone()] {
			snapshot.candidates[backend.Service()] = append(snapshot.candidates[backend.Service()], backend)
		}
		snapshot.daemons[backend.ID().Daemon()] = backend
		snapshot.addresses[backend.PeerAddress()] = backend
	}
	return snapshot
}

// Routing returns the newest configuration, nil before the first.
func (snapshot *Snapshot) Routing() *lagoonlanding.Routing { return snapshot.config.Routing }

// Revision returns the store revision up to which the fleet is known.
func (snapshot *Snapshot) Revision() uint64 { return snapshot.config.Revision }

// Candidates returns the ready backend servers of a service in zones that are not evacuated; callers must not change the list.
func (snapshot *Snapshot) Candidates(service string) []lagoonlanding.Backend {
	return snapshot.candidates[service]
}

// IsEvacuated reports whether a zone is evacuated.
func (snapshot *Snapshot) IsEvacuated(zone string) bool { return snapshot.config.Evacuated[zone] }

// Owner returns the backend server that serves a key: the prior owner until it is known to have released the key, then the new one.
//
// A backend server in an evacuated zone serves its keys until they have moved; its own daemon enforces the deadline.
func (snapshot *Snapshot) Owner(service string, key int) (lagoonlanding.Backend, bool) {
	allotment, ok := snapshot.config.Allotments[service]
	if !ok {
		return lagoonlanding.Backend{}, false
	}
	stripe := allotment.StripeOf(key)
	server := stripe.Owner()
	if !stripe.Prior().IsZero() {
		server = stripe.Prior()
	}
	backend, ok := snapshot.daemons[server.Daemon()]
	return backend, ok && backend.ID() == server
}

// Peers returns the daemons of the fleet.
func (snapshot *Snapshot) Peers() []lagoonlanding.Backend { return snapshot.config.Backends }

// Relays returns the daemons from which this one receives changes, in order of preference; the daemon itself stands for the store.
func (snapshot *Snapshot) Relays() []lagoonlanding.Backend { return snapshot.config.Relays }

// At returns the daemon that accepts tasks at an address.
func (snapshot *Snapshot) At(address string) (lagoonlanding.Backend, bool) {
	backend, ok := snapshot.addresses[address]
	return backend, ok
}

// Has reports whether the daemon is in the fleet.
func (snapshot *Snapshot) Has(daemon string) bool {
	_, ok := snapshot.daemons[daemon]
	return ok
}

// Daemon returns the daemon with the name.
func (snapshot *Snapshot) Daemon(name string) (lagoonlanding.Backend, bool) {
	backend, ok := snapshot.daemons[name]
	return backend, ok
}

// ZoneOf returns the availability zone of a daemon, empty if it is not in the fleet.
func (snapshot *Snapshot) ZoneOf(daemon string) string {
	return snapshot.daemons[daemon].AvailabilityZone()
}
