package syncer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
	"lagoonlanding.example/lagoonlanding/mesh/relayer"
)

const (
	// peerWatchTimeout bounds a watch at another daemon, which answers after 700 ms at the latest.
	peerWatchTimeout = time.Second
	// peerProbeTimeout bounds the question whether another daemon relays changes, which it answers at once.
	peerProbeTimeout = 300 * time.Millisecond
	// failedPeerRetryDelay is how long a daemon that did not answer is skipped.
	failedPeerRetryDelay = 3 * time.Second
	// firstDisconnectedRetryDelay is how long a daemon that is disconnected from the store is skipped at first: another one may be about to
	// connect. The store is also read again after this delay when a single read of it has failed.
	firstDisconnectedRetryDelay = 100 * time.Millisecond
	// disconnectedRetryDelay is that time once no daemon has relayed changes for longer than peerGracePeriod.
	disconnectedRetryDelay = 400 * time.Millisecond
	// extraPeerCount is how many additional daemons are tried at a time while no other daemon relays changes.
	extraPeerCount = 8
	// peerGracePeriod is how long a daemon that is not among the first of its zone looks for another daemon that relays changes before it asks
	// the store itself.
	peerGracePeriod = 700 * time.Millisecond
	// takeoverInterval is the time by which each of the first daemons of a zone asks the store later than the one before it by name.
	takeoverInterval = peerGracePeriod / 3
	// startGracePeriod is that time while the daemon has no data yet and so cannot serve.
	startGracePeriod = 150 * time.Millisecond
	// recoveryGracePeriod is that time after the store has recovered, which renewals detect once a second.
	recoveryGracePeriod = time.Second
	// outageRetryDelay is the time between two reads from a store that does not answer the cheaper renewals either.
	outageRetryDelay = 4 * time.Second
	// watchBatchDelay is the delay between two watches of the store, so that one watch returns several changes; each watch puts load on it.
	watchBatchDelay = 150 * time.Millisecond
	// startWatchBatchDelay is that delay while a new daemon knows no other: a whole fleet may be starting.
	startWatchBatchDelay = 1200 * time.Millisecond
)

// view follows the entries under one key prefix for the control state, from the store or from another daemon.
type view struct {
	syncer  *Syncer
	name    string
	journal *relayer.Journal
	// replace passes on a full listing, requested from the store at the given time, or with a zero time if it came from another daemon.
	replace func(requested time.Time, listing lagoonlanding.Listing, removals []lagoonlanding.Change)
	// amend returns a listing in which newer known entries replace those that a restore of the store has brought back; nil for none.
	amend func(ctx context.Context, source source, listing lagoonlanding.Listing) lagoonlanding.Listing
	// apply passes on changes.
	apply func(changes lagoonlanding.ChangeList)
	// setConnected passes on whether changes are being received.
	setConnected func(isConnected bool)
	// avoidedUntil maps the names of failed sources to the time until which they are skipped.
	avoidedUntil map[string]time.Time
	// sourceName is the name of the source that the view follows.
	sourceName string
	// sourceSince is when the view began to follow its current source.
	sourceSince time.Time
	// extraPeers are random daemons that are tried after all others, in case the store answers neither this daemon nor those.
	extraPeers []lagoonlanding.Backend
	// untried are the daemons that have not been extra peers yet.
	untried []lagoonlanding.Backend
	// noPeerSince is since when no other daemon relays changes, zero while one does.
	noPeerSince time.Time
	// lastAnswered is when a source last answered.
	lastAnswered time.Time
	// failures counts the consecutive calls to the store without an answer, and failedAt is when the last one ended.
	failures int
	failedAt time.Time
}

// source is the store or another daemon from which a view receives changes.
type source struct {
	name string
	feed lagoonlanding.Feed
	// peer is the feed of another daemon, nil for the store itself.
	peer lagoonlanding.PeerFeed
}

// isStore reports whether the source is the store itself.
func (source source) isStore() bool { return source.peer == nil }

// follow keeps a view up to date: it lists the entries once and then watches them, and lists again after missed changes.
func (syncer *Syncer) follow(ctx context.Context, view *view) {
	backoff := newBackoff()
	for ctx.Err() == nil {
		source, ok := view.source()
		if !ok {
			view.pickExtraPeers()
			syncer.refreshSeeds(ctx)
			syncer.sleep(ctx, view.retryDelay(backoff))
			continue
		}
		previouslyAnswered := view.lastAnswered
		err := view.followSource(ctx, source)
		if ctx.Err() != nil {
			return
		}
		view.journal.SetConnected(false)
		if view.lastAnswered != previouslyAnswered {
			backoff.reset()
		}
		if err != nil && source.isStore() {
			syncer.logDependency(view.name, err)
			view.setConnected(false)
			view.failures, view.failedAt = view.failures+1, syncer.config.Clock.Now()
		}
	}
}

// source returns the most preferred source that is not being avoided; it returns false if there is none.
func (view *view) source() (source, bool) {
	now := view.syncer.config.Clock.Now()
	for index, backend := range slices.Concat(view.syncer.relays(), view.extraPeers) {
		name := backend.ID().Daemon()
		if name == view.syncer.config.Daemon {
			if view.mayAskStore(now, index) {
				return source{name: "store", feed: view.syncer.config.Store}, true
			}
			continue
		}
		if now.After(view.avoidedUntil[name]) {
			peer := view.syncer.config.Peers.Feed(backend.PeerAddress())
			return source{name: name, feed: peer, peer: peer}, true
		}
	}
	return source{}, false
}

// followSource follows the source until it fails or a preferred one is available.
//
// A daemon that has relayed changes and then does not respond is not avoided before a probe over another connection has failed too: the
// connection may have gone silent.
func (view *view) followSource(ctx context.Context, source source) error {
	view.sourceSince = view.syncer.config.Clock.Now()
	hasRelayed := false
	err := view.begin(ctx, source)
	view.logSource(source, err)
	for err == nil {
		view.journal.SetConnected(source.isStore())
		view.syncer.setDirect(view.name, source.isStore())
		if err = view.watch(ctx, source); err != nil {
			err = view.resume(ctx, source, err)
		}
		if err != nil {
			break
		}
		hasRelayed = true
		view.recordSuccess(source)
		view.setConnected(true)
		if view.hasPreferredSource(ctx, source) {
			return nil
		}
		if source.isStore() {
			view.waitForBatch(ctx)
		}
	}
	if !source.isStore() && (!hasRelayed || errors.Is(err, lagoonlanding.ErrStoreDisconnected)) {
		view.avoid(source, err)
	}
	return err
}

// logSource logs that the view follows another source than before.
func (view *view) logSource(source source, err error) {
	if err != nil || view.sourceName == source.name {
		return
	}
	view.sourceName = source.name
	view.syncer.config.Log.WithField("dependency", view.name).WithField("source", source.name).WithField("revision", view.journal.Revision()).
		Info("Following another source.")
}

// resume lists again after a failed watch, so that this daemon can go on relaying; it returns the error if the source counts as failed.
func (view *view) resume(ctx context.Context, source source, err error) error {
	isCompacted := errors.Is(err, lagoonlanding.ErrCompacted)
	isInterrupted := source.isStore() && ctx.Err() == nil && !errors.Is(err, context.Canceled) && view.syncer.isStoreAnswering(view.sourceSince)
	if !isCompacted && !isInterrupted {
		return err
	}
	view.syncer.config.Log.WithField("dependency", view.name).WithField("source", source.name).WithError(err).Info("Changes were missed. Listing again.")
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return view.list(limited, source)
}

// begin lists the entries, unless the source is another daemon that can relay the changes since the last listing; that one is only probed.
//
// After an interrupted watch the store may never report the changes made before the next watch, so its entries are listed whenever it becomes
// the source.
func (view *view) begin(ctx context.Context, source source) error {
	if view.journal.Revision() > 0 && !source.isStore() {
		return view.probe(ctx, source)
	}
	err := view.list(ctx, source)
	if err == nil {
		view.recordSuccess(source)
	}
	return err
}

// probe asks another daemon whether it relays changes.
func (view *view) probe(ctx context.Context, source source) error {
	limited, cancel := context.WithTimeout(ctx, peerProbeTimeout)
	defer cancel()
	return source.peer.Probe(limited, view.journal.Prefix())
}

// waitForBatch waits before the next watch of the store, so that it returns several changes at once.
func (view *view) waitForBatch(ctx context.Context) {
	delay := watchBatchDelay
	if len(view.syncer.config.Coordinator.Snapshot().Peers()) < 2 {
		delay = startWatchBatchDelay
	}
	view.syncer.sleep(ctx, delay)
}

// watch waits for changes from the source and passes them on.
func (view *view) watch(ctx context.Context, source source) error {
	timeout := storeWatchTimeout
	if !source.isStore() {
		timeout = peerWatchTimeout
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if source.isStore() {
		go view.cancelWhenStoreFails(limited, cancel, view.sourceSince)
	}
	after := view.journal.Revision()
	changes, err := source.feed.Watch(limited, view.journal.Prefix(), after)
	if err != nil && ctx.Err() == nil && source.isStore() && view.syncer.currentEra() > lagoonlanding.EraOf(after) {
		return fmt.Errorf("%w: %w", lagoonlanding.ErrCompacted, err)
	}
	if err != nil {
		return err
	}
	if lagoonlanding.EraOf(changes.Revision()) < lagoonlanding.EraOf(after) {
		return errEarlierEra
	}
	view.journal.Apply(changes)
	view.apply(changes)
	return nil
}

// cancelWhenStoreFails cancels a watch of the store when the store no longer answers other calls: the watch may be dead too.
func (view *view) cancelWhenStoreFails(ctx context.Context, cancel context.CancelFunc, since time.Time) {
	for ctx.Err() == nil {
		if !view.syncer.isStoreAnswering(since) || view.syncer.currentEra() > lagoonlanding.EraOf(view.journal.Revision()) {
			cancel()
			return
		}
		view.syncer.sleep(ctx, answerCheckInterval)
	}
}

// list reads all entries from the source and passes them on.
func (view *view) list(ctx context.Context, source source) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var requested time.Time
	if source.isStore() {
		requested = view.syncer.config.Clock.Now()
	}
	listing, err := source.feed.List(limited, view.journal.Prefix())
	if err != nil {
		return err
	}
	if lagoonlanding.EraOf(listing.Revision()) < lagoonlanding.EraOf(view.journal.Revision()) {
		return errEarlierEra
	}
	if source.isStore() {
		view.syncer.recordAnswer(requested)
	}
	if view.amend != nil {
		listing = view.amend(limited, source, listing)
	}
	removals := view.journal.Replace(listing)
	view.replace(requested, listing, removals)
	return nil
}

// newFleetView returns the view of the state that the daemons share.
func newFleetView(syncer *Syncer) *view {
	return &view{
		syncer: syncer, name: "fleet", journal: syncer.config.FleetJournal, avoidedUntil: map[string]time.Time{},
		replace: func(requested time.Time, listing lagoonlanding.Listing, _ []lagoonlanding.Change) {
			syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.Replace(now, requested, listing) })
		},
		apply: func(changes lagoonlanding.ChangeList) {
			syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.Apply(now, changes) })
		},
		setConnected: func(isConnected bool) {
			syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.SetConnected(now, isConnected) })
		},
	}
}

// newDirectiveView returns the view of the directives that operators write.
func newDirectiveView(syncer *Syncer) *view {
	directivehandler := &directiveHandler{syncer: syncer, zones: map[string]evacuation{}}
	return &view{
		syncer: syncer, name: "directives", journal: syncer.config.DirectiveJournal, avoidedUntil: map[string]time.Time{}, amend: directivehandler.amend,
		replace: func(_ time.Time, listing lagoonlanding.Listing, removals []lagoonlanding.Change) {
			for _, entry := range listing.Entries() {
				directivehandler.apply(lagoonlanding.NewChange(entry, false))
			}
			for _, change := range removals {
				directivehandler.apply(change)
			}
		},
		apply: func(changes lagoonlanding.ChangeList) {
			for _, change := range changes.Changes() {
				directivehandler.apply(change)
			}
		},
		setConnected: func(bool) {},
	}
}

// directiveHandler passes the directives that operators write to the control state.
type directiveHandler struct {
	syncer *Syncer
	// zones maps the keys of evacuation entries to their zones, since a removal has no value to decode.
	zones map[string]evacuation
	// newest is the entry of the newest configuration, and version its version; without a key before the first.
	newest  lagoonlanding.Entry
	version int64
}

// evacuation is an evacuated zone with the revision of its entry.
type evacuation struct {
	zone     string
	revision uint64
}

// apply passes one changed or removed entry to the control state.
func (directivehandler *directiveHandler) apply(change lagoonlanding.Change) {
	key := change.Entry().Key()
	if change.IsRemoved() {
		if evacuation, ok := directivehandler.zones[key]; ok {
			delete(directivehandler.zones, key)
			isLost := lagoonlanding.EraOf(evacuation.revision) < lagoonlanding.EraOf(change.Entry().Revision())
			directivehandler.syncer.do(func(state *coordinator.Coordinator, now time.Time) {
				if isLost {
					state.LoseZone(now, evacuation.zone)
				} else {
					state.RestoreZone(evacuation.zone)
				}
			})
		}
		return
	}
	directive, err := directivehandler.syncer.config.Directives.Decode(change.Entry())
	if err != nil {
		directivehandler.syncer.config.Log.WithField("key", strings.ToValidUTF8(key, "?")).WithError(err).Warn("Invalid directive ignored.")
		return
	}
	directivehandler.observeRouting(change.Entry(), directive.Routing())
	if directive.EvacuatedZone() != "" {
		directivehandler.zones[key] = evacuation{zone: directive.EvacuatedZone(), revision: change.Entry().Revision()}
	}
	directivehandler.syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.ApplyDirective(now, directive) })
}
