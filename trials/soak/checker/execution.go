package checker

import (
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

// ExecutionConfig holds the fields of an Execution.
type ExecutionConfig struct {
	// Owner is the instance whose backend server runs the request.
	Owner lagoonlanding.InstanceID
	// Fence is the fencing token of the owner, zero for a request that needs no owner.
	Fence lagoonlanding.Fence
	// Request is the request that runs.
	Request lagoonlanding.Request
	// ChecksFence means that the backend server checks the fencing token: the effect takes place at the end and only with the newest token.
	ChecksFence bool
}

// Execution is one execution of a request at a backend server.
type Execution struct {
	config ExecutionConfig
}

func (execution *Execution) shard() lagoonlanding.ShardID {
	return lagoonlanding.NewShardID(execution.config.Fence.Group(), execution.config.Fence.Shard())
}

// StartExecution records that a backend server has begun to run a request.
func (checker *Checker) StartExecution(config ExecutionConfig) *Execution {
	execution := &Execution{config: config}
	request := config.Request
	checker.started[request.ID()] = true
	if checker.refused[request.ID()] {
		checker.ReportViolation(RuleNotRun, "%s runs at %s after it was refused as not run", request.ID(), config.Owner)
	}
	if config.Fence.IsZero() {
		return execution
	}
	shard := execution.shard()
	if !config.ChecksFence {
		for _, other := range checker.running[shard] {
			if other.config.Owner != config.Owner {
				checker.ReportViolation(RuleOneOwner, "%s: %s runs at %s under %d while %s runs at %s under %d", shard,
					request.ID(), config.Owner, config.Fence.Token(),
					other.config.Request.ID(), other.config.Owner, other.config.Fence.Token())
			}
		}
		checker.recordEffect(execution)
	}
	checker.running[shard] = append(checker.running[shard], execution)
	return execution
}

// EndExecution records the end of an execution; isFenced means that the backend server rejected its effect by the fencing token.
func (checker *Checker) EndExecution(execution *Execution, isFenced bool) {
	if execution.config.Fence.IsZero() {
		return
	}
	shard := execution.shard()
	checker.running[shard] = slices.DeleteFunc(checker.running[shard], func(other *Execution) bool { return other == execution })
	if execution.config.ChecksFence && !isFenced {
		checker.recordEffect(execution)
	}
}

// recordEffect records that a request took effect, which must happen at most once unless it is idempotent.
func (checker *Checker) recordEffect(execution *Execution) {
	request := execution.config.Request
	if request.IsIdempotent() {
		return
	}
	if earlier, ok := checker.effects[request.IdempotencyKey()]; ok {
		checker.ReportViolation(RuleOnce, "%s runs at %s under %d as %s, having run as %s", request.IdempotencyKey(),
			execution.config.Owner, execution.config.Fence.Token(), request.ID(), earlier)
	}
	checker.effects[request.IdempotencyKey()] = request.ID()
}

// RecordReply records the reply that a caller received for one attempt of its request.
func (checker *Checker) RecordReply(request lagoonlanding.Request, reply lagoonlanding.Reply) {
	if reply.RequestID() != request.ID() {
		checker.ReportViolation(RuleAnswer, "%s received the answer to %s", request.ID(), reply.RequestID())
	}
	switch reply.Outcome() {
	case lagoonlanding.OutcomeNotRun:
		checker.refused[request.ID()] = true
		if checker.started[request.ID()] {
			checker.ReportViolation(RuleNotRun, "%s is refused as not run (%s) after it ran", request.ID(), reply.Reason())
		}
	case lagoonlanding.OutcomeAnswered:
		if string(reply.Body()) != ExpectedBody(request) {
			checker.ReportViolation(RuleAnswer, "%s received %q", request.ID(), reply.Body())
		}
	}
}

// ExpectedBody returns the body of a backend server's answer to a request; it is the same for all attempts.
func ExpectedBody(request lagoonlanding.Request) string {
	return "answer to " + string(request.Body())
}
