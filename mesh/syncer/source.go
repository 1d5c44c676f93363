package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// dryUp notes that nobody can tell any news, and draws others to ask besides the usual ones.
func (view *view) dryUp() {
	if view.dry.IsZero() {
		view.dry = view.syncer.config.Clock.Now()
		view.syncer.config.Log.WithField("dependency", view.name).WithField("revision", view.journal.Reached()).Info("Nobody tells news.")
	}
	if len(view.undrawn) == 0 {
		view.undrawn = slices.Clone(view.syncer.config.Coordinator.Snapshot().Peers())
		rand.Shuffle(len(view.undrawn), func(a, b int) { view.undrawn[a], view.undrawn[b] = view.undrawn[b], view.undrawn[a] })
	}
	count := min(len(view.undrawn), drawnPeers)
	view.drawn, view.undrawn = view.undrawn[:count], view.undrawn[count:]
}

// mayAskStore reports whether the daemon may ask the store itself for news; isFirst says that others of its zone rely on that.
//
// Every call has its price also when it fails, so a store that failed is asked again only once it answers renewals. The others wait a
// little for the first one's news.
func (view *view) mayAskStore(now time.Time, isFirst bool) bool {
	contact, regained := view.syncer.contacts()
	patience := followTerm
	if view.journal.Reached() == 0 {
		patience = startTerm
	}
	if !isFirst && (view.dry.IsZero() || now.Before(view.dry.Add(patience))) {
		return false
	}
	switch {
	case view.failures <= 1:
		return !now.Before(view.failed.Add(shortUntouchedTerm))
	case contact.After(view.failed):
		return isFirst || !now.Before(regained.Add(returnTerm))
	}
	return !now.Before(view.failed.Add(blindTerm))
}

// hasBetter reports whether a source that comes before the present one tells news again.
//
// It is asked once before the present one is given up, since a watch of the store that was given up begins with a listing.
func (view *view) hasBetter(ctx context.Context, present source) bool {
	preferred, ok := view.source()
	if !ok || preferred.name == present.name {
		return false
	}
	if preferred.direct {
		return true
	}
	if err := view.watch(ctx, preferred); err != nil {
		view.avoided[preferred.name] = view.syncer.config.Clock.Now().Add(avoidTerm)
		view.syncer.config.Log.WithField("source", preferred.name).WithError(err).Debug("Preferred source still tells no news.")
		return false
	}
	return true
}

// succeed notes that the source has told what there is.
func (view *view) succeed(source source) {
	view.syncer.note(view.name, nil)
	view.heard = view.syncer.config.Clock.Now()
	if source.direct {
		view.failures = 0
	} else {
		view.dry = time.Time{}
	}
}

// avoid lets other sources come first for a time.
func (view *view) avoid(source source, err error) {
	now := view.syncer.config.Clock.Now()
	switch {
	case !errors.Is(err, lagoonlanding.ErrStoreDisconnected):
		view.avoided[source.name] = now.Add(avoidTerm)
	case view.dry.IsZero() || now.Before(view.dry.Add(followTerm)):
		view.avoided[source.name] = now.Add(shortUntouchedTerm)
	default:
		view.avoided[source.name] = now.Add(untouchedTerm)
	}
	if view.dry.IsZero() {
		view.syncer.config.Log.WithField("dependency", view.name).WithField("source", source.name).WithError(err).Info("Source is lost. Another one is used.")
	}
}
