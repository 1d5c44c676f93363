package gatekeeper

import "time"

// pace spaces the tasks to a cold backend server evenly.
type pace struct {
	warmAt time.Time
	rate   float64
	// free is when the next task may pass.
	free time.Time
}

// set notes until when the backend server is cold, and how many tasks a second it bears until then.
func (pace *pace) set(now, warmAt time.Time, rate float64) {
	if rate <= 0 {
		warmAt = time.Time{}
	}
	if !pace.isCold(now) {
		pace.free = now
	}
	pace.warmAt, pace.rate = warmAt, rate
}

func (pace *pace) isCold(now time.Time) bool { return now.Before(pace.warmAt) }

// take lets a task pass, if it may.
func (pace *pace) take(now time.Time) bool {
	if !pace.isCold(now) {
		return true
	}
	if now.Before(pace.free) {
		return false
	}
	pace.free = now.Add(time.Duration(float64(time.Second) / pace.rate))
	return true
}

// next returns when the next task may pass; zero if the pace does not bind.
func (pace *pace) next(now time.Time) time.Time {
	if !pace.isCold(now) || !now.Before(pace.free) {
		return time.Time{}
	}
	if pace.free.After(pace.warmAt) {
		return pace.warmAt
	}
	return pace.free
}

// after returns when a task may pass that has so many before it and would get a slot at the time.
func (pace *pace) after(now time.Time, ahead int, slotAt time.Time) time.Time {
	if !pace.isCold(now) {
		return slotAt
	}
	at := pace.free.Add(time.Duration(float64(ahead) * float64(time.Second) / pace.rate))
	if at.After(pace.warmAt) {
		at = pace.warmAt
	}
	if at.After(slotAt) {
		return at
	}
	return slotAt
}
