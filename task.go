package lagoonlanding

import (
	"io"
	"net/http"
	"time"
)

// NoShardKey is the shard key of a task that carries none.
const NoShardKey = -1

// TaskConfig holds the parts of a Task.
type TaskConfig struct {
	// ID names one attempt of one client.
	ID string
	// Method, Host and Target are those of the client's request; Target holds path and query as they came.
	Method, Host, Target string
	// Header holds the end-to-end fields of the request.
	Header http.Header
	// Body streams the request's body; nil for none.
	Body io.Reader
	// BodyLength is the length of the body, -1 if it is not known.
	BodyLength int64
	// Received is when the request arrived.
	Received time.Time
	// Deadline is when the client stops waiting.
	Deadline time.Time
	// ShardKey is the key by which a divided service finds the owner, NoShardKey for none.
	ShardKey int
	// Caller is the service that runs beside the daemon at which the request began.
	Caller string
	// Service is the service that the route names.
	Service string
	// Route is the name of the route.
	Route string
	// Rank orders requests at a busy backend server; the lowest goes first.
	Rank int
	// Objective is when an answer earns its full worth.
	Objective time.Time
	// Repeated says that another backend server may have run the task.
	Repeated bool
}

// Task is a request whose body streams through the fleet.
type Task struct {
	config TaskConfig
}

// NewTask returns the task that the configuration describes.
func NewTask(config TaskConfig) Task { return Task{config: config} }

// ID returns the name of the client's attempt.
func (task Task) ID() string { return task.config.ID }

// Method returns the method of the request.
func (task Task) Method() string { return task.config.Method }

// Host returns the host that the client named.
func (task Task) Host() string { return task.config.Host }

// Target returns the path and the query as they came.
func (task Task) Target() string { return task.config.Target }

// Header returns the end-to-end fields; callers do not change them.
func (task Task) Header() http.Header { return task.config.Header }

// Body returns the stream of the body, nil for none.
func (task Task) Body() io.Reader { return task.config.Body }

// BodyLength returns the length of the body, -1 if it is not known.
func (task Task) BodyLength() int64 { return task.config.BodyLength }

// Received returns when the request arrived at this daemon.
func (task Task) Received() time.Time { return task.config.Received }

// Deadline returns when the client stops waiting.
func (task Task) Deadline() time.Time { return task.config.Deadline }

// ShardKey returns the key by which a divided service finds the owner, NoShardKey for none.
func (task Task) ShardKey() int { return task.config.ShardKey }

// Caller returns the service beside the daemon at which the request began.
func (task Task) Caller() string { return task.config.Caller }

// Service returns the service that the route names.
func (task Task) Service() string { return task.config.Service }

// Route returns the name of the route.
func (task Task) Route() string { return task.config.Route }

// Rank returns the order at a busy backend server; the lowest goes first.
func (task Task) Rank() int { return task.config.Rank }

// Objective returns when an answer earns its full worth.
func (task Task) Objective() time.Time { return task.config.Objective }

// IsRepeated reports whether another backend server may have run the task.
func (task Task) IsRepeated() bool { return task.config.Repeated }

// With returns the task with changes to its configuration.
func (task Task) With(change func(config *TaskConfig)) Task {
	change(&task.config)
	return task
}

// Replayer is a body that may be read from its start again.
type Replayer interface {
	// Replay goes back to the start; it is false if the body was too long to keep.
	Replay() bool
}
