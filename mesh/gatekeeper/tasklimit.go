package gatekeeper

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// limitBurst is the number of tasks that may start at once under a limit.
const limitBurst = 2

// taskLimit keeps the tasks within the rate that the backend server has named; the zero value has no limit.
//
// It is enforced beside the backend server, where the tasks of all daemons arrive, so it holds for a fleet of any size.
type taskLimit struct {
	// rate is the limit in tasks per second, zero for none.
	rate float64
	// namedAt is when the backend server last named the limit.
	namedAt time.Time
	// usedUntil is the time until which the tasks that have started use up the limit.
	usedUntil time.Time
}

// heed sets the limit to that in the response to a task that started at the given time, and reports whether it has changed.
//
// A response without a limit ends it only if its task started after the limit was last named: responses may overtake each other.
func (tasklimit *taskLimit) heed(now, started time.Time, advice lagoonlanding.Advice) bool {
	previous := tasklimit.rate
	switch {
	case advice.IsLimitUnknown():
	case advice.Limit() > 0:
		tasklimit.rate, tasklimit.namedAt = advice.Limit(), now
	case started.After(tasklimit.namedAt):
		tasklimit.rate = 0
	}
	if tasklimit.rate == previous {
		return false
	}
	if latest := now.Add(limitBurst * tasklimit.spacing()); tasklimit.usedUntil.After(latest) {
		tasklimit.usedUntil = latest
	}
	return true
}

// spacing is the time for which one task uses up the limit.
func (tasklimit *taskLimit) spacing() time.Duration {
	if tasklimit.rate == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / tasklimit.rate)
}

// count counts a task that starts.
func (tasklimit *taskLimit) count(now time.Time) {
	if tasklimit.usedUntil.Before(now) {
		tasklimit.usedUntil = now
	}
	tasklimit.usedUntil = tasklimit.usedUntil.Add(tasklimit.spacing())
}

// next returns when the next task may start, or the zero time if one may start now.
func (tasklimit *taskLimit) next(now time.Time) time.Time {
	at := tasklimit.startTime(0, now)
	if at.After(now) {
		return at
	}
	return time.Time{}
}

// startTime returns when a task may start that would get a slot at slotAt and has the given number of tasks ahead of it.
func (tasklimit *taskLimit) startTime(ahead int, slotAt time.Time) time.Time {
	if tasklimit.rate == 0 {
		return slotAt
	}
	at := tasklimit.usedUntil.Add(time.Duration(ahead-limitBurst+1) * tasklimit.spacing())
	if at.After(slotAt) {
		return at
	}
	return slotAt
}
