package syncer

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

const (
	// discoverTerm bounds the wait for the own registration, which follows the first announcement of the backend server.
	discoverTerm = 2500 * time.Millisecond
	// leaseWait bounds the wait for a lease: without one there is no registration to wait for.
	leaseWait = 300 * time.Millisecond
	// discoverInterval is the time between two looks whether this daemon has registered.
	discoverInterval = 50 * time.Millisecond
	// seedsByName and seedsByAge bound the daemons that a starting one asks before the store: in a fleet that runs, the first by name have
	// news, in one that starts, those that registered first.
	seedsByName = 2
	seedsByAge  = 2
)

// discover looks for daemons of the zone that can tell the news, so that a daemon that starts does not read it all from the store.
//
// A cheap read finds them in a fleet that runs. It may be too old to show a fleet that starts for the first time; then there is time, and
// the zone is listed once more after this daemon has registered.
func (syncer *Syncer) discover(ctx context.Context) {
	if isFound, err := syncer.search(ctx, syncer.config.Store.ListStale); isFound || err != nil || !syncer.config.FirstStart {
		return
	}
	began := syncer.config.Clock.Now()
	for ctx.Err() == nil && !syncer.isRegistered() {
		waited := syncer.config.Clock.Now().Sub(began)
		if waited > discoverTerm || waited > leaseWait && !syncer.hasLease() {
			return
		}
		syncer.sleep(ctx, discoverInterval)
	}
	if _, err := syncer.search(ctx, syncer.config.Store.List); err != nil {
		syncer.config.Log.WithError(err).Debug("Zone cannot be listed.")
	}
}

// search reads the zone and keeps the daemons that may have news; it is false if there are none.
func (syncer *Syncer) search(ctx context.Context, read func(context.Context, string) (lagoonlanding.Listing, error)) (bool, error) {
	call, cancel := context.WithTimeout(ctx, callTerm)
	defer cancel()
	prefix := coordinator.ZonePrefix(syncer.config.AvailabilityZone)
	listing, err := read(call, prefix)
	syncer.note("discovery", err)
	if err != nil {
		return false, err
	}
	var others []lagoonlanding.Entry
	for _, entry := range listing.Entries() {
		if entry.Key() != prefix+syncer.config.Daemon && len(entry.Value()) > 0 {
			others = append(others, entry)
		}
	}
	syncer.setSeeds(syncer.seedsOf(prefix, others))
	return len(others) > 0, nil
}

// seedsOf picks the first daemons by name, and then the first by registration.
func (syncer *Syncer) seedsOf(prefix string, entries []lagoonlanding.Entry) []lagoonlanding.Backend {
	byName := slices.SortedFunc(slices.Values(entries), func(a, b lagoonlanding.Entry) int { return strings.Compare(a.Key(), b.Key()) })
	byAge := slices.SortedFunc(slices.Values(entries), func(a, b lagoonlanding.Entry) int { return cmp.Compare(a.Revision(), b.Revision()) })
	picked := slices.Concat(byName[:min(len(byName), seedsByName)], byAge[:min(len(byAge), seedsByAge)])
	var seeds []lagoonlanding.Backend
	for _, entry := range picked {
		seed := lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
			ID: lagoonlanding.NewBackendID(strings.TrimPrefix(entry.Key(), prefix), "", 0), PeerAddress: string(entry.Value()),
			AvailabilityZone: syncer.config.AvailabilityZone,
		})
		if !slices.Contains(seeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// lookAgain renews what is known of the daemons of the zone while that is all that is known of the fleet.
func (syncer *Syncer) lookAgain(ctx context.Context) {
	if len(syncer.config.Coordinator.Snapshot().Relays()) > 1 {
		return
	}
	if _, err := syncer.search(ctx, syncer.config.Store.ListStale); err != nil {
		syncer.config.Log.WithError(err).Debug("Zone cannot be looked up.")
	}
}

func (syncer *Syncer) hasLease() (has bool) {
	syncer.control.Do(func(state *coordinator.Coordinator) { session := state.Session(); has = session.Lease() != 0 })
	return has
}

func (syncer *Syncer) isRegistered() (registered bool) {
	syncer.control.Do(func(state *coordinator.Coordinator) { session := state.Session(); registered = session.IsRegistered() })
	return registered
}

func (syncer *Syncer) setSeeds(seeds []lagoonlanding.Backend) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	syncer.seeds = seeds
}

// relays returns the daemons to ask for news, the preferred one first; this daemon stands for the store.
func (syncer *Syncer) relays() []lagoonlanding.Backend {
	relays := syncer.config.Coordinator.Snapshot().Relays()
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if len(relays) == 1 {
		// Nobody else is known yet.
		return slices.Concat(syncer.seeds, relays)
	}
	return relays
}
