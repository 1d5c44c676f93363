package chooser

import (
	"sync"
	"sync/atomic"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// averageWeight is the weight of one report in the average of its tier, which is known from about ten reports.
	averageWeight = 0.1
	// averageHalfLife is the age at which the average of a tier has half its weight: the load of a zone doubles within some seconds.
	averageHalfLife = 2 * time.Second
	// slowdownHalfLife is the age at which a reported slowdown has half its weight: noisy neighbours stay for 400 ms.
	slowdownHalfLife = 200 * time.Millisecond
	// usualRunTimeHalfLife is the time after which a new run time has half its weight in the usual run time, which outlasts noisy neighbours.
	usualRunTimeHalfLife = 4 * time.Second
	// minUsualWeight is the least weight of a report in the usual run time, so that seldom used backend servers are known too.
	minUsualWeight = 0.05
	// coldTerm is how long a new backend server is cold.
	coldTerm = 3 * time.Second
)

// average is the average load of the backend servers of a tier; readers take no lock.
type average struct {
	mutex sync.Mutex
	state atomic.Pointer[averageState]
}

type averageState struct {
	estimate
	at time.Time
}

// at returns the average, which decays with its age towards the initial assumption of the load.
func (average *average) at(now time.Time) estimate {
	state := average.state.Load()
	if state == nil {
		return estimate{meanRunTime: initialMeanRunTime, tasksPerSlot: initialTasksPerSlot}
	}
	expected := state.estimate
	expected.tasksPerSlot = initialTasksPerSlot + (state.tasksPerSlot-initialTasksPerSlot)*decay(now.Sub(state.at), averageHalfLife)
	return expected
}

// observe adds a report.
func (average *average) observe(now time.Time, tasksPerSlot float64, runTime time.Duration) {
	average.mutex.Lock()
	defer average.mutex.Unlock()
	next := averageState{estimate: estimate{tasksPerSlot: tasksPerSlot, meanRunTime: runTime}, at: now}
	if average.state.Load() != nil {
		known := average.at(now)
		next.tasksPerSlot = known.tasksPerSlot + (tasksPerSlot-known.tasksPerSlot)*averageWeight
		next.meanRunTime = known.meanRunTime + time.Duration(float64(runTime-known.meanRunTime)*averageWeight)
	}
	average.state.Store(&next)
}

// track is what a daemon knows about one backend server; a choice reads it without a lock.
type track struct {
	// id is the process that was last a candidate; the preparation of views guards it.
	id       lagoonlanding.BackendID
	inFlight atomic.Int64
	average  atomic.Pointer[average]

	mutex sync.Mutex
	state atomic.Pointer[trackState]
}

// trackState is one version of the state; it is immutable.
type trackState struct {
	// load is the last report, and reportedAt its time, or the zero time.
	load       lagoonlanding.Load
	reportedAt time.Time
	// inFlightAtReport is the number of tasks of this daemon at the backend server when the load was reported.
	inFlightAtReport int64
	// usualRunTime is the moving average of the run time, without what noisy neighbours add to it for a moment.
	usualRunTime time.Duration
	// slowdown is how many times as long as usual work took at the report.
	slowdown float64
	// utilization is the moving average of the running and waiting tasks per slot.
	utilization float64
	// avoidUntil is the time until which the backend server is chosen only if there is no other.
	avoidUntil time.Time
	// coldUntil is the time until which the backend server gets only its share of the tasks that a cold one accepts.
	coldUntil time.Time
}

var unknownState = &trackState{slowdown: 1}

// current returns the latest version of the state.
func (track *track) current() *trackState {
	if state := track.state.Load(); state != nil {
		return state
	}
	return unknownState
}

// update replaces the state by a changed copy.
func (track *track) update(change func(state *trackState)) {
	track.mutex.Lock()
	defer track.mutex.Unlock()
	next := *track.current()
	change(&next)
	track.state.Store(&next)
}

// start records that a process is a candidate for the first time: it is cold, and what is known of an earlier one is discarded.
func (track *track) start(now time.Time) {
	track.update(func(state *trackState) {
		if !track.id.IsZero() {
			*state = trackState{slowdown: 1, usualRunTime: state.usualRunTime}
		}
		state.coldUntil = now.Add(coldTerm)
	})
}

// report records a reported load.
func (trackstate *trackState) report(now time.Time, load lagoonlanding.Load, inFlight int64) {
	age := now.Sub(trackstate.reportedAt)
	isFirst := trackstate.reportedAt.IsZero() || age > maxReportAge
	tasksPerSlot := tasksPerSlotOf(load)
	if isFirst {
		trackstate.utilization = tasksPerSlot
	}
	trackstate.utilization += (tasksPerSlot - trackstate.utilization) * (1 - decay(age, utilizationHalfLife))
	trackstate.slowdown = load.Slowdown()
	// What the machine's slowdown of this moment adds to the mean run time is taken off: it is applied while it lasts.
	runTime := time.Duration(float64(load.MeanRunTime()) / max(trackstate.slowdown, 1))
	if trackstate.usualRunTime <= 0 {
		trackstate.usualRunTime = load.MeanRunTime()
	}
	if runTime > 0 {
		weight := max(1-decay(age, usualRunTimeHalfLife), minUsualWeight)
		trackstate.usualRunTime += time.Duration(float64(load.MeanRunTime()-trackstate.usualRunTime) * min(weight, 1))
		// A server that reports no slowdown shows it by run times beyond the usual.
		trackstate.slowdown = max(trackstate.slowdown, min(load.MeanRunTime().Seconds()/trackstate.usualRunTime.Seconds(), maxInferredSlowdown))
	}
	trackstate.load, trackstate.inFlightAtReport, trackstate.reportedAt = load, inFlight, now
}

// maxInferredSlowdown bounds the slowdown that is inferred from run times, which also vary with the mix of routes.
const maxInferredSlowdown = 2

func tasksPerSlotOf(load lagoonlanding.Load) float64 {
	return float64(load.Running()+load.Waiting()) / float64(max(load.Slots(), 1))
}

// done records the result of a task.
func (track *track) done(now time.Time, result lagoonlanding.Result, avoidTerm time.Duration) {
	inFlight := track.inFlight.Add(-1)
	track.update(func(state *trackState) {
		if result.Load().Slots() > 0 {
			state.report(now, result.Load(), inFlight)
		}
		switch result.Reason() {
		case lagoonlanding.ReasonUnreachable, lagoonlanding.ReasonConnectionLost, lagoonlanding.ReasonNoUpstream, lagoonlanding.ReasonShuttingDown:
			state.avoidUntil = now.Add(avoidTerm)
		case lagoonlanding.ReasonDeadline:
			// A daemon that has not responded by the deadline may hang; one that reports a load has only run out of time at its backend server.
			if result.Load().Slots() == 0 {
				state.avoidUntil = now.Add(avoidTerm)
			}
		case lagoonlanding.ReasonUpstreamCold:
			if until := now.Add(coldRefusalTerm); until.After(state.coldUntil) {
				state.coldUntil = until
			}
		case lagoonlanding.ReasonNone:
			state.avoidUntil = time.Time{}
		}
	})
	if average := track.average.Load(); average != nil && result.Load().Slots() > 0 {
		average.observe(now, tasksPerSlotOf(result.Load()), result.Load().MeanRunTime())
	}
}

// coldRefusalTerm is how long a backend server that refused a task because it is cold gets only its share of what it accepts.
const coldRefusalTerm = time.Second
