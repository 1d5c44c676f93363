package gatekeeper

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Entry is a queued task whose decision is polled: event-driven simulations, whose clock stands still, can't wait for it like Enter.
type Entry struct {
	gate   *Gate
	waiter *waiter
}

// Queue admits the task, refuses it, or returns the entry of the queued task.
func (gate *Gate) Queue(task lagoonlanding.Task) (*Entry, *Pass, lagoonlanding.Reason, time.Time) {
	waiter, pass, reason, retryAt := gate.enqueue(task)
	if waiter == nil {
		return nil, pass, reason, retryAt
	}
	return &Entry{gate: gate, waiter: waiter}, nil, lagoonlanding.ReasonNone, time.Time{}
}

// Poll returns the decision on the queued task; isDecided is false while it waits.
func (entry *Entry) Poll() (pass *Pass, reason lagoonlanding.Reason, retryAt time.Time, isDecided bool) {
	entry.gate.admitNow()
	select {
	case reason := <-entry.waiter.decision:
		pass, reason, retryAt = entry.gate.passFor(entry.waiter, reason)
		return pass, reason, retryAt, true
	default:
	}
	if entry.gate.config.Clock.Now().Before(entry.startBy()) || entry.gate.postpone(entry.waiter) {
		return nil, lagoonlanding.ReasonNone, time.Time{}, false
	}
	pass, reason, retryAt = entry.gate.abandon(entry.waiter, entry.gate.tooLateReason())
	return pass, reason, retryAt, true
}

func (entry *Entry) startBy() time.Time {
	entry.gate.mutex.Lock()
	defer entry.gate.mutex.Unlock()
	return entry.waiter.startBy
}
