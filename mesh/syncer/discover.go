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
	// registrationTimeout bounds the wait for the own registration, which follows the first announcement of the backend server.
	registrationTimeout = 2500 * time.Millisecond
	// leaseTimeout bounds the wait for a lease: without one there is no registration to wait for.
	leaseTimeout = 300 * time.Millisecond
	// registrationPollInterval is the time between two checks whether this daemon has registered.
	registrationPollInterval = 50 * time.Millisecond
	// maxSeedsByName and maxSeedsByAge bound the daemons that a starting daemon asks before the store: in a running fleet the first by
	// name relay changes, in a starting fleet those that registered first.
	maxSeedsByName = 2
	maxSeedsByAge  = 2
)

// discover finds daemons of the zone that relay changes, so that a starting daemon doesn't have to read everything from the store.
//
// A cheap stale read finds them in a running fleet. It may be too old to show a fleet that starts for the first time; as nobody waits
// for this daemon then, it takes the time to register and lists the zone once more. In a large fleet the first announcement of its backend
// server may take longer than it waits, but others have registered by then.
func (syncer *Syncer) discover(ctx context.Context) {
	if isFound, err := syncer.findSeeds(ctx, syncer.config.Store.ListStale); isFound || err != nil || !syncer.config.FirstStart {
		return
	}
	start := syncer.config.Clock.Now()
	for ctx.Err() == nil && !syncer.isRegistered() {
		waited := syncer.config.Clock.Now().Sub(start)
		if waited > leaseTimeout && !syncer.hasLease() {
			return
		}
		if waited > registrationTimeout {
			break
		}
		syncer.sleep(ctx, registrationPollInterval)
	}
	if _, err := syncer.findSeeds(ctx, syncer.config.Store.List); err != nil {
		syncer.config.Log.WithError(err).Debug("Listing the daemons of the zone failed.")
	}
}

// findSeeds reads the zone's entries and stores the daemons to ask first; it returns false if there are none.
func (syncer *Syncer) findSeeds(ctx context.Context, read func(context.Context, string) (lagoonlanding.Listing, error)) (bool, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prefix := coordinator.ZonePrefix(syncer.config.AvailabilityZone)
	listing, err := read(limited, prefix)
	syncer.logDependency("discovery", err)
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

// seedsOf returns the first daemons by name, followed by the first by registration.
func (syncer *Syncer) seedsOf(prefix string, entries []lagoonlanding.Entry) []lagoonlanding.Backend {
	byName := slices.SortedFunc(slices.Values(entries), func(a, b lagoonlanding.Entry) int { return strings.Compare(a.Key(), b.Key()) })
	byAge := slices.SortedFunc(slices.Values(entries), func(a, b lagoonlanding.Entry) int { return cmp.Compare(a.Revision(), b.Revision()) })
	picked := slices.Concat(byName[:min(len(byName), maxSeedsByName)], byAge[:min(len(byAge), maxSeedsByAge)])
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

// refreshSeeds reads the zone's entries again while no relay is known.
func (syncer *Syncer) refreshSeeds(ctx context.Context) {
	if len(syncer.config.Coordinator.Snapshot().Relays()) > 1 {
		return
	}
	if _, err := syncer.findSeeds(ctx, syncer.config.Store.ListStale); err != nil {
		syncer.config.Log.WithError(err).Debug("Reading the daemons of the zone failed.")
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

// relays returns the daemons to receive changes from, in order of preference; this daemon stands for the store.
func (syncer *Syncer) relays() []lagoonlanding.Backend {
	relays := syncer.config.Coordinator.Snapshot().Relays()
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if len(relays) == 1 {
		// No other daemon of the fleet is known yet.
		return slices.Concat(syncer.seeds, relays)
	}
	return relays
}
