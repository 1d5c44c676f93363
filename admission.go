package lagoonlanding

import "time"

// RefusedAt is where a task was refused because of the load.
type RefusedAt string

// The places of a refusal.
const (
	// RefusedAtOrigin is the daemon that accepted the request, before any hop.
	RefusedAtOrigin RefusedAt = "origin"
	// RefusedAtGate is the gate of a backend server.
	RefusedAtGate RefusedAt = "gate"
)

// AdmissionMeter records metrics of the admission under overload.
type AdmissionMeter interface {
	// Refused records a refusal because of the load; a request can be refused at several gates.
	Refused(task Task, at RefusedAt)
	// ReachedServer records how long after its arrival a request was sent to the first backend server that received it.
	ReachedServer(task Task, after time.Duration)
}
