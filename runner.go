package lagoonlanding

import (
	"context"
	"time"
)

// Runner runs tasks on the backend server beside the daemon.
type Runner interface {
	// Run sends the task to the life of the backend server; ctx ends when nobody waits for the answer any more.
	Run(ctx context.Context, id BackendID, address string, task Task) Result
	// HasEnded reports whether nothing listens at the backend server's address any more, so that its process has ended.
	HasEnded(ctx context.Context, address string) bool
}

// Carrier takes tasks to the daemons beside other backend servers.
type Carrier interface {
	// Carry sends the task to the daemon beside the backend server; ctx ends when nobody waits for the answer any more.
	Carry(ctx context.Context, backend Backend, task Task) Result
}

// Gate is what the control thread tells the gate before the backend server.
type Gate interface {
	// Open lets tasks pass to a life of the backend server with so many slots; while it is cold it takes them at a rate.
	Open(id BackendID, slots int, warmAt time.Time, coldRate float64)
	// Leave lets tasks pass until a time and then refuses all for the reason; nobody else can take them before.
	Leave(at time.Time, reason Reason)
	// Close refuses all tasks for the reason.
	Close(reason Reason)
}

// TaskMeter counts what becomes of the requests of clients.
type TaskMeter interface {
	// Ended notes the result of a request after so many tries, and how long it took.
	Ended(task Task, result Result, tries int, took time.Duration)
}

// TaskHandler takes the tasks that arrive at a daemon.
type TaskHandler interface {
	// Handle returns what became of the task; whoever calls closes the body of an answer.
	Handle(ctx context.Context, task Task) Result
}

// AnnouncementHandler takes what the backend server beside the daemon says of itself.
type AnnouncementHandler interface {
	// Announce returns what the backend server is to hold; it is false if the announcement cannot be acknowledged.
	Announce(ctx context.Context, announcement Announcement) (HoldOrder, bool)
	// Depart notes that the backend server is about to leave; it is false if that cannot be acknowledged.
	Depart(ctx context.Context, name string, received time.Time) bool
}

// Directive is one thing that operators have written to the store.
type Directive struct {
	routing   *Routing
	evacuated string
}

// NewRoutingDirective returns the publication of routes, services and limits.
func NewRoutingDirective(routing *Routing) Directive { return Directive{routing: routing} }

// NewEvacuationDirective returns the order to send nothing to the backend servers of a zone.
func NewEvacuationDirective(zone string) Directive { return Directive{evacuated: zone} }

// Routing returns the published version, nil if the directive is of another kind.
func (directive Directive) Routing() *Routing { return directive.routing }

// EvacuatedZone returns the zone that gets nothing, empty if the directive is of another kind.
func (directive Directive) EvacuatedZone() string { return directive.evacuated }
