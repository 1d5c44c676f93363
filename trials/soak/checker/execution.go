package checker

import (
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

// ExecutionConfig holds the parts of an Execution.
type ExecutionConfig struct {
	// Owner is the instance whose backend server runs the request.
	Owner lagoonlanding.InstanceID
	// Fence is the proof of ownership, the zero one for a request that needs no owner.
	Fence lagoonlanding.Fence
	// Request is what runs.
	Request lagoonlanding.Request
	// ChecksFence says that the effect takes place at the end and only under the newest token.
	ChecksFence bool
}

// Execution is one run of a request at a backend server.
type Execution struct {
	config ExecutionConfig
}

func (execution *Execution) shard() lagoonlanding.ShardID {
	return lagoonlanding.NewShardID(execution.config.Fence.Group(), execution.config.Fence.Shard())
}

// Started notes that a backend server has begun to run a request.
func (checker *Checker) Started(config ExecutionConfig) *Execution {
	execution := &Execution{config: config}
	request := config.Request
	checker.ran[request.ID()] = true
	if checker.notRun[request.ID()] {
		checker.Break(RuleNotRun, "%s runs at %s after it was refused as not run", request.ID(), config.Owner)
	}
	if config.Fence.IsZero() {
		return execution
	}
	shard := execution.shard()
	if !config.ChecksFence {
		for _, other := range checker.running[shard] {
			if other.config.Owner != config.Owner {
				checker.Break(RuleOneOwner, "%s: %s runs at %s under %d while %s runs at %s under %d", shard,
					request.ID(), config.Owner, config.Fence.Token(),
					other.config.Request.ID(), other.config.Owner, other.config.Fence.Token())
			}
		}
		checker.takeEffect(execution)
	}
	checker.running[shard] = append(checker.running[shard], execution)
	return execution
}

// Ended notes the end of a run; isFenced says that a backend server that checks tokens refused its effect.
func (checker *Checker) Ended(execution *Execution, isFenced bool) {
	if execution.config.Fence.IsZero() {
		return
	}
	shard := execution.shard()
	checker.running[shard] = slices.DeleteFunc(checker.running[shard], func(other *Execution) bool { return other == execution })
	if execution.config.ChecksFence && !isFenced {
		checker.takeEffect(execution)
	}
}

func (checker *Checker) takeEffect(execution *Execution) {
	request := execution.config.Request
	if request.IsIdempotent() {
		return
	}
	if earlier, ok := checker.runs[request.IdempotencyKey()]; ok {
		checker.Break(RuleOnce, "%s runs at %s under %d as %s, having run as %s", request.IdempotencyKey(),
			execution.config.Owner, execution.config.Fence.Token(), request.ID(), earlier)
	}
	checker.runs[request.IdempotencyKey()] = request.ID()
}

// Answered notes what a caller was told about a try of its request.
func (checker *Checker) Answered(request lagoonlanding.Request, reply lagoonlanding.Reply) {
	if reply.RequestID() != request.ID() {
		checker.Break(RuleAnswer, "%s gets the answer to %s", request.ID(), reply.RequestID())
	}
	switch reply.Outcome() {
	case lagoonlanding.OutcomeNotRun:
		checker.notRun[request.ID()] = true
		if checker.ran[request.ID()] {
			checker.Break(RuleNotRun, "%s is refused as not run (%s) after it ran", request.ID(), reply.Reason())
		}
	case lagoonlanding.OutcomeAnswered:
		if string(reply.Body()) != AnswerOf(request) {
			checker.Break(RuleAnswer, "%s gets %q", request.ID(), reply.Body())
		}
	}
}

// AnswerOf returns the answer that a backend server gives to a request, the same for all tries.
func AnswerOf(request lagoonlanding.Request) string {
	return "answer to " + string(request.Body())
}
