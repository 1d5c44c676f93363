package caller

import (
	"time"

	"lagoonlanding.example/demo/deployer"
)

// Outcome says what a caller knows of an operation at its end.
type Outcome string

// The outcomes of an operation.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
	// OutcomeMismatched says that the answer was for another key.
	OutcomeMismatched Outcome = "mismatched"
)

// Operation is what a caller wants done, whatever the number of tries.
type Operation struct {
	service        deployer.Service
	tenant         deployer.Tenant
	key            string
	write          bool
	idempotencyKey string
	ticket         string
}

// Service returns the service that is asked.
func (operation Operation) Service() deployer.Service { return operation.service }

// Tenant returns the tenant on whose behalf it is sent.
func (operation Operation) Tenant() deployer.Tenant { return operation.tenant }

// IsWrite reports whether the operation must run at most once.
func (operation Operation) IsWrite() bool { return operation.write }

// IdempotencyKey names the operation across its tries.
func (operation Operation) IdempotencyKey() string { return operation.idempotencyKey }

// Result is the end of an operation.
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

// Operation returns what was wanted.
func (result Result) Operation() Operation { return result.operation }

// Outcome returns what the caller knows.
func (result Result) Outcome() Outcome { return result.outcome }

// Reason returns why the operation was not answered.
func (result Result) Reason() string { return result.reason }

// Started returns when the first try was sent.
func (result Result) Started() time.Time { return result.started }

// Latency returns the time from the first try to the end.
func (result Result) Latency() time.Duration { return result.finished.Sub(result.started) }

// Tries returns the number of tries.
func (result Result) Attempts() int { return result.attempts }

// Refusals returns the reasons of the tries that were not run.
func (result Result) Refusals() []string { return result.refusals }

// Owner returns the name of the daemon that decided.
func (result Result) Owner() string { return result.owner }

// ResultConfig holds the parts of a Result that a checker reads.
type ResultConfig struct {
	// IdempotencyKey names the operation.
	IdempotencyKey string
	// Write says that the operation must run at most once.
	Write bool
	// Outcome is what the caller knows.
	Outcome Outcome
}

// NewResult returns the result that the configuration describes.
func NewResult(config ResultConfig) Result {
	return Result{operation: Operation{idempotencyKey: config.IdempotencyKey, write: config.Write}, outcome: config.Outcome}
}
