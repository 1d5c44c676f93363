package lagoonlanding

import (
	"io"
	"net/http"
	"time"
)

// NoShardKey is the shard key of a task without one.
const NoShardKey = -1

// TaskConfig holds the fields of a Task.
type TaskConfig struct {
	// ID identifies one attempt of a client.
	ID string
	// Method, Host and Target are those of the client's request; Target is the unmodified path and query.
	Method, Host, Target string
	// Header holds the end-to-end header fields of the request.
	Header http.Header
	// Body streams the request body; nil if there is none.
	Body io.Reader
	// BodyLength is the length of the body in bytes, -1 if it is unknown.
	BodyLength int64
	// Received is when the request arrived.
	Received time.Time
	// Deadline is when the client stops waiting.
	Deadline time.Time
	// ShardKey determines the owner in a sharded service; NoShardKey if there is none.
	ShardKey int
	// Caller is the service beside the daemon that received the request from the client.
	Caller string
	// Service is the service that the route names.
	Service string
	// Route is the name of the route.
	Route string
	// Priority orders requests at a busy backend server; the lowest value goes first.
	Priority int
	// Objective is the time until which an answer meets the latency objective of the route.
	Objective time.Time
	// Repeated means that another backend server may have run the task.
	Repeated bool
	// AtMostOnce means that the task must not run twice.
	AtMostOnce bool
	// Key is the digest of the API key that the client sent; it stays in the daemon that received the request.
	Key KeyDigest
	// Workspace is the name of the workspace to which the API key belongs, empty if there is none.
	Workspace string
	// Relayed means that the receiving daemon handles the task like a client's request, since the sender has no credit for it.
	Relayed bool
	// Client is the address of the client without its port; only the daemon that accepted the request knows it.
	Client string
	// Precedence is how the client came back after a refusal.
	Precedence Precedence
}

// Task is a client's request to a service of the mesh, with a streamed body.
type Task struct {
	config TaskConfig
}

// NewTask returns a task with the given configuration.
func NewTask(config TaskConfig) Task { return Task{config: config} }

// ID returns the identifier of the client's attempt.
func (task Task) ID() string { return task.config.ID }

// Method returns the method of the request.
func (task Task) Method() string { return task.config.Method }

// Host returns the host of the client's request.
func (task Task) Host() string { return task.config.Host }

// Target returns the unmodified path and query.
func (task Task) Target() string { return task.config.Target }

// Header returns the end-to-end header fields; callers must not modify them.
func (task Task) Header() http.Header { return task.config.Header }

// Body returns the body stream, nil if there is none.
func (task Task) Body() io.Reader { return task.config.Body }

// BodyLength returns the length of the body in bytes, -1 if it is unknown.
func (task Task) BodyLength() int64 { return task.config.BodyLength }

// Received returns when the request arrived at this daemon.
func (task Task) Received() time.Time { return task.config.Received }

// Deadline returns when the client stops waiting.
func (task Task) Deadline() time.Time { return task.config.Deadline }

// ShardKey returns the key that determines the owner in a sharded service, NoShardKey if there is none.
func (task Task) ShardKey() int { return task.config.ShardKey }

// Caller returns the service beside the daemon that received the request from the client.
func (task Task) Caller() string { return task.config.Caller }

// Service returns the service that the route names.
func (task Task) Service() string { return task.config.Service }

// Route returns the name of the route.
func (task Task) Route() string { return task.config.Route }

// Priority returns the priority at a busy backend server; the lowest value goes first.
func (task Task) Priority() int { return task.config.Priority }

// Objective returns the time until which an answer meets the latency objective of the route.
func (task Task) Objective() time.Time { return task.config.Objective }

// IsRepeated reports whether another backend server may have run the task.
func (task Task) IsRepeated() bool { return task.config.Repeated }

// IsAtMostOnce reports whether the task must not run twice.
func (task Task) IsAtMostOnce() bool { return task.config.AtMostOnce }

// Key returns the digest of the API key that the client sent, the zero value in other daemons.
func (task Task) Key() KeyDigest { return task.config.Key }

// Workspace returns the name of the workspace to which the API key belongs, empty if there is none.
func (task Task) Workspace() string { return task.config.Workspace }

// IsRelayed reports whether the receiving daemon handles the task like a client's request.
func (task Task) IsRelayed() bool { return task.config.Relayed }

// Client returns the address of the client without its port, empty at other daemons than the one that accepted the request.
func (task Task) Client() string { return task.config.Client }

// Precedence returns how the client came back after a refusal.
func (task Task) Precedence() Precedence { return task.config.Precedence }

// With returns a copy with the given changes to its configuration.
func (task Task) With(change func(config *TaskConfig)) Task {
	change(&task.config)
	return task
}

// Rewinder is a body that can be read again from the start.
type Rewinder interface {
	// Rewound returns the body from its start, after which this one can't be read any more; it returns false if that is impossible.
	Rewound() (io.Reader, bool)
}
