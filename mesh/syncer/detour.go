package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// detourTerm is how long calls go through another daemon before the store is asked itself again: each refusal has its price.
	detourTerm = 2500 * time.Millisecond
	// probeTerm bounds a call that only finds out whether the store answers again; a slow store answers in 0.3 s.
	probeTerm = 500 * time.Millisecond
	// detourCallTerm bounds a call through another daemon, so that two of them and a failed call fit into a lease.
	detourCallTerm = 600 * time.Millisecond
	// maxDetours is how many daemons are asked to carry one call out.
	maxDetours = 3
	// lendTerm is how long after the store's last answer a daemon carries calls of others out.
	lendTerm = 2 * time.Second
)

// detour is the way to the store through another daemon, for one that the store does not answer.
type detour struct {
	mutex sync.Mutex
	// through is the daemon that carried the last call out, zero for none.
	through lagoonlanding.Backend
	// until is when the store is asked itself again.
	until time.Time
}

// isOpen reports whether calls go through another daemon.
func (detour *detour) isOpen(now time.Time) bool {
	detour.mutex.Lock()
	defer detour.mutex.Unlock()
	return now.Before(detour.until)
}

// last returns the daemon that carried the last call out, zero if the store has answered itself since.
func (detour *detour) last() lagoonlanding.Backend {
	detour.mutex.Lock()
	defer detour.mutex.Unlock()
	return detour.through
}

// take opens the detour, and reports whether it was closed.
func (detour *detour) take(now time.Time, through lagoonlanding.Backend) (isNew bool) {
	detour.mutex.Lock()
	defer detour.mutex.Unlock()
	isNew = detour.through.ID().IsZero()
	detour.through = through
	if !now.Before(detour.until) {
		detour.until = now.Add(detourTerm)
	}
	return isNew
}

// leave closes the detour, and reports whether there was one.
func (detour *detour) leave() (was bool) {
	detour.mutex.Lock()
	defer detour.mutex.Unlock()
	was = !detour.through.ID().IsZero()
	detour.through, detour.until = lagoonlanding.Backend{}, time.Time{}
	return was
}

// isAnswer reports whether an error is what the store says, and not that it says nothing.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, lagoonlanding.ErrNotFound) || errors.Is(err, lagoonlanding.ErrConflict) || errors.Is(err, lagoonlanding.ErrLeaseEnded)
}

// call carries a call out at the store, or through other daemons if that does not answer; isDirect tells which.
//
// A call without an answer may take effect later. All calls bear being made twice: what is written depends on the revision before, or
// is the daemon's own.
func call[T any](ctx context.Context, syncer *Syncer, ask func(context.Context, lagoonlanding.LeaseStore) (T, error)) (answer T, isDirect bool, err error) {
	now := syncer.config.Clock.Now()
	if !syncer.detour.isOpen(now) {
		term := callTerm
		if !syncer.detour.last().ID().IsZero() {
			term = probeTerm
		}
		answer, err = direct(ctx, syncer, term, ask)
		if isAnswer(err) {
			if syncer.detour.leave() {
				syncer.config.Log.WithField("dependency", "store").Info("Store answers itself again.")
			}
			return answer, true, err
		}
	}
	for _, peer := range syncer.detours() {
		limited, cancel := context.WithTimeout(ctx, detourCallTerm)
		carried, failure := ask(limited, syncer.config.Stores.Store(peer.PeerAddress()))
		cancel()
		if isAnswer(failure) {
			if syncer.detour.take(syncer.config.Clock.Now(), peer) {
				syncer.config.Log.WithField("dependency", "store").WithField("through", peer.ID().Daemon()).WithError(err).
					Warn("Store does not answer. Calls go through another daemon.")
			}
			return carried, false, failure
		}
		syncer.config.Log.WithField("through", peer.ID().Daemon()).WithError(failure).Debug("Daemon does not carry calls out.")
		if err == nil {
			err = failure
		}
	}
	if err == nil {
		err = lagoonlanding.ErrUnavailable
	}
	syncer.detour.leave()
	return answer, false, err
}

// direct carries a call out at the store itself and notes whether that answers.
func direct[T any](
	ctx context.Context, syncer *Syncer, term time.Duration, ask func(context.Context, lagoonlanding.LeaseStore) (T, error),
) (T, error) {
	limited, cancel := context.WithTimeout(ctx, term)
	defer cancel()
	sent := syncer.config.Clock.Now()
	answer, err := ask(limited, syncer.config.Store)
	if isAnswer(err) {
		syncer.touch(sent)
	} else if ctx.Err() == nil {
		syncer.miss(sent)
	}
	return answer, err
}

// detours returns the daemons to ask: the last that carried a call out, then some of the own zone and of all.
func (syncer *Syncer) detours() []lagoonlanding.Backend {
	if syncer.config.Stores == nil {
		return nil
	}
	var near, others []lagoonlanding.Backend
	last := syncer.detour.last().ID().Daemon()
	var picked []lagoonlanding.Backend
	for _, peer := range syncer.config.Coordinator.Snapshot().Peers() {
		switch {
		case peer.ID().Daemon() == syncer.config.Daemon:
		case peer.ID().Daemon() == last:
			picked = append(picked, peer)
		case peer.AvailabilityZone() == syncer.config.AvailabilityZone:
			near = append(near, peer)
		default:
			others = append(others, peer)
		}
	}
	shuffle(near)
	shuffle(others)
	first := min(len(near), 1)
	picked = slices.Concat(picked, near[:first], others, near[first:])
	return picked[:min(len(picked), maxDetours)]
}

func shuffle(backends []lagoonlanding.Backend) {
	rand.Shuffle(len(backends), func(a, b int) { backends[a], backends[b] = backends[b], backends[a] })
}
