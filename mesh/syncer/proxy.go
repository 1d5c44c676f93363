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
	// proxyTerm is how long calls go through another daemon before the store is tried directly again: an unanswered call puts load on it too.
	proxyTerm = 2500 * time.Millisecond
	// probeTimeout bounds a call that only probes whether the store answers again; a slow store answers in 0.3 s.
	probeTimeout = 500 * time.Millisecond
	// proxyCallTimeout bounds a call through another daemon, so that two of them and a failed direct call fit into a lease.
	proxyCallTimeout = 600 * time.Millisecond
	// maxProxies is how many daemons are tried for one call.
	maxProxies = 3
	// maxProxyAnswerAge is how long after the store's last answer a daemon still makes calls for other daemons.
	maxProxyAnswerAge = 2 * time.Second
)

// proxyState tells whether calls to the store go through another daemon because the store does not answer this one.
type proxyState struct {
	mutex sync.Mutex
	// proxy is the daemon that made the last call for this one, zero for none.
	proxy lagoonlanding.Backend
	// until is when the store is tried directly again.
	until time.Time
}

// isActive reports whether calls go through another daemon.
func (proxystate *proxyState) isActive(now time.Time) bool {
	proxystate.mutex.Lock()
	defer proxystate.mutex.Unlock()
	return now.Before(proxystate.until)
}

// last returns the daemon that made the last call for this one, zero if the store has answered directly since.
func (proxystate *proxyState) last() lagoonlanding.Backend {
	proxystate.mutex.Lock()
	defer proxystate.mutex.Unlock()
	return proxystate.proxy
}

// activate routes calls through the proxy, and reports whether there was none before.
func (proxystate *proxyState) activate(now time.Time, proxy lagoonlanding.Backend) (isNew bool) {
	proxystate.mutex.Lock()
	defer proxystate.mutex.Unlock()
	isNew = proxystate.proxy.ID().IsZero()
	proxystate.proxy = proxy
	if !now.Before(proxystate.until) {
		proxystate.until = now.Add(proxyTerm)
	}
	return isNew
}

// deactivate makes calls go to the store directly, and reports whether there was a proxy.
func (proxystate *proxyState) deactivate() (wasActive bool) {
	proxystate.mutex.Lock()
	defer proxystate.mutex.Unlock()
	wasActive = !proxystate.proxy.ID().IsZero()
	proxystate.proxy, proxystate.until = lagoonlanding.Backend{}, time.Time{}
	return wasActive
}

// isAnswer reports whether an error is an answer of the store, rather than the lack of one.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, lagoonlanding.ErrNotFound) || errors.Is(err, lagoonlanding.ErrConflict) || errors.Is(err, lagoonlanding.ErrLeaseEnded)
}

// call makes a call to the store directly, or through other daemons if the store does not answer; isDirect tells which.
//
// A call without an answer may take effect later. All calls can safely be repeated: a write depends on the revision of the entry that it
// replaces, so a late one fails after a newer one.
func call[T any](ctx context.Context, syncer *Syncer, ask func(context.Context, lagoonlanding.LeaseStore) (T, error)) (answer T, isDirect bool, err error) {
	now := syncer.config.Clock.Now()
	if !syncer.proxyState.isActive(now) {
		timeout := callTimeout
		if !syncer.proxyState.last().ID().IsZero() {
			timeout = probeTimeout
		}
		answer, err = callDirect(ctx, syncer, timeout, ask)
		if isAnswer(err) {
			if syncer.proxyState.deactivate() {
				syncer.config.Log.WithField("dependency", "store").Info("Store answers directly again.")
			}
			return answer, true, err
		}
	}
	for _, peer := range syncer.proxies() {
		limited, cancel := context.WithTimeout(ctx, proxyCallTimeout)
		proxied, failure := ask(limited, syncer.config.Stores.Store(peer.PeerAddress()))
		cancel()
		if failure == nil && syncer.isOfEarlierEra(proxied) {
			failure = errEarlierEra
		}
		if isAnswer(failure) {
			if syncer.proxyState.activate(syncer.config.Clock.Now(), peer) {
				syncer.config.Log.WithField("dependency", "store").WithField("through", peer.ID().Daemon()).WithError(err).
					Warn("Store does not answer. Calls go through another daemon.")
			}
			return proxied, false, failure
		}
		syncer.config.Log.WithField("through", peer.ID().Daemon()).WithError(failure).Debug("Call to the store through another daemon failed.")
		if err == nil {
			err = failure
		}
	}
	if err == nil {
		err = lagoonlanding.ErrUnavailable
	}
	syncer.proxyState.deactivate()
	return answer, false, err
}

// callDirect makes a call to the store directly and records whether it answers.
func callDirect[T any](
	ctx context.Context, syncer *Syncer, timeout time.Duration, ask func(context.Context, lagoonlanding.LeaseStore) (T, error),
) (T, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := syncer.config.Clock.Now()
	answer, err := ask(limited, syncer.config.Store)
	if isAnswer(err) {
		syncer.recordAnswer(sent)
	} else if ctx.Err() == nil {
		syncer.recordFailure(sent)
	}
	return answer, err
}

// proxies returns the daemons to try: the one that made the last call, then one of the own zone, then others at random.
func (syncer *Syncer) proxies() []lagoonlanding.Backend {
	if syncer.config.Stores == nil {
		return nil
	}
	var sameZone, others []lagoonlanding.Backend
	last := syncer.proxyState.last().ID().Daemon()
	var picked []lagoonlanding.Backend
	for _, peer := range syncer.config.Coordinator.Snapshot().Peers() {
		switch {
		case peer.ID().Daemon() == syncer.config.Daemon:
		case peer.ID().Daemon() == last:
			picked = append(picked, peer)
		case peer.AvailabilityZone() == syncer.config.AvailabilityZone:
			sameZone = append(sameZone, peer)
		default:
			others = append(others, peer)
		}
	}
	shuffle(sameZone)
	shuffle(others)
	first := min(len(sameZone), 1)
	picked = slices.Concat(picked, sameZone[:first], others, sameZone[first:])
	return picked[:min(len(picked), maxProxies)]
}

func shuffle(backends []lagoonlanding.Backend) {
	rand.Shuffle(len(backends), func(a, b int) { backends[a], backends[b] = backends[b], backends[a] })
}
