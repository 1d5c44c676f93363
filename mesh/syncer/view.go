package syncer

import (
	"context"
	"errors"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
	"lagoonlanding.example/lagoonlanding/mesh/relayer"
)

const (
	// peerTerm bounds a watch at another daemon, which answers after 700 ms at the latest.
	peerTerm = time.Second
	// avoidTerm is how long a source that failed is not asked again.
	avoidTerm = 3 * time.Second
	// gatherTerm is the pause between two watches of the store, in which changes that come together are gathered.
	gatherTerm = 50 * time.Millisecond
	// startTerm is that pause while a new daemon knows no other: a whole fleet may be starting.
	startTerm = 1200 * time.Millisecond
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
		source := view.source()
		err := view.hear(ctx, source)
		if ctx.Err() != nil {
			return
		}
		view.journal.Connect(false)
		if err != nil && source.direct {
			syncer.note(view.name, err)
			view.connect(false)
			syncer.sleep(ctx, pause.next())
		} else {
			pause.reset()
		}
	}
}

// source returns the first of the daemon's sources that has not failed lately: the store if all have.
func (view *view) source() source {
	now := view.syncer.config.Clock.Now()
	direct := source{name: "store", feed: view.syncer.config.Store, direct: true}
	for _, backend := range view.syncer.config.Coordinator.Snapshot().Relays() {
		if backend.ID().Daemon() == view.syncer.config.Daemon {
			if now.After(view.avoided[direct.name]) {
				return direct
			}
			continue
		}
		if now.After(view.avoided[backend.ID().Daemon()]) {
			return source{name: backend.ID().Daemon(), feed: view.syncer.config.Peers.Feed(backend.PeerAddress())}
		}
	}
	return direct
}

// hear follows the source until it fails or another one comes first.
func (view *view) hear(ctx context.Context, source source) error {
	view.since = view.syncer.config.Clock.Now()
	err := view.begin(ctx, source)
	for err == nil {
		view.syncer.note(view.name, nil)
		view.journal.Connect(source.direct)
		view.syncer.setDirect(view.name, source.direct)
		if err = view.watch(ctx, source); err != nil {
			break
		}
		view.connect(true)
		if view.source().name != source.name {
			return nil
		}
		if source.direct {
			view.gather(ctx)
		}
	}
	if errors.Is(err, lagoonlanding.ErrCompacted) {
		view.syncer.config.Log.WithField("dependency", view.name).WithField("source", source.name).Info("Changes were dropped. Listing again.")
		return view.list(ctx, source)
	}
	view.avoided[source.name] = view.syncer.config.Clock.Now().Add(avoidTerm)
	if !source.direct {
		view.syncer.config.Log.WithField("dependency", view.name).WithField("source", source.name).WithError(err).Info("Source is lost. Another one is used.")
	}
	return err
}

// begin lists the part, unless another daemon can tell what has changed since it was listed.
//
// The store may never tell a watch what changed before it, if an earlier watch was cut: it is listed whenever it becomes the source.
func (view *view) begin(ctx context.Context, source source) error {
	if view.journal.Reached() > 0 && !source.direct {
		return nil
	}
	return view.list(ctx, source)
}

// gather lets changes that come together come by one watch.
func (view *view) gather(ctx context.Context) {
	term := gatherTerm
	if len(view.syncer.config.Coordinator.Snapshot().Peers()) < 2 {
		term = startTerm
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
			syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.Connect(now, isConnected) })
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
			directivetaker.syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.Restore(zone) })
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
	directivetaker.syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.Direct(directive) })
}
