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

// updateAdmission sets the gauges of the gate: the number of admitted ranks, zero for all, and the slowdown of the machine.
func (recorder *Recorder) updateAdmission(load lagoonlanding.Load) {
	recorder.scope.Gauge("admission_level").Update(float64(load.Level()))
	recorder.scope.Gauge("admission_slowdown").Update(load.Slowdown())
}
