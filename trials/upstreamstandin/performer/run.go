package performer

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// maxLog bounds the runs that are kept in memory.
const maxLog = 200_000

// AttemptConfig holds the parts of an Attempt.
type AttemptConfig struct {
	// RequestID names the request.
	RequestID string
	// IdempotencyKey names the request across its caller's tries.
	IdempotencyKey string
	// Key is the key that the request is about.
	Key string
	// Tenant is the name of the caller's tenant.
	Tenant string
	// Fence is the proof of ownership, zero for none.
	Fence lagoonlanding.Fence
}

// Attempt is a request that asks to be run.
type Attempt struct {
	config AttemptConfig
	fence  lagoonlanding.Fence
}

// NewAttempt returns the attempt that the configuration describes.
func NewAttempt(config AttemptConfig) Attempt {
	return Attempt{config: config, fence: config.Fence}
}

// Place is an attempt's stand in a slot or in the queue.
type Place struct {
	attempt Attempt
	ready   chan struct{}
}

// Ready returns a channel that is closed once the attempt has a slot.
func (place *Place) Ready() <-chan struct{} { return place.ready }

// Run is one run of an attempt.
type Run struct {
	attempt AttemptConfig
	started time.Time
	ends    time.Time
	count   int
}

// Attempt returns what was run.
func (run Run) Attempt() AttemptConfig { return run.attempt }

// Started returns the wall time of the start.
func (run Run) Started() time.Time { return run.started }

// Length returns how long the run takes.
func (run Run) Length() time.Duration { return run.ends.Sub(run.started) }

// Count returns the number of runs of the idempotency key on this server, this one included.
func (run Run) Count() int { return run.count }

// Runs returns the newest runs.
func (server *Server) Runs() []Run { return append([]Run{}, server.log...) }

func (server *Server) record(attempt Attempt, now time.Time, length time.Duration) Run {
	run := Run{attempt: attempt.config, started: now, ends: now.Add(length)}
	if attempt.config.IdempotencyKey != "" {
		server.runs[attempt.config.IdempotencyKey]++
		run.count = server.runs[attempt.config.IdempotencyKey]
	}
	if len(server.log) == maxLog {
		server.log = append(server.log[:0], server.log[maxLog/2:]...)
	}
	server.log = append(server.log, run)
	return run
}
