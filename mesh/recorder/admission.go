package recorder

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var _ lagoonlanding.AdmissionMeter = (*Recorder)(nil)

// Refused counts a refusal because of the load by its place.
func (recorder *Recorder) Refused(task lagoonlanding.Task, at lagoonlanding.RefusedAt) {
	recorder.scope.Tagged(map[string]string{
		"route": recorder.routeLabel(task.Route()), "service": task.Service(), "at": string(at),
	}).Counter("admission_refusals").Inc(1)
}

// ReachedServer records how long after its arrival a request was sent to the first backend server that received it.
func (recorder *Recorder) ReachedServer(task lagoonlanding.Task, after time.Duration) {
	recorder.scope.Tagged(map[string]string{
		"route": recorder.routeLabel(task.Route()), "service": task.Service(),
	}).Histogram("admission_first_server_seconds", latencyBuckets).RecordDuration(after)
}

// updateAdmission sets the gauges of the gate: the number of admitted ranks, zero for all, the slowdown of the machine, and totals.
func (recorder *Recorder) updateAdmission(load lagoonlanding.Load) {
	recorder.scope.Gauge("admission_level").Update(float64(load.Level()))
	recorder.scope.Gauge("admission_slowdown").Update(load.Slowdown())
	if recorder.config.Admission == nil {
		return
	}
	counts := recorder.config.Admission()
	recorder.scope.Gauge("admission_late_tasks").Update(float64(counts.Late()))
	recorder.scope.Gauge("admission_throttled_tasks").Update(float64(counts.Throttled()))
	recorder.scope.Gauge("admission_cuts").Update(float64(counts.Cuts()))
}
