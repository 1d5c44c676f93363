package gatekeeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// firstMean is how long a task is taken to last before any has ended.
	firstMean = 200 * time.Millisecond
	// meanWeight is the weight of the newest task in the mean of all, as in a moving average over some twenty tasks.
	meanWeight = 0.05
	// shortestRetry bounds the time after which a refused task is worth another try.
	shortestRetry = 50 * time.Millisecond
)

// Config holds what a Gate is built from.
type Config struct {
	// Clock tells the time.
	Clock lagoonlanding.Clock
	// MaxWaiting bounds the tasks that wait for a slot.
	MaxWaiting int
}

// Gate counts the tasks at one backend server, exactly, since all pass through it; it is safe for use by many goroutines.
type Gate struct {
	config Config

	mutex   sync.Mutex
	id      lagoonlanding.BackendID
	closed  lagoonlanding.Reason
	leaving leaving
	slots   int
	running int
	waiting []*waiter
	pace    pace
	means   means
	ranks   ranks
	keys    keys
	// promised is until when the slots are spoken for by refused tasks that were told to come back.
	promised time.Time
	turns    uint64
}

// leaving is when the gate closes by itself, and why; zero for never.
type leaving struct {
	at     time.Time
	reason lagoonlanding.Reason
}

// waiter is a task that waits for a slot.
type waiter struct {
	task lagoonlanding.Task
	// round is how many tasks for the same key were here when it came; turn counts all that ever waited.
	round int
	turn  uint64
	// latest is when the task must start to be worth its slot.
	latest   time.Time
	admitted chan lagoonlanding.Reason
}

// NewGate returns a closed gate.
func NewGate(config Config) *Gate {
	return &Gate{config: config, closed: lagoonlanding.ReasonNoUpstream, means: newMeans(), ranks: ranks{}, keys: newKeys()}
}

// Pass lets one task run; Finish must be called once.
type Pass struct {
	gate    *Gate
	id      lagoonlanding.BackendID
	route   string
	key     int
	started time.Time
}

// ID returns the life of the backend server for which the pass was given.
func (pass *Pass) ID() lagoonlanding.BackendID { return pass.id }

// Finish frees the slot; completed says that the backend server has answered, so that the time counts.
func (pass *Pass) Finish(completed bool) {
	pass.gate.finish(pass, completed)
}

// Open lets tasks pass to a life of the backend server with so many slots; one that is cold until a time takes them at a rate.
func (gate *Gate) Open(id lagoonlanding.BackendID, slots int, warmAt time.Time, coldRate float64) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.id != id {
		// The tasks of an earlier life ended with it.
		gate.id, gate.running, gate.keys = id, 0, newKeys()
	}
	gate.closed, gate.leaving, gate.slots = lagoonlanding.ReasonNone, leaving{}, max(slots, 1)
	gate.pace.set(gate.config.Clock.Now(), warmAt, coldRate)
	gate.admit()
}

// CloseAt closes the gate at the time, unless it is closed already.
func (gate *Gate) CloseAt(at time.Time, reason lagoonlanding.Reason) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.leaving = leaving{at: at, reason: reason}
}

// refusal returns why no task may pass, if none may.
func (gate *Gate) refusal(now time.Time) lagoonlanding.Reason {
	if gate.closed == lagoonlanding.ReasonNone && !gate.leaving.at.IsZero() && !now.Before(gate.leaving.at) {
		return gate.leaving.reason
	}
	return gate.closed
}

// Close refuses all further tasks, and those that wait, for the reason.
func (gate *Gate) Close(reason lagoonlanding.Reason) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.closed = reason
	for _, waiter := range gate.waiting {
		gate.keys.leave(waiter.task.ShardKey())
		waiter.admitted <- reason
	}
	gate.waiting = nil
}

// Load returns how busy the backend server is.
func (gate *Gate) Load() lagoonlanding.Load {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return lagoonlanding.NewLoad(lagoonlanding.LoadConfig{
		Waiting: len(gate.waiting), Running: gate.running, Slots: gate.slots, MeanRunTime: gate.means.overall(),
		Open: gate.closed == lagoonlanding.ReasonNone,
	})
}

// Enter waits for a slot; it returns a pass, or the reason of a refusal and when a further try may succeed.
func (gate *Gate) Enter(ctx context.Context, task lagoonlanding.Task) (*Pass, lagoonlanding.Reason, time.Time) {
	waiter, pass, reason, retryAt := gate.queue(task)
	if waiter == nil {
		return pass, reason, retryAt
	}
	tooLate := gate.config.Clock.Until(waiter.latest)
	for {
		select {
		case reason := <-waiter.admitted:
			return gate.entered(task, reason)
		case <-ctx.Done():
			return gate.leave(waiter, lagoonlanding.ReasonDeadline)
		case <-tooLate:
			return gate.leave(waiter, lagoonlanding.ReasonQueueFull)
		case <-gate.paced():
			gate.retry()
		}
	}
}

// paced wakes a waiter when the rate of a cold backend server lets the next task pass.
func (gate *Gate) paced() <-chan time.Time {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	next := gate.pace.next(gate.config.Clock.Now())
	if next.IsZero() {
		return nil
	}
	return gate.config.Clock.Until(next)
}

func (gate *Gate) retry() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.admit()
}

// entered turns the word of admission into a pass.
func (gate *Gate) entered(task lagoonlanding.Task, reason lagoonlanding.Reason) (*Pass, lagoonlanding.Reason, time.Time) {
	if reason != lagoonlanding.ReasonNone {
		return nil, reason, time.Time{}
	}
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.pass(task, gate.config.Clock.Now()), lagoonlanding.ReasonNone, time.Time{}
}

func (gate *Gate) pass(task lagoonlanding.Task, now time.Time) *Pass {
	return &Pass{gate: gate, id: gate.id, route: task.Route(), key: task.ShardKey(), started: now}
}

// leave takes a task whose client has gone, or whose time is up, out of the queue.
func (gate *Gate) leave(leaving *waiter, reason lagoonlanding.Reason) (*Pass, lagoonlanding.Reason, time.Time) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := gate.config.Clock.Now()
	select {
	case reason := <-leaving.admitted:
		if reason == lagoonlanding.ReasonNone {
			gate.release(gate.id, leaving.task.ShardKey())
		}
	default:
		gate.waiting = slices.DeleteFunc(gate.waiting, func(waiter *waiter) bool { return waiter == leaving })
		gate.keys.leave(leaving.task.ShardKey())
	}
	return nil, reason, now.Add(max(gate.startsAt(now, leaving).Sub(now), shortestRetry))
}

func (gate *Gate) finish(pass *Pass, completed bool) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if completed {
		gate.means.note(pass.route, gate.config.Clock.Now().Sub(pass.started))
	}
	gate.release(pass.id, pass.key)
}

func (gate *Gate) release(id lagoonlanding.BackendID, key int) {
	if gate.id == id && gate.running > 0 {
		gate.running--
		gate.keys.leave(key)
	}
	gate.admit()
}
