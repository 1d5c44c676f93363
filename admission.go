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

// AdmissionCounts are totals of the overload control of a gate.
type AdmissionCounts struct {
	late, throttled, cuts int64
}

// NewAdmissionCounts returns the totals of late tasks, of refused tasks of failing routes and of cuts of the concurrency.
func NewAdmissionCounts(late, throttled, cuts int64) AdmissionCounts {
	return AdmissionCounts{late: late, throttled: throttled, cuts: cuts}
}

// Late returns the number of tasks that could not start in time and waited for room that no other task needs.
func (admissioncounts AdmissionCounts) Late() int64 { return admissioncounts.late }

// Throttled returns the number of tasks that were refused because the tasks of their route fail at the backend server.
func (admissioncounts AdmissionCounts) Throttled() int64 { return admissioncounts.throttled }

// Cuts returns how often the number of tasks that may run at once was lowered.
func (admissioncounts AdmissionCounts) Cuts() int64 { return admissioncounts.cuts }
