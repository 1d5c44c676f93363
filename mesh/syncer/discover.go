package syncer

import (
	"context"
	"slices"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

const (
	// discoverTerm bounds the search for daemons of the zone; of a whole fleet that starts some have registered within an announcement.
	discoverTerm = 1200 * time.Millisecond
	// discoverInterval is the time between two looks.
	discoverInterval = 400 * time.Millisecond
)

// discover looks for daemons of the zone that can tell the news, so that a daemon that starts does not read it all from the store.
//
// It ends without any if this daemon registers and comes first in its zone, if the store does not answer, or if nobody was found in time.
func (syncer *Syncer) discover(ctx context.Context) {
	for end := syncer.config.Clock.Now().Add(discoverTerm); ctx.Err() == nil && syncer.config.Clock.Now().Before(end); {
		seeds, err := syncer.peek(ctx)
		if len(seeds) > 0 {
			syncer.setSeeds(seeds)
			return
		}
		if err != nil || syncer.isRegistered() {
			return
		}
		syncer.sleep(ctx, discoverInterval)
	}
}

// peek returns the daemons of the zone that come before this one by name.
func (syncer *Syncer) peek(ctx context.Context) ([]lagoonlanding.Backend, error) {
	call, cancel := context.WithTimeout(ctx, callTerm)
	defer cancel()
	prefix := coordinator.ZonePrefix(syncer.config.AvailabilityZone)
	listing, err := syncer.config.Store.Peek(call, prefix)
	syncer.note("discovery", err)
	if err != nil {
		return nil, err
	}
	var seeds []lagoonlanding.Backend
	for _, entry := range listing.Entries() {
		name := strings.TrimPrefix(entry.Key(), prefix)
		if name < syncer.config.Daemon && len(entry.Value()) > 0 {
			seeds = append(seeds, lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
				ID: lagoonlanding.NewBackendID(name, "", 0), PeerAddress: string(entry.Value()), AvailabilityZone: syncer.config.AvailabilityZone,
			}))
		}
	}
	slices.SortFunc(seeds, func(a, b lagoonlanding.Backend) int { return strings.Compare(a.ID().Daemon(), b.ID().Daemon()) })
	return seeds[:min(len(seeds), maxSeeds)], nil
}

// maxSeeds bounds the daemons that a starting one asks before the store.
const maxSeeds = 3

// lookAgain renews what is known of the daemons of the zone while that is all that is known of the fleet.
func (syncer *Syncer) lookAgain(ctx context.Context) {
	if len(syncer.config.Coordinator.Snapshot().Relays()) > 1 {
		return
	}
	if seeds, err := syncer.peek(ctx); err == nil {
		syncer.setSeeds(seeds)
	}
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
