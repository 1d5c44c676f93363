package caller

import (
	"time"

	"lagoonlanding.example/demo/deployer"
)

// Outcome is what the caller knows about the execution of an operation.
type Outcome string

// The outcomes of an operation.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
	// OutcomeMismatched means that the answer was for another key.
	OutcomeMismatched Outcome = "mismatched"
)

// Operation is a read or write that a caller executes with one or more attempts.
type Operation struct {
	service        deployer.Service
	tenant         deployer.Tenant
	key            string
	write          bool
	idempotencyKey string
	ticket         string
}

// Service returns the service that the operation is sent to.
func (operation Operation) Service() deployer.Service { return operation.service }

// Tenant returns the tenant on whose behalf the operation is sent.
func (operation Operation) Tenant() deployer.Tenant { return operation.tenant }

// IsWrite reports whether the operation must run at most once.
func (operation Operation) IsWrite() bool { return operation.write }

// IdempotencyKey returns the key that identifies the operation across its attempts.
func (operation Operation) IdempotencyKey() string { return operation.idempotencyKey }

// Result is the result of an operation.
type Result struct {
	operation Operation
	outcome   Outcome
	reason    string
	started   time.Time
	finished  time.Time
	refusals  []string
	attempts  int
	owner     string
}

// Operation returns the executed operation.
func (result Result) Operation() Operation { return result.operation }

// Outcome returns what the caller knows about the execution.
func (result Result) Outcome() Outcome { return result.outcome }

// Reason returns why the operation was not answered.
func (result Result) Reason() string { return result.reason }

// Started returns the time at which the operation started.
func (result Result) Started() time.Time { return result.started }

// Latency returns the time from the start of the operation to the end of its last attempt.
func (result Result) Latency() time.Duration { return result.finished.Sub(result.started) }

// Attempts returns the number of attempts that were sent.
func (result Result) Attempts() int { return result.attempts }

// Refusals returns the reason of each attempt that was not run.
func (result Result) Refusals() []string { return result.refusals }

// Owner returns the name of the daemon that decided the outcome of the last attempt.
func (result Result) Owner() string { return result.owner }

// ResultConfig holds the fields of a Result that checks need.
type ResultConfig struct {
	// IdempotencyKey identifies the operation.
	IdempotencyKey string
	// Write is whether the operation must run at most once.
	Write bool
	// Outcome is what the caller knows about the execution.
	Outcome Outcome
}

// NewResult returns a result with the given configuration.
func NewResult(config ResultConfig) Result {
	return Result{operation: Operation{idempotencyKey: config.IdempotencyKey, write: config.Write}, outcome: config.Outcome}
}
