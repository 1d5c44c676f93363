package simulator

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// maxRecentRuns is the maximum number of runs kept in memory.
const maxRecentRuns = 200_000

// AttemptConfig holds the fields of an Attempt.
type AttemptConfig struct {
	// RequestID identifies the request.
	RequestID string
	// IdempotencyKey identifies the request across its caller's retries.
	IdempotencyKey string
	// Key is the shard key of the request.
	Key string
	// Tenant is the name of the caller's tenant.
	Tenant string
	// Fence is the proof of ownership, or zero if there is none.
	Fence lagoonlanding.Fence
}

// Attempt is one attempt to run a request.
type Attempt struct {
	config AttemptConfig
	fence  lagoonlanding.Fence
}

// NewAttempt returns an attempt with the given configuration.
func NewAttempt(config AttemptConfig) Attempt {
	return Attempt{config: config, fence: config.Fence}
}

// Admission is an admitted attempt, which occupies a slot or waits in the queue.
type Admission struct {
	attempt Attempt
	ready   chan struct{}
}

// Ready returns a channel that is closed once the attempt occupies a slot.
func (admission *Admission) Ready() <-chan struct{} { return admission.ready }

// Run is the execution of an attempt.
type Run struct {
	attempt AttemptConfig
	started time.Time
	endsAt  time.Time
	count   int
}

// Attempt returns the attempt that was run.
func (run Run) Attempt() AttemptConfig { return run.attempt }

// Started returns the wall-clock time at which the run started.
func (run Run) Started() time.Time { return run.started }

// Duration returns how long the run takes.
func (run Run) Duration() time.Duration { return run.endsAt.Sub(run.started) }

// Count returns the number of runs of the idempotency key on this server, including this one.
func (run Run) Count() int { return run.count }

// Runs returns the most recent runs.
func (server *Server) Runs() []Run { return append([]Run{}, server.recentRuns...) }

func (server *Server) recordRun(attempt Attempt, now time.Time, duration time.Duration) Run {
	run := Run{attempt: attempt.config, started: now, endsAt: now.Add(duration)}
	if attempt.config.IdempotencyKey != "" {
		server.runCounts[attempt.config.IdempotencyKey]++
		run.count = server.runCounts[attempt.config.IdempotencyKey]
	}
	if len(server.recentRuns) == maxRecentRuns {
		server.recentRuns = append(server.recentRuns[:0], server.recentRuns[maxRecentRuns/2:]...)
	}
	server.recentRuns = append(server.recentRuns, run)
	return run
}
