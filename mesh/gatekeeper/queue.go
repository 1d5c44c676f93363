package gatekeeper

import (
	"cmp"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// enqueue admits the task, refuses it, or adds it to the queue.
func (gate *Gate) enqueue(task lagoonlanding.Task) (*waiter, *Pass, lagoonlanding.Reason, time.Time) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := gate.config.Clock.Now()
	if reason := gate.refusal(now); reason != lagoonlanding.ReasonNone {
		return nil, nil, reason, time.Time{}
	}
	gate.priorities.observe(now, task.Priority())
	gate.observeUrgent(now, task)
	gate.demand.observe(now, task.ShardKey(), gate.meanRunTimes.ofRoute(task.Route()))
	if gate.overload != nil {
		return gate.enqueueControlled(now, task)
	}
	if len(gate.waiting) == 0 && gate.hasFreeSlot(now, task.Priority()) && gate.allow(now) {
		gate.countRunning(task)
		gate.keyCounts.increment(task.ShardKey())
		return nil, gate.pass(task, now), lagoonlanding.ReasonNone, time.Time{}
	}
	gate.lastSequence++
	waiter := &waiter{
		task: task, round: gate.keyCounts.count(task.ShardKey()), sequence: gate.lastSequence, startBy: gate.startBy(task), decision: make(chan lagoonlanding.Reason, 1),
	}
	startsAt := gate.estimatedStart(now, waiter)
	if len(gate.waiting) >= gate.config.MaxWaiting || startsAt.After(waiter.startBy) {
		return nil, nil, gate.busyReason(now), gate.retryAt(now, startsAt, task)
	}
	index, _ := slices.BinarySearchFunc(gate.waiting, waiter, compare)
	gate.waiting = slices.Insert(gate.waiting, index, waiter)
	gate.keyCounts.increment(task.ShardKey())
	// A slot that is kept free for urgent tasks may be free while others wait.
	gate.admit()
	return waiter, nil, lagoonlanding.ReasonNone, time.Time{}
}

// retryAt returns when a refused task should be retried.
//
// Only one backend server can run a task with a shard key, so each such task gets its own time after those refused before it. Other
// tasks are offered to other backend servers first.
func (gate *Gate) retryAt(now, startsAt time.Time, task lagoonlanding.Task) time.Time {
	if task.ShardKey() == lagoonlanding.NoShardKey {
		return now.Add(max(startsAt.Sub(now)/2, minRetryDelay))
	}
	if gate.reservedUntil.Before(startsAt) {
		gate.reservedUntil = startsAt
	}
	reserved := gate.reservedUntil.Add(max(gate.meanRunTimes.ofRoute(task.Route())/time.Duration(max(gate.slots, 1)), gate.limit.spacing()))
	if reserved.Before(task.Deadline()) {
		gate.reservedUntil = reserved
	}
	return reserved
}

// busyReason returns the reason for refusing a task while the gate is open.
func (gate *Gate) busyReason(now time.Time) lagoonlanding.Reason {
	switch {
	case !gate.endBy.IsZero():
		return lagoonlanding.ReasonShuttingDown
	case gate.rateLimiter.isCold(now):
		return lagoonlanding.ReasonUpstreamCold
	case gate.limit.rate > 0:
		return lagoonlanding.ReasonUpstreamLimited
	}
	return lagoonlanding.ReasonQueueFull
}

// runTimeReserve is the multiple of the mean run time that is left before the latency objective: run times vary, and half of the tasks that
// start one mean run time before it would miss it.
const runTimeReserve = 2

// startBy returns when the task must start to meet its latency objective, or its deadline if it is more urgent than other recent tasks.
//
// An urgent task is often part of another one, which fails with it, while a late answer to the others is worth little.
func (gate *Gate) startBy(task lagoonlanding.Task) time.Time {
	mean := gate.meanRunTimes.ofRoute(task.Route())
	latest := gate.startInTime(task, mean)
	if byEnd := gate.endBy.Add(-runTimeReserve * mean); !gate.endBy.IsZero() && byEnd.Before(latest) {
		return byEnd
	}
	return latest
}

// startInTime returns when a task with the mean run time must start regardless of the end of the gate.
func (gate *Gate) startInTime(task lagoonlanding.Task, mean time.Duration) time.Time {
	byDeadline := task.Deadline().Add(-mean)
	byObjective := task.Objective().Add(-gate.runTimeReserve(mean))
	if gate.waitsUntilDeadline(task, mean) || task.Objective().IsZero() || byDeadline.Before(byObjective) {
		return byDeadline
	}
	return byObjective
}

// estimatedStart estimates when the waiter will get a slot.
func (gate *Gate) estimatedStart(now time.Time, waiter *waiter) time.Time {
	work := time.Duration(0)
	ahead := 0
	for _, other := range gate.waiting {
		if gate.compare(other, waiter) < 0 {
			work += gate.meanRunTimes.ofRoute(other.task.Route())
			ahead++
		}
	}
	return gate.startAfter(now, work, ahead, waiter.task)
}

// startAfter estimates when a task gets a slot that has the given number of tasks ahead of it with the given total run time. On a slow machine
// it is the time of the start at the usual speed that leads to the same end.
func (gate *Gate) startAfter(now time.Time, work time.Duration, ahead int, task lagoonlanding.Task) time.Time {
	wait := work / time.Duration(max(gate.slotsFor(now, task.Priority()), 1))
	if !gate.hasFreeSlot(now, task.Priority()) {
		// Assumes that the ends of the running tasks are spread evenly, so the first of them ends after this fraction of the mean.
		wait += gate.meanOfRunning() / time.Duration(gate.running+1)
	}
	if gate.overload != nil {
		wait = max(wait, gate.overload.concurrency.pauseLeft(now))
		mean := gate.meanRunTimes.ofRoute(task.Route())
		wait = gate.prolonged(wait+mean) - mean
	}
	return gate.limit.startTime(ahead, gate.rateLimiter.startTime(now, ahead, now.Add(wait)))
}

// compare orders waiting tasks by priority, and within a priority round-robin over the shard keys: a busy key does not delay the others.
func compare(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.task.Priority(), b.task.Priority()), cmp.Compare(a.round, b.round), cmp.Compare(a.sequence, b.sequence))
}

// admit admits waiting tasks while there are free slots; the mutex must be locked.
func (gate *Gate) admit() {
	now := gate.config.Clock.Now()
	if gate.overload != nil {
		gate.admitControlled(now)
		return
	}
	for len(gate.waiting) > 0 && gate.refusal(now) == lagoonlanding.ReasonNone && gate.hasFreeSlot(now, gate.waiting[0].task.Priority()) {
		if !gate.allow(now) {
			return
		}
		waiter := gate.waiting[0]
		gate.waiting = gate.waiting[1:]
		gate.countRunning(waiter.task)
		waiter.decision <- lagoonlanding.ReasonNone
	}
}
