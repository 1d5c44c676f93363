package registrar

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Config holds what a Fleet is built from.
type Config struct {
	// GrantTerm is how long a daemon may go on granting keys after the last proof that it is registered.
	GrantTerm time.Duration
	// Margin covers clocks that run apart and news that is late.
	Margin time.Duration
}

// Fleet knows every daemon that is, or lately was, registered in the store.
//
// A registration that has gone proves nothing about the backend server until every grant under it has run out.
type Fleet struct {
	config  Config
	daemons map[string]*daemon
	// settled is when the view was last complete after a start or a loss of the store; zero while it is not.
	settled time.Time
}

// daemon is what is known of one daemon.
type daemon struct {
	backend  lagoonlanding.Backend
	revision uint64
	// unlisted is when the registration was seen to be gone; zero while it is there.
	unlisted time.Time
}

// NewFleet returns a fleet without daemons.
func NewFleet(config Config) *Fleet { return &Fleet{config: config, daemons: map[string]*daemon{}} }

// Register notes a registration that the store holds at a revision, and reports whether it is news.
func (fleet *Fleet) Register(backend lagoonlanding.Backend, revision uint64) bool {
	known, ok := fleet.daemons[backend.ID().Daemon()]
	if ok && revision <= known.revision {
		return false
	}
	fleet.daemons[backend.ID().Daemon()] = &daemon{backend: backend, revision: revision}
	return !ok || !known.unlisted.IsZero() || known.backend != backend
}

// Unregister notes that the store no longer holds the daemon's registration, and reports whether it is news.
func (fleet *Fleet) Unregister(now time.Time, name string, revision uint64) bool {
	known, ok := fleet.daemons[name]
	if !ok || revision <= known.revision || !known.unlisted.IsZero() {
		return false
	}
	known.revision, known.unlisted = revision, now
	return true
}

// Settle notes that the view is complete from now on: absences count from here.
func (fleet *Fleet) Settle(now time.Time) {
	fleet.settled = now
	for _, known := range fleet.daemons {
		if !known.unlisted.IsZero() {
			known.unlisted = now
		}
	}
}

// Unsettle notes that the store is out of reach: no absence counts until it is back.
func (fleet *Fleet) Unsettle() { fleet.settled = time.Time{} }

// IsSettled reports whether absences count.
func (fleet *Fleet) IsSettled() bool { return !fleet.settled.IsZero() }

// IsGone reports whether a life can hold no key any more.
func (fleet *Fleet) IsGone(now time.Time, id lagoonlanding.BackendID) bool {
	known, ok := fleet.daemons[id.Daemon()]
	if ok && known.unlisted.IsZero() {
		return known.backend.ID() != id
	}
	if fleet.settled.IsZero() {
		return false
	}
	since := fleet.settled
	if ok && known.unlisted.After(since) {
		since = known.unlisted
	}
	return now.After(fleet.GoneAt(since))
}

// IsRegistered reports whether the daemon is registered.
func (fleet *Fleet) IsRegistered(name string) bool {
	known, ok := fleet.daemons[name]
	return ok && known.unlisted.IsZero()
}

// GoneAt returns when grants that were made until the given time have run out.
func (fleet *Fleet) GoneAt(since time.Time) time.Time {
	return since.Add(fleet.config.GrantTerm + fleet.config.Margin)
}

// NextGone returns when the next daemon that has no registration counts as gone, zero for none.
func (fleet *Fleet) NextGone(now time.Time) time.Time {
	var next time.Time
	if fleet.settled.IsZero() {
		return next
	}
	consider := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	consider(fleet.GoneAt(fleet.settled))
	for _, known := range fleet.daemons {
		if !known.unlisted.IsZero() {
			consider(fleet.GoneAt(known.unlisted))
		}
	}
	return next
}

// Forget drops daemons that have been gone for so long that no key can name them.
func (fleet *Fleet) Forget(now time.Time) {
	maps.DeleteFunc(fleet.daemons, func(_ string, known *daemon) bool {
		return !known.unlisted.IsZero() && now.After(fleet.GoneAt(known.unlisted))
	})
}

// Backends returns the daemons that are registered, or may still be up, ordered by name.
func (fleet *Fleet) Backends() []lagoonlanding.Backend {
	var backends []lagoonlanding.Backend
	for _, known := range fleet.daemons {
		backends = append(backends, known.backend)
	}
	slices.SortFunc(backends, byDaemon)
	return backends
}

// Registered returns the daemons that are registered, ordered by name.
func (fleet *Fleet) Registered() []lagoonlanding.Backend {
	var backends []lagoonlanding.Backend
	for _, known := range fleet.daemons {
		if known.unlisted.IsZero() {
			backends = append(backends, known.backend)
		}
	}
	slices.SortFunc(backends, byDaemon)
	return backends
}

// Names returns the names of the registered daemons, for telling which of them a new listing lacks.
func (fleet *Fleet) Names() []string {
	var names []string
	for name, known := range fleet.daemons {
		if known.unlisted.IsZero() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func byDaemon(a, b lagoonlanding.Backend) int { return cmp.Compare(a.ID().Daemon(), b.ID().Daemon()) }
