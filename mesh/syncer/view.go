package syncer

import (
	"context"
	"errors"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

// view is one part of the store that the control state follows.
type view interface {
	// name names the part in logs.
	name() string
	// prefix starts the keys of the part.
	prefix() string
	// list reads the whole part and hands it over.
	list(ctx context.Context) error
	// revision returns the revision that the view reaches.
	revision() uint64
	// apply hands changes over.
	apply(changes lagoonlanding.ChangeList)
	// interrupt notes that changes may be missed for a time.
	interrupt()
}

// follow lists a part of the store once and then watches it; after a gap it lists again.
func (syncer *Syncer) follow(ctx context.Context, view view) {
	pause := newPause()
	for ctx.Err() == nil {
		err := view.list(ctx)
		for err == nil {
			syncer.note(view.name(), nil)
			pause.reset()
			err = syncer.watch(ctx, view)
		}
		if errors.Is(err, lagoonlanding.ErrCompacted) {
			syncer.config.Log.WithField("dependency", view.name()).Info("Changes were dropped by the store. Listing again.")
			continue
		}
		if ctx.Err() == nil {
			view.interrupt()
			syncer.note(view.name(), err)
			syncer.sleep(ctx, pause.next())
		}
	}
}

func (syncer *Syncer) watch(ctx context.Context, view view) error {
	call, cancel := context.WithTimeout(ctx, watchTerm)
	defer cancel()
	changes, err := syncer.config.Store.Watch(call, view.prefix(), view.revision())
	if err != nil {
		return err
	}
	view.apply(changes)
	return nil
}

// listing reads all entries under a prefix, and when that was asked for.
func (syncer *Syncer) listing(ctx context.Context, prefix string) (lagoonlanding.Listing, time.Time, error) {
	call, cancel := context.WithTimeout(ctx, callTerm)
	defer cancel()
	asked := syncer.config.Clock.Now()
	listing, err := syncer.config.Store.List(call, prefix)
	return listing, asked, err
}

// fleetView follows what the daemons share.
type fleetView struct {
	syncer  *Syncer
	reached uint64
}

func newFleetView(syncer *Syncer) *fleetView { return &fleetView{syncer: syncer} }

func (fleetview *fleetView) name() string     { return "fleet" }
func (fleetview *fleetView) prefix() string   { return coordinator.FleetPrefix }
func (fleetview *fleetView) revision() uint64 { return fleetview.reached }

func (fleetview *fleetView) list(ctx context.Context) error {
	listing, asked, err := fleetview.syncer.listing(ctx, coordinator.FleetPrefix)
	if err != nil {
		return err
	}
	fleetview.reached = listing.Revision()
	fleetview.syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.Replace(now, asked, listing) })
	return nil
}

func (fleetview *fleetView) apply(changes lagoonlanding.ChangeList) {
	fleetview.reached = max(fleetview.reached, changes.Revision())
	fleetview.syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.Apply(now, changes) })
}

func (fleetview *fleetView) interrupt() {
	fleetview.syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.Disconnect() })
}

// directiveView follows what operators write.
type directiveView struct {
	syncer  *Syncer
	reached uint64
	// zones are the evacuated zones by the key of their entry.
	zones map[string]string
}

func newDirectiveView(syncer *Syncer) *directiveView {
	return &directiveView{syncer: syncer, zones: map[string]string{}}
}

func (directiveview *directiveView) name() string { return "directives" }
func (directiveview *directiveView) prefix() string {
	return directiveview.syncer.config.DirectivePrefix
}
func (directiveview *directiveView) revision() uint64 { return directiveview.reached }

func (directiveview *directiveView) list(ctx context.Context) error {
	listing, _, err := directiveview.syncer.listing(ctx, directiveview.prefix())
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, entry := range listing.Entries() {
		listed[entry.Key()] = true
		directiveview.take(lagoonlanding.NewChange(entry, false))
	}
	for key := range directiveview.zones {
		if !listed[key] {
			directiveview.take(lagoonlanding.NewChange(lagoonlanding.NewEntry(key, nil, listing.Revision()), true))
		}
	}
	directiveview.reached = listing.Revision()
	return nil
}

func (directiveview *directiveView) apply(changes lagoonlanding.ChangeList) {
	for _, change := range changes.Changes() {
		directiveview.take(change)
	}
	directiveview.reached = max(directiveview.reached, changes.Revision())
}

func (directiveview *directiveView) interrupt() {}

func (directiveview *directiveView) take(change lagoonlanding.Change) {
	key := change.Entry().Key()
	if change.IsRemoved() {
		if zone, ok := directiveview.zones[key]; ok {
			delete(directiveview.zones, key)
			directiveview.syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.Restore(zone) })
		}
		return
	}
	directive, err := directiveview.syncer.config.Directives.Decode(change.Entry())
	if err != nil {
		directiveview.syncer.config.Log.WithField("key", strings.ToValidUTF8(key, "?")).WithError(err).Warn("Unreadable directive ignored.")
		return
	}
	if directive.EvacuatedZone() != "" {
		directiveview.zones[key] = directive.EvacuatedZone()
	}
	directiveview.syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.Direct(directive) })
}
