package gatekeeper

import (
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// start counts a task that starts.
func (gate *Gate) start(now time.Time, task lagoonlanding.Task) {
	overload := gate.overload
	if gate.running == 0 {
		overload.concurrency.answeredAt = now
	}
	if gate.isSilent(now) {
		overload.concurrency.probedAt = now
	}
	gate.countRunning(task)
}

// The causes of a cut of the concurrency.
const (
	cutShed   = "shed"
	cutSilent = "silent"
	cutSlow   = "slow"
	cutQueue  = "queue-of-server"
)

// cut lowers the number of tasks that may run at once.
func (gate *Gate) cut(now time.Time, to float64, cause string) {
	previous := gate.overload.concurrency.slots(gate.slots)
	if !gate.overload.concurrency.cut(now, to) {
		return
	}
	gate.overload.cuts++
	if current := gate.overload.concurrency.slots(gate.slots); gate.config.OnCut != nil && current != previous {
		gate.config.OnCut(cause, previous, current, gate.overload.slowdown.value(now))
	}
}

// AdmissionCounts returns what the overload control has done, the zero value without it.
func (gate *Gate) AdmissionCounts() lagoonlanding.AdmissionCounts {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.overload == nil {
		return lagoonlanding.AdmissionCounts{}
	}
	return lagoonlanding.NewAdmissionCounts(gate.overload.late, gate.overload.throttled, gate.overload.cuts)
}

// observeServerLoad records the load that the backend server reports.
func (gate *Gate) observeServerLoad(load lagoonlanding.ServerLoad) {
	if gate.overload == nil || load.IsZero() {
		return
	}
	now := gate.config.Clock.Now()
	before := gate.overload.slowdown.value(now)
	gate.overload.slowdown.report(now, load)
	gate.overload.reported = load.Slots()
	if load.Waiting() > 0 {
		// What waits at the backend server waits in this gate instead, where it can be ordered.
		current := gate.overload.concurrency.current(gate.slots)
		gate.cut(now, min(current, float64(max(gate.running-load.Waiting(), 1))), cutQueue)
	}
	if load.Slowdown() > before*noticeableSlowdown {
		gate.review(now)
	}
}

// observeEnd records the end of a task.
func (gate *Gate) observeEnd(pass *Pass, completed bool) {
	if pass.id != gate.id {
		return
	}
	now, overload := gate.config.Clock.Now(), gate.overload
	took, usual := now.Sub(pass.started), gate.meanRunTimes.ofRoute(pass.route)
	wasSilent := gate.isSilent(now)
	if pass.result.Advice().IsGiven() || completed {
		overload.concurrency.answeredAt = now
	}
	failed := pass.result.Reason() == lagoonlanding.ReasonUpstreamFailed || completed && pass.result.Answer().Status() >= http.StatusInternalServerError
	if completed || failed {
		overload.throttle.ended(now, pass.route, !failed)
	}
	current := overload.concurrency.current(gate.slots)
	switch {
	case isShed(pass.result.Reason()), failed && float64(took) < quickFailure*float64(usual):
		gate.cut(now, current*shedFactor, cutShed)
		overload.concurrency.pause(now, usual)
		if len(gate.waiting) > 0 && gate.isPaused(now) {
			// The waiting tasks must look again when the pause ends, although no other task ends or arrives then.
			gate.signalChange()
		}
	case completed:
		gate.observeRunTime(now, pass, took, failed)
	case wasSilent:
		gate.cut(now, 1, cutSilent)
	}
}

// observeRunTime records the run time of an answered task: as that on a machine of the usual speed, from the slowdown at its start and its end.
func (gate *Gate) observeRunTime(now time.Time, pass *Pass, took time.Duration, failed bool) {
	overload, usual := gate.overload, gate.meanRunTimes.ofRoute(pass.route)
	expected := max(gate.prolonged(usual), time.Millisecond)
	overload.recent += (float64(took)/float64(expected) - overload.recent) * smoothingFactor
	if !failed {
		factor := (pass.slowdown + overload.slowdown.value(now)) / 2
		gate.meanRunTimes.observe(pass.route, time.Duration(float64(took)/max(factor, minFactor)))
	}
	if needed := expected.Seconds() * overload.recent; needed > max(maxOutstanding.Seconds(), 2*usual.Seconds()) {
		// The backend server should not run more than it completes within two seconds.
		gate.cut(now, min(overload.concurrency.current(gate.slots), float64(gate.slots)*maxOutstanding.Seconds()/needed), cutSlow)
		return
	}
	overload.concurrency.grow(now, gate.slots)
}

// isShed reports whether a task ended because the backend server takes no more.
func isShed(reason lagoonlanding.Reason) bool {
	switch reason {
	case lagoonlanding.ReasonUpstreamRefused, lagoonlanding.ReasonUpstreamFailed, lagoonlanding.ReasonUnreachable, lagoonlanding.ReasonConnectionLost:
		return true
	}
	return false
}
