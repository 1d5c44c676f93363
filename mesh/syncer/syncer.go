package syncer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
	"lagoonlanding.example/lagoonlanding/mesh/relayer"
	"lagoonlanding.example/lagoonlanding/runtime/executor"
)

const (
	// renewInterval is the time between two renewals: three fit into the lease.
	renewInterval = time.Second
	// relayInterval is that time for a daemon that passes changes on: it must notice within a second that it hears no more of them.
	relayInterval = 400 * time.Millisecond
	// contactTerm is how long after the last answer of the store a watch there still counts as alive; a slow store answers in 0.3 s.
	contactTerm = 1200 * time.Millisecond
	// contactTick is the time between two looks at the last answer.
	contactTick = 200 * time.Millisecond
	// leaseTerm is how long a registration outlives the daemon.
	leaseTerm = 3 * time.Second
	// callTerm bounds one call to the store; a slow store answers in fractions of a second.
	callTerm = 1500 * time.Millisecond
	// watchTerm bounds one watch, beyond the time for which the store lets it wait.
	watchTerm = 33 * time.Second
	// shortestPause and longestPause bound the pause after a failed call, which doubles each time.
	shortestPause = 100 * time.Millisecond
	longestPause  = 500 * time.Millisecond
	// tick bounds the time between two looks at what is due.
	tick = 500 * time.Millisecond
)

// Config holds what a Syncer is built from.
type Config struct {
	// Coordinator is the control state.
	Coordinator *coordinator.Coordinator
	// Store keeps what the fleet has to agree on.
	Store lagoonlanding.MetadataStore
	// Daemon is the name of the daemon and AvailabilityZone where it runs.
	Daemon, AvailabilityZone string
	// FirstStart says that the whole fleet starts for the first time, so that nobody waits for this daemon yet.
	FirstStart bool
	// Peers are the feeds of other daemons.
	Peers lagoonlanding.PeerFeeds
	// Stores are the store as other daemons reach it, nil if they carry no calls out.
	Stores lagoonlanding.PeerStores
	// Fleet is what the daemons share, and Orders what operators write, as this daemon passes them on.
	Fleet, Orders *relayer.Journal
	// Directives decodes what operators write; an entry that is none of theirs gives none.
	Directives lagoonlanding.Codec[lagoonlanding.Directive]
	// Clock tells the time, also while the machine is suspended.
	Clock lagoonlanding.Clock
	// Log takes one line for each lost or regained dependency.
	Log *logrus.Entry
}

// Syncer owns the control thread; its other goroutines only wait for the store.
type Syncer struct {
	config  Config
	control *executor.Executor[*coordinator.Coordinator]
	changed chan struct{}

	mutex sync.Mutex
	lost  map[string]bool
	// contact is when the store was last sent a call that it answered, and regained when it first did so after a pause.
	contact, regained time.Time
	// missed is when the store was last sent a call that it did not answer.
	missed  time.Time
	directs map[string]bool
	// seeds are daemons of the zone that were registered when this one started.
	seeds []lagoonlanding.Backend

	detour detour
}

var _ lagoonlanding.AnnouncementHandler = (*Syncer)(nil)

// New returns a syncer; Run starts it.
func New(config Config) *Syncer {
	return &Syncer{
		config: config, control: executor.New(executor.Config[*coordinator.Coordinator]{State: config.Coordinator}),
		changed: make(chan struct{}, 1), lost: map[string]bool{}, directs: map[string]bool{},
	}
}

// Run keeps the control state and the store in step until ctx ends.
func (syncer *Syncer) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { syncer.control.Run(ctx) })
	parts.Go(func() { syncer.keepRegistration(ctx) })
	parts.Go(func() { syncer.write(ctx) })
	parts.Go(func() {
		syncer.discover(ctx)
		parts.Go(func() { syncer.follow(ctx, newFleetView(syncer)) })
		parts.Go(func() { syncer.follow(ctx, newDirectiveView(syncer)) })
	})
	parts.Wait()
}

// do runs a step of the control thread and wakes the writer.
func (syncer *Syncer) do(step func(coordinator *coordinator.Coordinator, now time.Time)) bool {
	ok := syncer.control.Do(func(state *coordinator.Coordinator) { step(state, syncer.config.Clock.Now()) })
	select {
	case syncer.changed <- struct{}{}:
	default:
	}
	return ok
}

// Announce hands an announcement of the backend server to the control thread.
func (syncer *Syncer) Announce(_ context.Context, announcement lagoonlanding.Announcement) (order lagoonlanding.RangeAssignment, ok bool) {
	syncer.do(func(state *coordinator.Coordinator, now time.Time) { order, ok = state.Announce(now, announcement) })
	return order, ok
}

// Deregister hands the backend server's leave to the control thread.
func (syncer *Syncer) Deregister(_ context.Context, name string, _ time.Time) (ok bool) {
	syncer.do(func(state *coordinator.Coordinator, now time.Time) { ok = state.Deregister(now, name) })
	return ok
}

// Lost tells the control thread that the process of a backend server has ended.
func (syncer *Syncer) Lost(id lagoonlanding.BackendID) {
	syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.ProcessEnded(id) })
}

// Crashed tells the control thread that the quarantine has learned of a crash.
func (syncer *Syncer) Crashed() {
	syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.CrashRecorded() })
}

// IsReady reports whether the daemon can serve.
func (syncer *Syncer) IsReady() (ready bool) {
	syncer.control.Do(func(state *coordinator.Coordinator) { ready = state.IsReady() })
	return ready
}

// Stop tells the control thread that the daemon is about to end.
func (syncer *Syncer) Stop() {
	syncer.control.Do(func(state *coordinator.Coordinator) { state.Stop(syncer.config.Clock.Now()) })
}

// keepRegistration holds a lease and renews it.
func (syncer *Syncer) keepRegistration(ctx context.Context) {
	pause := newPause()
	for ctx.Err() == nil {
		err := syncer.renew(ctx)
		syncer.note("lease", err)
		wait := syncer.interval()
		if err != nil && !errors.Is(err, lagoonlanding.ErrLeaseEnded) {
			wait = pause.next()
		} else {
			pause.reset()
		}
		syncer.sleep(ctx, wait)
	}
}

func (syncer *Syncer) renew(ctx context.Context) error {
	var lease lagoonlanding.LeaseID
	syncer.control.Do(func(state *coordinator.Coordinator) { session := state.Session(); lease = session.Lease() })
	if lease == 0 {
		granted, _, err := call(ctx, syncer, func(ctx context.Context, store lagoonlanding.LeaseStore) (lagoonlanding.LeaseID, error) {
			return store.Grant(ctx, leaseTerm)
		})
		if err == nil {
			syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.LeaseGranted(granted) })
		}
		return err
	}
	sent := syncer.config.Clock.Now()
	_, isDirect, err := call(ctx, syncer, keep(lease))
	isDoubtful := false
	syncer.do(func(state *coordinator.Coordinator, now time.Time) {
		state.RenewalDone(sent, isDirect, err)
		isDoubtful = err == nil && state.MustVerify(now)
	})
	if isDoubtful {
		return syncer.verify(ctx)
	}
	return err
}

// interval returns the time between two renewals.
func (syncer *Syncer) interval() time.Duration {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if len(syncer.directs) > 0 {
		return relayInterval
	}
	return renewInterval
}

// setDirect notes whether a view hears from the store itself.
func (syncer *Syncer) setDirect(view string, isDirect bool) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if isDirect {
		syncer.directs[view] = true
	} else {
		delete(syncer.directs, view)
	}
}

// verify reads the registration to see whether it still stands.
func (syncer *Syncer) verify(ctx context.Context) error {
	asked := syncer.config.Clock.Now()
	entry, _, err := call(ctx, syncer, func(ctx context.Context, store lagoonlanding.LeaseStore) (lagoonlanding.Entry, error) {
		return store.Get(ctx, syncer.config.Coordinator.RegistrationKey())
	})
	if err != nil && !errors.Is(err, lagoonlanding.ErrNotFound) {
		return err
	}
	syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.Verify(asked, entry.Revision()) })
	return nil
}

// write carries out the writes that the control state asks for, one at a time.
func (syncer *Syncer) write(ctx context.Context) {
	for ctx.Err() == nil {
		var write coordinator.Write
		var at time.Time
		var ok bool
		syncer.control.Do(func(state *coordinator.Coordinator) { write, at, ok = state.NextWrite(syncer.config.Clock.Now()) })
		if ok {
			syncer.carryOut(ctx, write)
			continue
		}
		syncer.waitForChange(ctx, at)
	}
}

func (syncer *Syncer) carryOut(ctx context.Context, write coordinator.Write) {
	revision, _, err := call(ctx, syncer, func(ctx context.Context, store lagoonlanding.LeaseStore) (uint64, error) {
		if write.IsConditional() {
			return store.PutIf(ctx, write.Put(), write.Expected(), write.Absent()...)
		}
		return store.Put(ctx, write.Puts()...)
	})
	syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.WriteDone(now, write, revision, err) })
}

// waitForChange waits for a change of the control state, the time at which something is due, or a tick.
func (syncer *Syncer) waitForChange(ctx context.Context, at time.Time) {
	wait := tick
	if !at.IsZero() {
		wait = min(wait, max(at.Sub(syncer.config.Clock.Now()), time.Millisecond))
	}
	select {
	case <-ctx.Done():
	case <-syncer.changed:
	case <-time.After(wait):
	}
}

func (syncer *Syncer) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
