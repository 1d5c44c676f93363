package registrar

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Config holds the settings of a Fleet.
type Config struct {
	// VerificationTerm is how long a daemon may assign keys after its registration was last verified.
	VerificationTerm time.Duration
	// Margin allows for clock drift and late changes.
	Margin time.Duration
}

// Fleet tracks the daemons that are, or recently were, registered in the store.
//
// After a registration has disappeared, the backend server may still own keys until every assignment under the registration has expired.
type Fleet struct {
	config  Config
	daemons map[string]*daemon
	// completeSince is since when the view is complete after a start or an outage of the store; zero while it is not.
	completeSince time.Time
	// restoring means that the store was restored from a copy a short time ago, so that registrations may be missing or older than known.
	restoring bool
}

// daemon is the state of one daemon.
type daemon struct {
	backend  lagoonlanding.Backend
	revision uint64
	// processSince is since when the backend server's process is known to be the registered one.
	processSince time.Time
	// unregisteredAt is when the registration was found to have disappeared; zero while it exists.
	unregisteredAt time.Time
	// restored is the registration in the store while that is older than the known one after a restore, zero for none.
	restored lagoonlanding.Backend
}

// NewFleet returns a Fleet without daemons.
func NewFleet(config Config) *Fleet { return &Fleet{config: config, daemons: map[string]*daemon{}} }

// Register records a registration and its revision in the store, and reports whether it changes the fleet.
func (fleet *Fleet) Register(now time.Time, backend lagoonlanding.Backend, revision uint64) bool {
	known, ok := fleet.daemons[backend.ID().Daemon()]
	if ok && revision <= known.revision {
		return false
	}
	registered := &daemon{backend: backend, revision: revision, processSince: now}
	if ok && fleet.restoring && isEarlierProcess(backend.ID(), known.backend.ID()) {
		registered.backend, registered.restored = known.backend, backend
	}
	if ok && known.unregisteredAt.IsZero() && known.backend.ID() == registered.backend.ID() {
		registered.processSince = known.processSince
	}
	fleet.daemons[backend.ID().Daemon()] = registered
	return !ok || !known.unregisteredAt.IsZero() || known.backend != registered.backend
}

// Unregister records that the daemon's registration is no longer in the store, and reports whether that changes the fleet.
func (fleet *Fleet) Unregister(now time.Time, name string, revision uint64) bool {
	known, ok := fleet.daemons[name]
	if !ok || revision <= known.revision || !known.unregisteredAt.IsZero() {
		return false
	}
	known.revision, known.unregisteredAt = revision, now
	return true
}

// SetComplete records that the view is complete from now on; the assignments of unregistered daemons expire a verification term and a margin after that.
func (fleet *Fleet) SetComplete(now time.Time) {
	fleet.completeSince = now
	for _, known := range fleet.daemons {
		if !known.unregisteredAt.IsZero() {
			known.unregisteredAt = now
		}
	}
}

// SetIncomplete records that the daemon is disconnected from the store: no assignments of unregistered daemons expire until it is connected again.
func (fleet *Fleet) SetIncomplete() { fleet.completeSince = time.Time{} }

// IsComplete reports whether the view is complete, so that the assignments of unregistered daemons can expire.
func (fleet *Fleet) IsComplete() bool { return !fleet.completeSince.IsZero() }

// IsExpired reports whether a process can no longer own any key.
//
// That a daemon has registered an earlier process proves nothing yet: the registration may be older than what names the process, or made for a delayed
// announcement after a restart. But the daemon assigns keys only to the process that it registers.
func (fleet *Fleet) IsExpired(now time.Time, id lagoonlanding.BackendID) bool {
	known, ok := fleet.daemons[id.Daemon()]
	if ok && known.unregisteredAt.IsZero() {
		registered := known.backend.ID()
		if registered.Name() != "" && registered.StartedMilli() < id.StartedMilli() {
			return now.After(fleet.AssignmentsExpireAt(known.processSince))
		}
		return registered != id
	}
	if fleet.completeSince.IsZero() {
		return false
	}
	since := fleet.completeSince
	if ok && known.unregisteredAt.After(since) {
		since = known.unregisteredAt
	}
	return now.After(fleet.AssignmentsExpireAt(since))
}

// IsOutlived reports whether the daemon has registered a later process, which stays true whatever it registers next.
func (fleet *Fleet) IsOutlived(id lagoonlanding.BackendID) bool {
	known, ok := fleet.daemons[id.Daemon()]
	return ok && known.backend.ID().StartedMilli() > id.StartedMilli()
}

// Revision returns the revision of the daemon's registration in the store, zero if it is not registered.
func (fleet *Fleet) Revision(name string) uint64 {
	known, ok := fleet.daemons[name]
	if !ok || !known.unregisteredAt.IsZero() {
		return 0
	}
	return known.revision
}

// AssignmentsExpireAt returns when all assignments made until the given time have expired.
func (fleet *Fleet) AssignmentsExpireAt(since time.Time) time.Time {
	return since.Add(fleet.config.VerificationTerm + fleet.config.Margin)
}

// NextExpiry returns when the next assignments expire: those of an unregistered daemon, or of a process that its daemon has replaced; zero for none.
func (fleet *Fleet) NextExpiry(now time.Time) time.Time {
	var next time.Time
	if fleet.completeSince.IsZero() {
		return next
	}
	consider := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	consider(fleet.AssignmentsExpireAt(fleet.completeSince))
	for _, known := range fleet.daemons {
		if !known.unregisteredAt.IsZero() {
			consider(fleet.AssignmentsExpireAt(known.unregisteredAt))
		} else {
			consider(fleet.AssignmentsExpireAt(known.processSince))
		}
	}
	return next
}

// RemoveExpired removes unregistered daemons whose assignments have expired.
func (fleet *Fleet) RemoveExpired(now time.Time) {
	maps.DeleteFunc(fleet.daemons, func(_ string, known *daemon) bool {
		return !known.unregisteredAt.IsZero() && now.After(fleet.AssignmentsExpireAt(known.unregisteredAt))
	})
}

// Backend returns the daemon's backend server as last registered; it returns false if it never was.
func (fleet *Fleet) Backend(daemon string) (lagoonlanding.Backend, bool) {
	known, ok := fleet.daemons[daemon]
	if !ok {
		return lagoonlanding.Backend{}, false
	}
	return known.backend, true
}

// Backends returns the daemons that are registered or may still be running, ordered by name.
func (fleet *Fleet) Backends() []lagoonlanding.Backend {
	var backends []lagoonlanding.Backend
	for _, known := range fleet.daemons {
		backends = append(backends, known.backend)
	}
	slices.SortFunc(backends, byDaemon)
	return backends
}

// Registered returns the daemons that are registered, ordered by name; after a restore of the store also those that have yet to register again.
func (fleet *Fleet) Registered() []lagoonlanding.Backend {
	var backends []lagoonlanding.Backend
	for _, known := range fleet.daemons {
		if known.unregisteredAt.IsZero() || fleet.restoring {
			backends = append(backends, known.backend)
		}
	}
	slices.SortFunc(backends, byDaemon)
	return backends
}

// Names returns the sorted names of the registered daemons, to compare them with a new listing.
func (fleet *Fleet) Names() []string {
	var names []string
	for name, known := range fleet.daemons {
		if known.unregisteredAt.IsZero() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// byDaemon orders backend servers by the names of their daemons.
func byDaemon(a, b lagoonlanding.Backend) int { return cmp.Compare(a.ID().Daemon(), b.ID().Daemon()) }
