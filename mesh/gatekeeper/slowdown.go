package gatekeeper

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// slowdownTerm is the age up to which a reported slowdown counts in full, and slowdownTTL that from which it does not count: run times must
	// follow the machine within a second.
	slowdownTerm, slowdownTTL = 400 * time.Millisecond, time.Second
	// minSlowTerm is the shortest time for which a slowdown is expected to go on.
	minSlowTerm = 200 * time.Millisecond
	// noticeableSlowdown is the factor from which a machine counts as slow.
	noticeableSlowdown = 1.2
)

// slowdown is how many times as long as usual work takes on the machine, as the backend server reports.
//
// Load: other processes make a machine several times as slow for parts of a second. A task that is longer than such a phase runs at the usual
// speed afterwards, so a phase is expected to go on for as long as it has lasted.
type slowdown struct {
	factor     float64
	reportedAt time.Time
	// slowSince is when the present slow phase was first reported.
	slowSince time.Time
}

func (slowdown *slowdown) report(now time.Time, load lagoonlanding.ServerLoad) {
	wasSlow := slowdown.value(now) >= noticeableSlowdown
	slowdown.factor, slowdown.reportedAt = load.Slowdown(), now
	if slowdown.factor >= noticeableSlowdown && !wasSlow {
		slowdown.slowSince = now
	}
}

// value returns the factor, which approaches one as the report gets old.
func (slowdown *slowdown) value(now time.Time) float64 {
	age := now.Sub(slowdown.reportedAt)
	if slowdown.factor <= 0 || age >= slowdownTTL {
		return 1
	}
	if age <= slowdownTerm {
		return slowdown.factor
	}
	return 1 + (slowdown.factor-1)*float64(slowdownTTL-age)/float64(slowdownTTL-slowdownTerm)
}

// prolong returns how long a task takes now whose usual run time is given.
func (slowdown *slowdown) prolong(now time.Time, usual time.Duration) time.Duration {
	factor := slowdown.value(now)
	if factor <= 1 {
		return time.Duration(float64(usual) * factor)
	}
	remaining := max(now.Sub(slowdown.slowSince), minSlowTerm)
	return min(time.Duration(float64(usual)*factor), usual+time.Duration(float64(remaining)*(1-1/factor)))
}
