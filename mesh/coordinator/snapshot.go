package coordinator

import (
	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

// SnapshotConfig holds the parts of a Snapshot.
type SnapshotConfig struct {
	// Routing is the newest publication, nil before the first.
	Routing *lagoonlanding.Routing
	// Revision is the store's revision up to which the fleet is known.
	Revision uint64
	// Backends are the daemons of the fleet.
	Backends []lagoonlanding.Backend
	// Allotments say who holds the keys of divided services.
	Allotments map[string]*allocator.Allotment
	// Relays are the daemons from which this one hears of changes, the preferred one first.
	Relays []lagoonlanding.Backend
	// Evacuated are the zones whose backend servers get nothing.
	Evacuated map[string]bool
}

// Snapshot is what traffic reads of the control state; it does not change.
type Snapshot struct {
	config   SnapshotConfig
	services map[string][]lagoonlanding.Backend
	daemons  map[string]lagoonlanding.Backend
}

// NewSnapshot returns the snapshot that the configuration describes, indexed for requests.
func NewSnapshot(config SnapshotConfig) *Snapshot {
	snapshot := &Snapshot{
		config: config, services: map[string][]lagoonlanding.Backend{}, daemons: map[string]lagoonlanding.Backend{},
	}
	for _, backend := range config.Backends {
		snapshot.services[backend.Service()] = append(snapshot.services[backend.Service()], backend)
		snapshot.daemons[backend.ID().Daemon()] = backend
	}
	return snapshot
}

// Routing returns the newest publication, nil before the first.
func (snapshot *Snapshot) Routing() *lagoonlanding.Routing { return snapshot.config.Routing }

// Revision returns the store's revision up to which the fleet is known.
func (snapshot *Snapshot) Revision() uint64 { return snapshot.config.Revision }

// Candidates returns the backend servers of a service that take tasks in zones that are not evacuated.
func (snapshot *Snapshot) Candidates(service string) []lagoonlanding.Backend {
	var candidates []lagoonlanding.Backend
	for _, backend := range snapshot.services[service] {
		if backend.State() == lagoonlanding.BackendReady && !snapshot.config.Evacuated[backend.AvailabilityZone()] {
			candidates = append(candidates, backend)
		}
	}
	return candidates
}

// Owner returns the backend server to ask for a key: the prior one until it is known to have let go, and then the one that is to hold it.
//
// One in an evacuated zone serves its keys until they have moved; the daemon beside it knows for how long it may.
func (snapshot *Snapshot) Owner(service string, key int) (lagoonlanding.Backend, bool) {
	allotment, ok := snapshot.config.Allotments[service]
	if !ok {
		return lagoonlanding.Backend{}, false
	}
	stripe := allotment.StripeOf(key)
	holder := stripe.Owner()
	if !stripe.Prior().IsZero() {
		holder = stripe.Prior()
	}
	backend, ok := snapshot.daemons[holder.Daemon()]
	return backend, ok && backend.ID() == holder
}

// Peers returns the daemons of the fleet.
func (snapshot *Snapshot) Peers() []lagoonlanding.Backend { return snapshot.config.Backends }

// Relays returns the daemons from which this one hears of changes, the preferred one first; itself stands for the store.
func (snapshot *Snapshot) Relays() []lagoonlanding.Backend { return snapshot.config.Relays }

// Has reports whether the daemon is in the fleet.
func (snapshot *Snapshot) Has(daemon string) bool {
	_, ok := snapshot.daemons[daemon]
	return ok
}
