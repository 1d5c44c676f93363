package gatekeeper

import (
	"cmp"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// queue admits the task at once, refuses it, or lets it wait.
func (gate *Gate) queue(task lagoonlanding.Task) (*waiter, *Pass, lagoonlanding.Reason, time.Time) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := gate.config.Clock.Now()
	if reason := gate.refusal(now); reason != lagoonlanding.ReasonNone {
		return nil, nil, reason, time.Time{}
	}
	gate.ranks.note(now, task.Priority())
	if len(gate.waiting) == 0 && gate.running < gate.slots && gate.pace.take(now) {
		gate.running++
		gate.keys.enter(task.ShardKey())
		return nil, gate.pass(task, now), lagoonlanding.ReasonNone, time.Time{}
	}
	gate.turns++
	waiter := &waiter{
		task: task, round: gate.keys.count(task.ShardKey()), turn: gate.turns, latest: gate.latest(task), admitted: make(chan lagoonlanding.Reason, 1),
	}
	startsAt := gate.startsAt(now, waiter)
	if len(gate.waiting) >= gate.config.MaxWaiting || startsAt.After(waiter.latest) {
		return nil, nil, gate.busy(now), gate.retryAt(now, startsAt, task)
	}
	index, _ := slices.BinarySearchFunc(gate.waiting, waiter, before)
	gate.waiting = slices.Insert(gate.waiting, index, waiter)
	gate.keys.enter(task.ShardKey())
	return waiter, nil, lagoonlanding.ReasonNone, time.Time{}
}

// retryAt returns when a refused task should come back.
//
// A task for a shard key has nowhere else to go, so it gets a time of its own after all those that were refused before it. Others are
// tried elsewhere first.
func (gate *Gate) retryAt(now, startsAt time.Time, task lagoonlanding.Task) time.Time {
	if task.ShardKey() == lagoonlanding.NoShardKey {
		return now.Add(max(startsAt.Sub(now)/2, shortestRetry))
	}
	if gate.promised.Before(startsAt) {
		gate.promised = startsAt
	}
	promised := gate.promised.Add(gate.means.of(task.Route()) / time.Duration(max(gate.slots, 1)))
	if promised.Before(task.Deadline()) {
		gate.promised = promised
	}
	return promised
}

// busy returns the reason for which a task is not let in.
func (gate *Gate) busy(now time.Time) lagoonlanding.Reason {
	if gate.pace.isCold(now) {
		return lagoonlanding.ReasonUpstreamCold
	}
	return lagoonlanding.ReasonQueueFull
}

// latest returns when the task must start: early enough for its objective, or if more urgent than others here, for its deadline.
//
// An urgent task often is part of another one, which is lost with it, while a late answer to the others is worth little.
func (gate *Gate) latest(task lagoonlanding.Task) time.Time {
	mean := gate.means.of(task.Route())
	byDeadline := task.Deadline().Add(-mean)
	byObjective := task.Objective().Add(-mean)
	if gate.ranks.isUrgent(task.Priority()) || task.Objective().IsZero() || byDeadline.Before(byObjective) {
		return byDeadline
	}
	return byObjective
}

// startsAt estimates when the waiter would get a slot.
func (gate *Gate) startsAt(now time.Time, waiter *waiter) time.Time {
	work := time.Duration(0)
	ahead := 0
	for _, other := range gate.waiting {
		if before(other, waiter) < 0 {
			work += gate.means.of(other.task.Route())
			ahead++
		}
	}
	wait := work / time.Duration(max(gate.slots, 1))
	if gate.running >= gate.slots {
		// The running tasks are at points of their work that are spread evenly, so the first of them ends after this part.
		wait += gate.means.overall() / time.Duration(gate.running+1)
	}
	return gate.pace.after(now, ahead, now.Add(wait))
}

// before orders waiting tasks by rank, and within a rank so that each key gets its turn: a busy key does not hold up the others.
func before(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.task.Priority(), b.task.Priority()), cmp.Compare(a.round, b.round), cmp.Compare(a.turn, b.turn))
}

// admit lets waiting tasks run while there are free slots.
func (gate *Gate) admit() {
	now := gate.config.Clock.Now()
	for len(gate.waiting) > 0 && gate.refusal(now) == lagoonlanding.ReasonNone && gate.running < gate.slots {
		if !gate.pace.take(now) {
			return
		}
		waiter := gate.waiting[0]
		gate.waiting = gate.waiting[1:]
		gate.running++
		waiter.admitted <- lagoonlanding.ReasonNone
	}
}
