package gatekeeper

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// initialMeanRunTime is the assumed run time of a task until the first one has ended.
	initialMeanRunTime = 200 * time.Millisecond
	// smoothingFactor is the weight of the newest task in an exponential moving average over about twenty tasks.
	smoothingFactor = 0.05
	// minRetryDelay is the shortest delay after which a refused task is retried.
	minRetryDelay = 50 * time.Millisecond
)

var (
	_ lagoonlanding.Gate        = (*Gate)(nil)
	_ lagoonlanding.DemandMeter = (*Gate)(nil)
)

// Config holds the dependencies and limits of a Gate.
type Config struct {
	// Clock returns the current time.
	Clock lagoonlanding.Clock
	// MaxWaiting limits the tasks that wait for a slot.
	MaxWaiting int
	// MaxFirst limits the tasks that run before the backend server has responded for the first time: it may have named a limit to a daemon
	// that has been restarted since. Zero means no limit.
	MaxFirst int
	// OverloadControl bounds the wait of all tasks by their objectives, follows the load that the backend server reports and returns admission
	// levels; without it the gate bounds the wait of urgent tasks by their deadlines only.
	OverloadControl bool
	// OnCut is called with the cause, the slots before and now, and the slowdown of the machine when overload control lowers the number of tasks
	// that may run at once, at most ten times a second; it must not block. It may be nil.
	OnCut func(cause string, previous, current int, slowdown float64)
}

// Gate limits the concurrent tasks of one backend server; its count is exact because every task passes through it. It is safe for concurrent use.
type Gate struct {
	config Config

	mutex sync.Mutex
	id    lagoonlanding.BackendID
	// closeReason is why the gate was closed, or ReasonNone; a scheduled close does not set it.
	closeReason lagoonlanding.Reason
	closing     scheduledClose
	// endBy is when all tasks must have ended, or the zero time.
	endBy   time.Time
	slots   int
	running int
	// runningRoutes counts the running tasks by route.
	runningRoutes map[string]int
	waiting       []*waiter
	rateLimiter   rateLimiter
	limit         taskLimit
	// hasResponded means that the backend server has responded to a task.
	hasResponded bool
	// changed is closed when a change may make waiting tasks hopeless.
	changed      chan struct{}
	meanRunTimes meanRunTimes
	priorities   priorities
	reserve      reserve
	keyCounts    keyCounts
	demand       demand
	// reservedUntil is the end of the run time that is reserved for the retries of refused tasks with a shard key.
	reservedUntil time.Time
	lastSequence  uint64
	// overload is the state of the overload control, nil without it.
	overload *overload
}

// scheduledClose is when the gate closes by itself, and why; the zero time means never.
type scheduledClose struct {
	at     time.Time
	reason lagoonlanding.Reason
}

// waiter is a queued task.
type waiter struct {
	task lagoonlanding.Task
	// round is the number of tasks for the same key that ran or waited when it was queued; sequence numbers all queued tasks.
	round    int
	sequence uint64
	// startBy is the latest time at which the task may start and still end in time.
	startBy time.Time
	// late, weight and precedence order the task under overload control.
	late       bool
	weight     int
	precedence lagoonlanding.Precedence
	// retryAt is when a task that was removed from the queue should be retried; it is set before the decision is sent.
	retryAt time.Time
	// decision receives ReasonNone once the task is admitted, or the reason of a refusal.
	decision chan lagoonlanding.Reason
}

// NewGate returns a closed gate.
func NewGate(config Config) *Gate {
	gate := &Gate{
		config: config, closeReason: lagoonlanding.ReasonNoUpstream, meanRunTimes: newMeanRunTimes(), priorities: priorities{},
		keyCounts: newKeyCounts(), runningRoutes: map[string]int{}, changed: make(chan struct{}),
	}
	if config.OverloadControl {
		gate.overload = newOverload()
	}
	return gate
}

// Pass permits one task to run; Finish must be called once.
type Pass struct {
	gate    *Gate
	id      lagoonlanding.BackendID
	route   string
	key     int
	started time.Time
	// slowdown is that of the machine when the task started, and result what is known of its end; they are set under overload control only.
	slowdown float64
	result   lagoonlanding.Result
}

// ID returns the process of the backend server for which the pass was issued.
func (pass *Pass) ID() lagoonlanding.BackendID { return pass.id }

// Finish frees the slot; completed means that the backend server has answered, so its run time is included in the mean.
func (pass *Pass) Finish(completed bool) {
	pass.gate.finish(pass, completed)
}

// Observe records the result of the task for the overload control, before Finish is called.
func (pass *Pass) Observe(result lagoonlanding.Result) { pass.result = result }

// Advise records what the backend server said in response to the task; it returns the limits in tasks per second before and now, zero for none.
func (pass *Pass) Advise(advice lagoonlanding.Advice) (previous, current float64) {
	return pass.gate.advise(pass, advice)
}

// Open admits tasks to a process of the backend server with the given slots; until warmAt it limits them to coldRate per second.
func (gate *Gate) Open(id lagoonlanding.BackendID, slots int, warmAt time.Time, coldRate float64) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.id != id {
		// The tasks of the previous process ended with it.
		gate.id, gate.running, gate.keyCounts, gate.demand, gate.limit, gate.hasResponded = id, 0, newKeyCounts(), demand{}, taskLimit{}, false
		clear(gate.runningRoutes)
		if gate.overload != nil {
			gate.overload.restart()
		}
	}
	gate.closeReason, gate.closing, gate.slots = lagoonlanding.ReasonNone, scheduledClose{}, max(slots, 1)
	gate.rateLimiter.configure(gate.config.Clock.Now(), warmAt, coldRate)
	gate.admit()
}

// CloseAt refuses all tasks with the reason from the given time on, unless the gate is already closed.
func (gate *Gate) CloseAt(at time.Time, reason lagoonlanding.Reason) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.closing = scheduledClose{at: at, reason: reason}
}

// refusal returns the reason for which the gate is closed, or ReasonNone.
func (gate *Gate) refusal(now time.Time) lagoonlanding.Reason {
	if gate.closeReason == lagoonlanding.ReasonNone && !gate.closing.at.IsZero() && !now.Before(gate.closing.at) {
		return gate.closing.reason
	}
	return gate.closeReason
}

// Close refuses all waiting and all further tasks with the reason.
func (gate *Gate) Close(reason lagoonlanding.Reason) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.closeReason = reason
	for _, waiter := range gate.waiting {
		gate.keyCounts.decrement(waiter.task.ShardKey())
		waiter.decision <- reason
	}
	gate.waiting = nil
}

// Load returns the load of the backend server.
func (gate *Gate) Load() lagoonlanding.Load {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return lagoonlanding.NewLoad(lagoonlanding.LoadConfig{
		Waiting: len(gate.waiting), Running: gate.running, Slots: gate.usableSlots(), MeanRunTime: gate.prolonged(gate.meanRunTimes.overall()),
		Limit: gate.limit.rate, Open: gate.closeReason == lagoonlanding.ReasonNone, Slowdown: gate.slowdown(), Level: gate.level(),
	})
}

// Enter waits for a slot; it returns a pass, or the reason of the refusal and when a retry may succeed.
func (gate *Gate) Enter(ctx context.Context, task lagoonlanding.Task) (*Pass, lagoonlanding.Reason, time.Time) {
	waiter, pass, reason, retryAt := gate.enqueue(task)
	if waiter == nil {
		return pass, reason, retryAt
	}
	for {
		tooLate, rateLimited, changed := gate.signals(waiter)
		select {
		case reason := <-waiter.decision:
			return gate.passFor(waiter, reason)
		case <-ctx.Done():
			return gate.abandon(waiter, lagoonlanding.ReasonDeadline)
		case <-tooLate:
			if gate.postpone(waiter) {
				continue
			}
			return gate.abandon(waiter, gate.tooLateReason())
		case <-rateLimited:
			gate.admitNow()
		case <-changed:
			if reason := gate.hopelessReason(waiter); reason != lagoonlanding.ReasonNone {
				return gate.abandon(waiter, reason)
			}
		}
	}
}

// signals returns a channel that fires when a waiting task is too late, one that fires when the rate limits may let the next task pass, nil if
// none applies, and one that is closed when the gate has changed.
//
// While all slots are busy, another task may use up what the limits allow now, so a waiting task looks again after the time of one task.
func (gate *Gate) signals(waiter *waiter) (tooLate, rateLimited <-chan time.Time, changed <-chan struct{}) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := gate.config.Clock.Now()
	tooLate = gate.config.Clock.Until(waiter.startBy)
	spacing := max(gate.rateLimiter.spacing(now), gate.limit.spacing(), gate.probeSpacing(now))
	if spacing == 0 {
		return tooLate, nil, gate.changed
	}
	next := gate.rateLimiter.next(now)
	if limited := gate.limit.next(now); limited.After(next) {
		next = limited
	}
	if next.IsZero() {
		next = now.Add(spacing)
	}
	return tooLate, gate.config.Clock.Until(next), gate.changed
}

// tooLateReason returns why a waiting task was not started in time.
func (gate *Gate) tooLateReason() lagoonlanding.Reason {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if !gate.endBy.IsZero() {
		return lagoonlanding.ReasonShuttingDown
	}
	return lagoonlanding.ReasonQueueFull
}

// hopelessReason returns why a waiting task would start too late, or ReasonNone if it would not.
func (gate *Gate) hopelessReason(waiter *waiter) lagoonlanding.Reason {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := gate.config.Clock.Now()
	if !slices.Contains(gate.waiting, waiter) || !gate.estimatedStart(now, waiter).After(waiter.startBy) {
		return lagoonlanding.ReasonNone
	}
	return gate.busyReason(now)
}

// EndBy refuses tasks that would not end before the given time, also those that wait.
func (gate *Gate) EndBy(at time.Time) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.endBy = at
	for _, waiter := range gate.waiting {
		waiter.startBy = gate.startBy(waiter.task)
	}
	gate.signalChange()
}

// signalChange makes waiting tasks check whether they can still start in time.
func (gate *Gate) signalChange() {
	close(gate.changed)
	gate.changed = make(chan struct{})
}

func (gate *Gate) admitNow() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.admit()
}

// passFor returns a pass for a task that was admitted, or the reason of its refusal.
func (gate *Gate) passFor(waiter *waiter, reason lagoonlanding.Reason) (*Pass, lagoonlanding.Reason, time.Time) {
	if reason != lagoonlanding.ReasonNone {
		return nil, reason, waiter.retryAt
	}
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.pass(waiter.task, gate.config.Clock.Now()), lagoonlanding.ReasonNone, time.Time{}
}

func (gate *Gate) pass(task lagoonlanding.Task, now time.Time) *Pass {
	return &Pass{gate: gate, id: gate.id, route: task.Route(), key: task.ShardKey(), started: now, slowdown: gate.slowdown()}
}

// abandon removes a task from the queue because its client has gone or its time is up.
func (gate *Gate) abandon(abandoned *waiter, reason lagoonlanding.Reason) (*Pass, lagoonlanding.Reason, time.Time) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := gate.config.Clock.Now()
	select {
	case reason := <-abandoned.decision:
		if reason == lagoonlanding.ReasonNone {
			gate.release(gate.id, abandoned.task.Route(), abandoned.task.ShardKey())
		}
	default:
		gate.waiting = slices.DeleteFunc(gate.waiting, func(waiter *waiter) bool { return waiter == abandoned })
		gate.keyCounts.decrement(abandoned.task.ShardKey())
		gate.countRefused(now)
	}
	return nil, reason, now.Add(max(gate.estimatedStart(now, abandoned).Sub(now), minRetryDelay))
}

func (gate *Gate) finish(pass *Pass, completed bool) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	switch {
	case gate.overload != nil:
		gate.observeEnd(pass, completed)
	case completed:
		gate.meanRunTimes.observe(pass.route, gate.config.Clock.Now().Sub(pass.started))
	}
	gate.release(pass.id, pass.route, pass.key)
}

func (gate *Gate) advise(pass *Pass, advice lagoonlanding.Advice) (previous, current float64) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	previous = gate.limit.rate
	if gate.id != pass.id || !advice.IsGiven() {
		return previous, previous
	}
	gate.hasResponded = true
	gate.observeServerLoad(advice.ServerLoad())
	if gate.limit.heed(gate.config.Clock.Now(), pass.started, advice) {
		gate.signalChange()
	}
	gate.admit()
	return previous, gate.limit.rate
}

// usableSlots returns the number of slots that the tasks within the limit keep busy.
func (gate *Gate) usableSlots() int {
	if gate.limit.rate == 0 {
		return gate.openSlots()
	}
	return min(max(int(math.Round(gate.limit.rate*gate.meanRunTimes.overall().Seconds())), 1), gate.openSlots())
}

// allow reports whether the rate limits let a task pass now, and counts it if so.
func (gate *Gate) allow(now time.Time) bool {
	if !gate.limit.next(now).IsZero() || !gate.rateLimiter.allow(now) {
		return false
	}
	gate.limit.count(now)
	return true
}

func (gate *Gate) release(id lagoonlanding.BackendID, route string, key int) {
	if gate.id == id && gate.running > 0 {
		gate.running--
		if gate.runningRoutes[route]--; gate.runningRoutes[route] <= 0 {
			delete(gate.runningRoutes, route)
		}
		gate.keyCounts.decrement(key)
	}
	gate.admit()
}
