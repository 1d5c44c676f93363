package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// pickExtraPeers records that no other daemon relays changes, and picks more daemons at random to try after the usual ones.
func (view *view) pickExtraPeers() {
	if view.noPeerSince.IsZero() {
		view.noPeerSince = view.syncer.config.Clock.Now()
		view.syncer.config.Log.WithField("dependency", view.name).WithField("revision", view.journal.Revision()).Info("No other daemon relays changes. Trying more daemons.")
	}
	if len(view.untried) == 0 {
		view.untried = slices.Clone(view.syncer.config.Coordinator.Snapshot().Peers())
		rand.Shuffle(len(view.untried), func(a, b int) { view.untried[a], view.untried[b] = view.untried[b], view.untried[a] })
	}
	count := min(len(view.untried), extraPeerCount)
	view.extraPeers, view.untried = view.untried[:count], view.untried[count:]
}

// retryDelay returns the time until the sources are tried again: another daemon of the zone may be about to take over at first.
func (view *view) retryDelay(backoff *backoff) time.Duration {
	if view.syncer.config.Clock.Now().Before(view.noPeerSince.Add(peerGracePeriod)) {
		return firstDisconnectedRetryDelay
	}
	return backoff.next()
}

// mayAskStore reports whether the daemon may read changes from the store itself; position is the number of daemons of its zone that should do
// so first, and the others of the zone rely on the one at position zero.
//
// Failed calls put load on the store too, so after the second failure in a row it is asked again only once it answers renewals, or after
// outageRetryDelay. Daemons that are not the first of their zone wait a little for the ones before them to relay changes.
func (view *view) mayAskStore(now time.Time, position int) bool {
	lastAnswered, recovered := view.syncer.answerTimes()
	isFirst := position == 0
	grace := min(time.Duration(position)*takeoverInterval, peerGracePeriod)
	if view.journal.Revision() == 0 {
		grace = startGracePeriod
	}
	if !isFirst && (view.noPeerSince.IsZero() || now.Before(view.noPeerSince.Add(grace))) {
		return false
	}
	switch {
	case view.failures <= 1:
		return !now.Before(view.failedAt.Add(firstDisconnectedRetryDelay))
	case lastAnswered.After(view.failedAt):
		return isFirst || !now.Before(recovered.Add(recoveryGracePeriod))
	}
	return !now.Before(view.failedAt.Add(outageRetryDelay))
}

// hasPreferredSource reports whether a source that is preferred over the current one relays changes again.
//
// It probes the preferred source before the current one is given up, since returning to a watch of the store requires a new listing.
func (view *view) hasPreferredSource(ctx context.Context, current source) bool {
	preferred, ok := view.source()
	if !ok || preferred.name == current.name {
		return false
	}
	if preferred.isStore() {
		return true
	}
	if err := view.probe(ctx, preferred); err != nil {
		view.avoidedUntil[preferred.name] = view.syncer.config.Clock.Now().Add(failedPeerRetryDelay)
		view.syncer.config.Log.WithField("source", preferred.name).WithError(err).Debug("Preferred source still does not answer.")
		return false
	}
	return true
}

// recordSuccess records that the source answered.
func (view *view) recordSuccess(source source) {
	view.syncer.logDependency(view.name, nil)
	view.lastAnswered = view.syncer.config.Clock.Now()
	if source.isStore() {
		view.failures = 0
	} else {
		view.noPeerSince = time.Time{}
	}
}

// avoid skips a failed source for some time.
func (view *view) avoid(source source, err error) {
	now := view.syncer.config.Clock.Now()
	switch {
	case !errors.Is(err, lagoonlanding.ErrStoreDisconnected):
		view.avoidedUntil[source.name] = now.Add(failedPeerRetryDelay)
	case view.noPeerSince.IsZero() || now.Before(view.noPeerSince.Add(peerGracePeriod)):
		view.avoidedUntil[source.name] = now.Add(firstDisconnectedRetryDelay)
	default:
		view.avoidedUntil[source.name] = now.Add(disconnectedRetryDelay)
	}
	if view.noPeerSince.IsZero() {
		view.syncer.config.Log.WithField("dependency", view.name).WithField("source", source.name).WithError(err).Info("Source failed. Trying another one.")
	}
}
