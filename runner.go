package lagoonlanding

import (
	"context"
	"time"
)

// Runner runs tasks on the backend server beside the daemon.
type Runner interface {
	// Run sends the task to the identified backend process; ctx ends when no client waits for the answer any more.
	Run(ctx context.Context, id BackendID, address string, task Task) Result
	// HasEnded reports whether nothing listens at the backend server's address any more, which means that its process has ended.
	HasEnded(ctx context.Context, address string) bool
}

// TaskSender sends tasks to the daemons beside other backend servers.
type TaskSender interface {
	// Send sends the task to the daemon beside the backend server; ctx ends when no client waits for the answer any more.
	Send(ctx context.Context, backend Backend, task Task) Result
}

// Gate is the control thread's interface to the admission control in front of the backend server.
type Gate interface {
	// Open admits tasks to a backend process with the given slots; until warmAt it limits them to coldRate per second.
	Open(id BackendID, slots int, warmAt time.Time, coldRate float64)
	// CloseAt admits tasks until the given time and refuses all tasks with the reason from then on; no other backend server can take over the tasks before that time.
	CloseAt(at time.Time, reason Reason)
	// Close refuses all tasks with the reason.
	Close(reason Reason)
	// EndBy refuses tasks that would not end before the given time, also those that wait: the daemon cannot pass on later answers.
	EndBy(at time.Time)
}

// Shutdown tells which tasks a daemon still accepts while it shuts down.
type Shutdown interface {
	// Accept returns the task, with an earlier deadline if the daemon could not pass on a later answer, or false if the task must not be sent.
	Accept(task Task) (Task, bool)
	// RetryAt returns when the daemon can have been restarted.
	RetryAt() time.Time
}

// DemandMeter measures the load that arrives for the backend server beside the daemon.
type DemandMeter interface {
	// Demand returns the recent load of the shard keys.
	Demand(now time.Time) Demand
}

// LoadReports are the loads that other daemons report with their results.
type LoadReports interface {
	// Utilization returns the recent load per slot of a daemon's backend server and the mean run time of its tasks; it returns false
	// without a recent report.
	Utilization(now time.Time, daemon string) (perSlot float64, meanRunTime time.Duration, ok bool)
}

// MoveMeter records moves of shard keys for load. A daemon whose LoadReports are a MoveMeter too plans moves from several backend servers to several
// others at a time.
type MoveMeter interface {
	// Moved records a planned move of stripes with its expected gain and loss of service, in seconds of all slots of the backend server.
	Moved(stripes int, gain, loss float64)
}

// TaskMeter records metrics of clients' requests.
type TaskMeter interface {
	// Ended records the result of a request, its number of attempts and its duration.
	Ended(task Task, result Result, attempts int, took time.Duration)
}

// StoreMeter records metrics of calls to the platform's store.
type StoreMeter interface {
	// Called records a call of a kind, such as a renewal, and whether the store answered it.
	Called(kind string, answered bool)
}

// ConnectionMeter records metrics of client connections.
type ConnectionMeter interface {
	// ReadAhead counts a request that was read before those before it on its connection had been answered.
	ReadAhead()
	// Held records how long a finished response waited for those before it on its connection.
	Held(took time.Duration)
	// Panicked counts a request whose handler panicked.
	Panicked()
}

// TaskHandler handles the tasks that arrive at a daemon.
type TaskHandler interface {
	// Handle returns the result of the task; the caller closes the body of an answer.
	Handle(ctx context.Context, task Task) Result
}

// AnnouncementHandler handles registration messages of the backend server beside the daemon.
type AnnouncementHandler interface {
	// Announce returns the backend server's range assignment; it returns false if the announcement cannot be acknowledged.
	Announce(ctx context.Context, announcement Announcement) (RangeAssignment, bool)
	// Deregister handles the notice that the backend server is about to stop; startedMilli is the Unix time in milliseconds at which its process
	// started, zero if the notice doesn't say. It returns false if the notice cannot be acknowledged.
	Deregister(ctx context.Context, name string, startedMilli int64, received time.Time) bool
}

// Directive is one operator instruction from the store.
type Directive struct {
	routing       *Routing
	evacuatedZone string
}

// NewRoutingDirective returns a directive that publishes routes, services and limits.
func NewRoutingDirective(routing *Routing) Directive { return Directive{routing: routing} }

// NewEvacuationDirective returns a directive to send no tasks to the backend servers of an availability zone.
func NewEvacuationDirective(zone string) Directive { return Directive{evacuatedZone: zone} }

// Routing returns the published version, nil for a directive of another kind.
func (directive Directive) Routing() *Routing { return directive.routing }

// EvacuatedZone returns the availability zone that receives no tasks, empty for a directive of another kind.
func (directive Directive) EvacuatedZone() string { return directive.evacuatedZone }
