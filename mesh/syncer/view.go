package syncer

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
	"lagoonlanding.example/lagoonlanding/mesh/relayer"
)

const (
	// peerTerm bounds a watch at another daemon, which answers after 700 ms at the latest.
	peerTerm = time.Second
	// avoidTerm is how long a daemon that did not answer is not asked again.
	avoidTerm = 3 * time.Second
	// shortUntouchedTerm is how long a daemon that hears nothing from the store is not asked again at first: another may be about to.
	shortUntouchedTerm = 100 * time.Millisecond
	// untouchedTerm is that time later on.
	untouchedTerm = 400 * time.Millisecond
	// drawnPeers is how many daemons are drawn each time that nobody else tells news.
	drawnPeers = 8
	// followTerm is how long a daemon that is not the first of its zone looks for others with news before it asks the store itself.
	followTerm = 700 * time.Millisecond
	// startTerm is that time while the daemon knows nothing yet and so cannot serve.
	startTerm = 150 * time.Millisecond
	// returnTerm is that time after the store has come back: renewals, which show it, come once a second.
	returnTerm = time.Second
	// blindTerm is the time between two questions to a store that does not answer renewals either, which cost less.
	blindTerm = 4 * time.Second
	// gatherTerm is the pause between two watches of the store, in which changes that come together are gathered; each watch has its price.
	gatherTerm = 150 * time.Millisecond
	// aloneTerm is that pause while a new daemon knows no other: a whole fleet may be starting.
	aloneTerm = 1200 * time.Millisecond
)

// view is one part of the store that the control state follows, from whichever source tells it.
type view struct {
	syncer  *Syncer
	name    string
	journal *relayer.Journal
	// replace hands a whole listing over that the store was asked for at a time, zero if another daemon told it.
	replace func(asked time.Time, listing lagoonlanding.Listing, gone []lagoonlanding.Change)
	// apply hands changes over.
	apply func(changes lagoonlanding.ChangeList)
	// connect notes whether changes may be missed for a time.
	connect func(isConnected bool)
	avoided map[string]time.Time
	// since is when the view began to hear from its present source.
	since time.Time
	// drawn are daemons that are asked after all others, for a daemon that the store turns away together with those.
	drawn []lagoonlanding.Backend
	// undrawn are those whose turn has not come yet.
	undrawn []lagoonlanding.Backend
	// dry is since when no other daemon tells news, zero while one does.
	dry time.Time
	// heard is when a source last told what there is.
	heard time.Time
	// failures counts the calls to the store without an answer in a row, and failed is when the last one ended.
	failures int
	failed   time.Time
}

// source is where a view hears from.
type source struct {
	name   string
	feed   lagoonlanding.Feed
	direct bool
}

// follow lists a part of the store once and then watches it; after a gap it lists again.
func (syncer *Syncer) follow(ctx context.Context, view *view) {
	pause := newPause()
	for ctx.Err() == nil {
		source, ok := view.source()
		if !ok {
			view.dryUp()
			syncer.lookAgain(ctx)
			syncer.sleep(ctx, pause.next())
			continue
		}
		began := view.heard
		err := view.hear(ctx, source)
		if ctx.Err() != nil {
			return
		}
		view.journal.Connect(false)
		if view.heard != began {
			pause.reset()
		}
		if err != nil && source.direct {
			syncer.note(view.name, err)
			view.connect(false)
			view.failures, view.failed = view.failures+1, syncer.config.Clock.Now()
		}
	}
}

// source returns the first of the daemon's sources that has not failed lately; it is false if there is none.
func (view *view) source() (source, bool) {
	now := view.syncer.config.Clock.Now()
	for index, backend := range slices.Concat(view.syncer.relays(), view.drawn) {
		name := backend.ID().Daemon()
		if name == view.syncer.config.Daemon {
			if view.mayAskStore(now, index == 0) {
				return source{name: "store", feed: view.syncer.config.Store, direct: true}, true
			}
			continue
		}
		if now.After(view.avoided[name]) {
			return source{name: name, feed: view.syncer.config.Peers.Feed(backend.PeerAddress())}, true
		}
	}
	return source{}, false
}

// hear follows the source until it fails or another one comes first.
func (view *view) hear(ctx context.Context, source source) error {
	view.since = view.syncer.config.Clock.Now()
	err := view.begin(ctx, source)
	for err == nil {
		view.journal.Connect(source.direct)
		view.syncer.setDirect(view.name, source.direct)
		if err = view.watch(ctx, source); err != nil {
			err = view.resume(ctx, source, err)
		}
		if err != nil {
			break
		}
		view.succeed(source)
		view.connect(true)
		if view.hasBetter(ctx, source) {
			return nil
		}
		if source.direct {
			view.gather(ctx)
		}
	}
	if !source.direct {
		view.avoid(source, err)
	}
	return err
}

// resume lists again after a watch that failed, so that followers hear on; it returns the error if the source counts as lost.
func (view *view) resume(ctx context.Context, source source, err error) error {
	isCompacted := errors.Is(err, lagoonlanding.ErrCompacted)
	isCut := source.direct && ctx.Err() == nil && !errors.Is(err, context.Canceled) && view.syncer.isInTouch(view.since)
	if !isCompacted && !isCut {
		return err
	}
	view.syncer.config.Log.WithField("dependency", view.name).WithField("source", source.name).WithError(err).Info("Changes were missed. Listing again.")
	limited, cancel := context.WithTimeout(ctx, probeTerm)
	defer cancel()
	return view.list(limited, source)
}

// begin lists the part, unless another daemon can tell what has changed since it was listed.
//
// The store may never tell a watch what changed before it, if an earlier watch was cut: it is listed whenever it becomes the source.
func (view *view) begin(ctx context.Context, source source) error {
	if view.journal.Reached() > 0 && !source.direct {
		return nil
	}
	err := view.list(ctx, source)
	if err == nil {
		view.succeed(source)
	}
	return err
}

// gather lets changes that come together come by one watch.
func (view *view) gather(ctx context.Context) {
	term := gatherTerm
	if len(view.syncer.config.Coordinator.Snapshot().Peers()) < 2 {
		term = aloneTerm
	}
	view.syncer.sleep(ctx, term)
}

func (view *view) watch(ctx context.Context, source source) error {
	term := watchTerm
	if !source.direct {
		term = peerTerm
	}
	call, cancel := context.WithTimeout(ctx, term)
	defer cancel()
	if source.direct {
		go view.guard(call, cancel, view.since)
	}
	changes, err := source.feed.Watch(call, view.journal.Prefix(), view.journal.Reached())
	if err != nil {
		return err
	}
	view.journal.Apply(changes)
	view.apply(changes)
	return nil
}

// guard ends a watch of the store when the store no longer answers other calls: the watch may hear nothing any more.
func (view *view) guard(ctx context.Context, cancel context.CancelFunc, since time.Time) {
	for ctx.Err() == nil {
		if !view.syncer.isInTouch(since) {
			cancel()
			return
		}
		view.syncer.sleep(ctx, contactTick)
	}
}

// list reads the whole part and hands it over.
func (view *view) list(ctx context.Context, source source) error {
	call, cancel := context.WithTimeout(ctx, callTerm)
	defer cancel()
	var asked time.Time
	if source.direct {
		asked = view.syncer.config.Clock.Now()
	}
	listing, err := source.feed.List(call, view.journal.Prefix())
	if err != nil {
		return err
	}
	if source.direct {
		view.syncer.touch(asked)
	}
	gone := view.journal.Replace(listing)
	view.replace(asked, listing, gone)
	return nil
}

// newFleetView returns the view of what the daemons share.
func newFleetView(syncer *Syncer) *view {
	return &view{
		syncer: syncer, name: "fleet", journal: syncer.config.Fleet, avoided: map[string]time.Time{},
		replace: func(asked time.Time, listing lagoonlanding.Listing, _ []lagoonlanding.Change) {
			syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.Replace(now, asked, listing) })
		},
		apply: func(changes lagoonlanding.ChangeList) {
			syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.Apply(now, changes) })
		},
		connect: func(isConnected bool) {
			syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.SetConnected(now, isConnected) })
		},
	}
}

// newDirectiveView returns the view of what operators write.
func newDirectiveView(syncer *Syncer) *view {
	taker := &directiveTaker{syncer: syncer, zones: map[string]string{}}
	return &view{
		syncer: syncer, name: "directives", journal: syncer.config.Orders, avoided: map[string]time.Time{},
		replace: func(_ time.Time, listing lagoonlanding.Listing, gone []lagoonlanding.Change) {
			for _, entry := range listing.Entries() {
				taker.take(lagoonlanding.NewChange(entry, false))
			}
			for _, change := range gone {
				taker.take(change)
			}
		},
		apply: func(changes lagoonlanding.ChangeList) {
			for _, change := range changes.Changes() {
				taker.take(change)
			}
		},
		connect: func(bool) {},
	}
}

// directiveTaker hands what operators write to the control state.
type directiveTaker struct {
	syncer *Syncer
	// zones are the evacuated zones by the key of their entry.
	zones map[string]string
}

func (directivetaker *directiveTaker) take(change lagoonlanding.Change) {
	key := change.Entry().Key()
	if change.IsRemoved() {
		if zone, ok := directivetaker.zones[key]; ok {
			delete(directivetaker.zones, key)
			directivetaker.syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.RestoreZone(zone) })
		}
		return
	}
	directive, err := directivetaker.syncer.config.Directives.Decode(change.Entry())
	if err != nil {
		directivetaker.syncer.config.Log.WithField("key", strings.ToValidUTF8(key, "?")).WithError(err).Warn("Unreadable directive ignored.")
		return
	}
	if directive.EvacuatedZone() != "" {
		directivetaker.zones[key] = directive.EvacuatedZone()
	}
	directivetaker.syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.ApplyDirective(now, directive) })
}
