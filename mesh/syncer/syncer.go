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
	// relayRenewInterval is that time for a daemon that relays changes: it must notice within a second that it no longer receives them.
	relayRenewInterval = 400 * time.Millisecond
	// maxAnswerAge is how long after the last answer of the store a watch there still counts as alive; a slow store answers in 0.3 s.
	maxAnswerAge = 1200 * time.Millisecond
	// answerCheckInterval is the time between two checks of the last answer.
	answerCheckInterval = 200 * time.Millisecond
	// leaseTerm is how long a registration outlives the daemon.
	leaseTerm = 3 * time.Second
	// callTimeout bounds one call to the store; a slow store answers in fractions of a second.
	callTimeout = 1500 * time.Millisecond
	// storeWatchTimeout bounds one watch of the store; it is longer than the store itself blocks a watch.
	storeWatchTimeout = 33 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call, which doubles each time.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// acknowledgeTimeout bounds the time to acknowledge that the backend server leaves: after a second it asks again.
	acknowledgeTimeout = 700 * time.Millisecond
	// writePollInterval bounds the time between two checks for a due write.
	writePollInterval = 500 * time.Millisecond
)

// Config holds the dependencies and settings of a Syncer.
type Config struct {
	// Coordinator is the control state.
	Coordinator *coordinator.Coordinator
	// Store holds the shared state of the fleet.
	Store lagoonlanding.MetadataStore
	// Daemon is the name of the daemon and AvailabilityZone where it runs.
	Daemon, AvailabilityZone string
	// FirstStart means that the whole fleet starts for the first time: nobody waits for this daemon yet, so it may take longer to be ready.
	FirstStart bool
	// Peers provides the change feeds of other daemons.
	Peers lagoonlanding.PeerFeeds
	// Stores provides the store as reached through other daemons, nil to disable that.
	Stores lagoonlanding.PeerStores
	// FleetJournal and DirectiveJournal are the journals by which this daemon relays the fleet's entries and the operators' directives.
	FleetJournal, DirectiveJournal *relayer.Journal
	// Directives decodes the entries that operators write; other entries yield an empty directive.
	Directives lagoonlanding.Codec[lagoonlanding.Directive]
	// Clock returns the current time, which advances while the machine is suspended too.
	Clock lagoonlanding.Clock
	// Log receives one line for each dependency that fails or recovers.
	Log *logrus.Entry
}

// Syncer owns the control thread; its other goroutines only wait for the store.
type Syncer struct {
	config  Config
	control *executor.Executor[*coordinator.Coordinator]
	changed chan struct{}

	mutex              sync.Mutex
	failedDependencies map[string]bool
	// lastAnswered is when the last answered call to the store was sent, and recovered when the first one after an outage was.
	lastAnswered, recovered time.Time
	// lastFailed is when the last call without an answer from the store was sent.
	lastFailed time.Time
	// directViews are the names of the views that receive changes from the store itself.
	directViews map[string]bool
	// era is the latest era of the store that an answer of the store has shown.
	era uint64
	// seeds are daemons of the zone that were registered when this one started.
	seeds []lagoonlanding.Backend

	proxyState proxyState
}

var _ lagoonlanding.AnnouncementHandler = (*Syncer)(nil)

// New returns a Syncer; Run starts it.
func New(config Config) *Syncer {
	return &Syncer{
		config: config, control: executor.New(executor.Config[*coordinator.Coordinator]{State: config.Coordinator}),
		changed: make(chan struct{}, 1), failedDependencies: map[string]bool{}, directViews: map[string]bool{},
	}
}

// Run synchronizes the control state with the store until ctx ends.
func (syncer *Syncer) Run(ctx context.Context) {
	var goroutines sync.WaitGroup
	goroutines.Go(func() { syncer.control.Run(ctx) })
	goroutines.Go(func() { syncer.keepRegistration(ctx) })
	goroutines.Go(func() { syncer.write(ctx) })
	goroutines.Go(func() {
		syncer.discover(ctx)
		goroutines.Go(func() { syncer.follow(ctx, newFleetView(syncer)) })
		goroutines.Go(func() { syncer.follow(ctx, newDirectiveView(syncer)) })
	})
	goroutines.Wait()
}

// do runs a step on the control thread and wakes the writer.
func (syncer *Syncer) do(step func(coordinator *coordinator.Coordinator, now time.Time)) bool {
	ok := syncer.control.Do(func(state *coordinator.Coordinator) { step(state, syncer.config.Clock.Now()) })
	select {
	case syncer.changed <- struct{}{}:
	default:
	}
	return ok
}

// Announce passes an announcement of the backend server to the control thread. One that says that the backend server leaves is acknowledged once
// the store holds that.
func (syncer *Syncer) Announce(ctx context.Context, announcement lagoonlanding.Announcement) (ranges lagoonlanding.RangeAssignment, ok bool) {
	var recorded <-chan struct{}
	syncer.do(func(state *coordinator.Coordinator, now time.Time) {
		if ranges, ok = state.Announce(now, announcement); ok && announcement.State() != lagoonlanding.BackendReady {
			recorded = state.DepartureRecorded()
		}
	})
	return ranges, ok && syncer.awaitRecord(ctx, recorded, announcement.Received())
}

// Deregister tells the control thread that the backend server is shutting down, and returns true once the store holds that.
func (syncer *Syncer) Deregister(ctx context.Context, name string, startedMilli int64, received time.Time) (ok bool) {
	var recorded <-chan struct{}
	syncer.do(func(state *coordinator.Coordinator, now time.Time) {
		if ok = state.Deregister(now, name, startedMilli); ok {
			recorded = state.DepartureRecorded()
		}
	})
	return ok && syncer.awaitRecord(ctx, recorded, received)
}

// awaitRecord waits until the store holds a departure, nil for none, and returns false if that takes too long to acknowledge it in time.
//
// A departure that is acknowledged binds this daemon even after a restart, in which it forgets all that the store does not hold.
func (syncer *Syncer) awaitRecord(ctx context.Context, recorded <-chan struct{}, received time.Time) bool {
	if recorded == nil {
		return true
	}
	select {
	case <-recorded:
		return true
	case <-ctx.Done():
	case <-time.After(received.Add(acknowledgeTimeout).Sub(syncer.config.Clock.Now())):
	}
	syncer.config.Log.Warn("The store does not hold the departure of the backend server yet; it is not acknowledged.")
	return false
}

// ProcessEnded tells the control thread that the process of a backend server has ended.
func (syncer *Syncer) ProcessEnded(id lagoonlanding.BackendID) {
	syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.ProcessEnded(id) })
}

// BackendLeaving tells the control thread that a process of the backend server is about to stop.
func (syncer *Syncer) BackendLeaving(id lagoonlanding.BackendID) {
	syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.BackendLeaving(now, id) })
}

// CrashRecorded tells the control thread that the quarantine has a new crash to report to the other daemons.
func (syncer *Syncer) CrashRecorded() {
	syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.CrashRecorded() })
}

// IsReady reports whether the daemon can serve.
func (syncer *Syncer) IsReady() (ready bool) {
	syncer.control.Do(func(state *coordinator.Coordinator) { ready = state.IsReady() })
	return ready
}

// Stop tells the control thread that the daemon is shutting down and must have answered all tasks by the given time.
func (syncer *Syncer) Stop(answerBy time.Time) {
	syncer.control.Do(func(state *coordinator.Coordinator) { state.Stop(syncer.config.Clock.Now(), answerBy) })
}

// keepRegistration obtains a lease and renews it.
func (syncer *Syncer) keepRegistration(ctx context.Context) {
	backoff := newBackoff()
	for ctx.Err() == nil {
		err := syncer.renew(ctx)
		syncer.logDependency("lease", err)
		delay := syncer.currentRenewInterval()
		if err != nil && !errors.Is(err, lagoonlanding.ErrLeaseEnded) {
			delay = backoff.next()
		} else {
			backoff.reset()
		}
		syncer.sleep(ctx, delay)
	}
}

// renew requests a lease if there is none, and otherwise renews it and verifies the registration if necessary.
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
	_, isDirect, err := call(ctx, syncer, keepAlive(lease))
	mustVerify := false
	syncer.do(func(state *coordinator.Coordinator, now time.Time) {
		state.RenewalDone(sent, isDirect, err)
		mustVerify = err == nil && state.MustVerify(now)
	})
	if mustVerify {
		return syncer.verify(ctx)
	}
	return err
}

// currentRenewInterval returns the time between two renewals.
func (syncer *Syncer) currentRenewInterval() time.Duration {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if len(syncer.directViews) > 0 {
		return relayRenewInterval
	}
	return renewInterval
}

// setDirect records whether a view receives changes from the store itself.
func (syncer *Syncer) setDirect(view string, isDirect bool) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	if isDirect {
		syncer.directViews[view] = true
	} else {
		delete(syncer.directViews, view)
	}
}

// verify reads the registration from the store to check that it still exists.
func (syncer *Syncer) verify(ctx context.Context) error {
	sent := syncer.config.Clock.Now()
	entry, _, err := call(ctx, syncer, func(ctx context.Context, store lagoonlanding.LeaseStore) (lagoonlanding.Entry, error) {
		return store.Get(ctx, syncer.config.Coordinator.RegistrationKey())
	})
	if err != nil && !errors.Is(err, lagoonlanding.ErrNotFound) {
		return err
	}
	syncer.do(func(state *coordinator.Coordinator, _ time.Time) { state.Verify(sent, entry.Revision()) })
	return nil
}

// write makes the writes that the control state requests, one at a time.
func (syncer *Syncer) write(ctx context.Context) {
	for ctx.Err() == nil {
		var write coordinator.Write
		var due time.Time
		var ok bool
		syncer.control.Do(func(state *coordinator.Coordinator) { write, due, ok = state.NextWrite(syncer.config.Clock.Now()) })
		if ok {
			syncer.send(ctx, write)
			continue
		}
		syncer.waitForChange(ctx, due)
	}
}

// send makes one write and passes its result to the control thread.
func (syncer *Syncer) send(ctx context.Context, write coordinator.Write) {
	revision, err := syncer.commit(ctx, write)
	syncer.do(func(state *coordinator.Coordinator, now time.Time) { state.WriteDone(now, write, revision, err) })
}

// commit carries out a write, with a new lease if it needs one of its own.
func (syncer *Syncer) commit(ctx context.Context, write coordinator.Write) (uint64, error) {
	if term := write.LeaseTerm(); term > 0 {
		lease, _, err := call(ctx, syncer, func(ctx context.Context, store lagoonlanding.LeaseStore) (lagoonlanding.LeaseID, error) {
			return store.Grant(ctx, term)
		})
		if err != nil {
			return 0, err
		}
		write = write.WithLease(lease)
	}
	revision, _, err := call(ctx, syncer, func(ctx context.Context, store lagoonlanding.LeaseStore) (uint64, error) {
		return store.Commit(ctx, write.Transaction())
	})
	return revision, err
}

// waitForChange waits for a change of the control state or for the time at which a write is due, and at most for the poll interval.
func (syncer *Syncer) waitForChange(ctx context.Context, due time.Time) {
	wait := writePollInterval
	if !due.IsZero() {
		wait = min(wait, max(due.Sub(syncer.config.Clock.Now()), time.Millisecond))
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
