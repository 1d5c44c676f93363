package simulator

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
	"lagoonlanding.example/soak/checker"
	"lagoonlanding.example/soak/generator"
)

// operation is a logical request of a caller with all of its attempts.
type operation struct {
	number     int
	key        lagoonlanding.Key
	idempotent bool
	ticket     lagoonlanding.Ticket
	attempts   int
	mustAnswer bool
	// isLong means that the request runs almost until its deadline.
	isLong bool
	// retryUntil is the time from which a request that must be answered is no longer retried.
	retryUntil time.Duration
}

const (
	keyCount = 60
	// resendWindow is the number of latest operations that resend events select from.
	resendWindow   = 400
	maxAttempts    = 5
	maxResendDelay = 2 * time.Second
	// lostReplyPercent is the share of answers that do not reach the caller, which then resends the request.
	lostReplyPercent   = 25
	requestTimeout     = time.Second
	probeRetryInterval = 20 * time.Millisecond
)

// startOperation sends the first attempt of a new operation.
func (fleet *Fleet) startOperation(event generator.Event) {
	process := fleet.processes[event.Subject()%len(fleet.processes)]
	issuer := fleet.processes[event.Object()%len(fleet.processes)]
	if process == nil {
		fleet.counts["caller found no daemon"]++
		return
	}
	if issuer == nil || event.Parameter()%2 > 0 {
		issuer = process
	}
	workspaces := fleet.topology.workspaces()
	service := ownedService
	if event.Parameter()/2%2 == 0 {
		service = pooledService
	}
	workspace := workspaces[event.Object()%len(workspaces)]
	if event.Parameter()%7 > 0 && !workspace.Permits(process.slot.region) {
		// Most callers know which daemons they may use.
		workspace = workspaces[0]
	}
	name := fmt.Sprintf("key-%d", event.Parameter()%keyCount)
	operation := &operation{
		number: len(fleet.operations), key: lagoonlanding.NewKey(service, workspace.Name(), name), idempotent: event.Parameter()%3 == 0,
		ticket: lagoonlanding.NewTicket(issuer.snapshot.Revision(), issuer.clock.Now()),
	}
	fleet.operations = append(fleet.operations, operation)
	fleet.sendAttempt(operation, process)
}

// resend sends another attempt of an earlier operation, answered or not.
func (fleet *Fleet) resend(event generator.Event) {
	process := fleet.processes[event.Subject()%len(fleet.processes)]
	if process == nil || len(fleet.operations) == 0 {
		return
	}
	recent := fleet.operations[max(0, len(fleet.operations)-resendWindow):]
	fleet.sendAttempt(recent[event.Object()%len(recent)], process)
}

// sendAttempt sends an attempt of the operation to a daemon and reports the reply to the checker.
func (fleet *Fleet) sendAttempt(operation *operation, process *Process) {
	fleet.requestCount++
	operation.attempts++
	wait, class := requestTimeout, ""
	if operation.key.Service() == ownedService && !operation.mustAnswer {
		wait = maxOwnedRunTime
	}
	if operation.mustAnswer {
		class = shortClass
	}
	if operation.isLong {
		class = longClass
	}
	request := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: fmt.Sprintf("request-%d-%d", operation.number, operation.attempts), Tenant: operation.key.Workspace(), Class: class,
		Key: operation.key, Method: "POST", Path: "/" + operation.key.Name(), Body: fmt.Appendf(nil, "operation-%d", operation.number),
		Idempotent: operation.idempotent, IdempotencyKey: fmt.Sprintf("operation-%d", operation.number), Ticket: operation.ticket,
		Deadline: process.clock.Now().Add(wait),
	})
	process.runWhenThawed(func() {
		process.serve(request, func(reply lagoonlanding.Reply) { fleet.onReply(operation, process, request, reply) })
	})
}

func (fleet *Fleet) onReply(operation *operation, process *Process, request lagoonlanding.Request, reply lagoonlanding.Reply) {
	outcome := reply.Outcome().String()
	if reply.Reason() != lagoonlanding.ReasonNone {
		outcome += " " + string(reply.Reason())
	}
	fleet.trace("%s at %s: %s", request.ID(), process.id, outcome)
	fleet.counts["reply "+outcome]++
	fleet.checker.RecordReply(request, reply)
	if operation.mustAnswer {
		if reply.Outcome() == lagoonlanding.OutcomeNotRun && fleet.timer.Now() < operation.retryUntil {
			fleet.timer.AfterFunc(probeRetryInterval, func() { fleet.sendAttempt(operation, process) })
			return
		}
		if reply.Outcome() != lagoonlanding.OutcomeAnswered {
			fleet.checker.ReportViolation(checker.RuleServed, "%s of %s %s at %s: %s by %s, ticket %d", request.ID(),
				operation.key.Service(), operation.key.Workspace(), process.id, outcome, reply.Owner().ID(), operation.ticket.Revision())
		}
		return
	}
	isAnswered := reply.Outcome() == lagoonlanding.OutcomeAnswered
	if isAnswered && fleet.random.IntN(100) >= lostReplyPercent || operation.attempts >= maxAttempts {
		return
	}
	pause := time.Duration(fleet.random.Int64N(int64(maxResendDelay)))
	nextProcess := fleet.random.IntN(len(fleet.processes))
	fleet.timer.AfterFunc(pause, func() {
		if fleet.processes[nextProcess] != nil {
			fleet.sendAttempt(operation, fleet.processes[nextProcess])
		}
	})
}

// probe sends each shard a request that must be answered.
func (fleet *Fleet) probe() {
	set := fleet.topology.set(1, nil)
	for _, service := range set.Services() {
		for _, partition := range service.Partitions() {
			for shard := range partition.Shards() {
				fleet.probeShard(service, partition, shard)
			}
		}
	}
}

func (fleet *Fleet) probeShard(service publisher.Service, partition publisher.Partition, shard int) {
	for _, workspace := range fleet.topology.workspaces() {
		process := fleet.permittedProcess(workspace)
		for range 1000 {
			operation := &operation{number: len(fleet.operations), mustAnswer: true, retryUntil: fleet.timer.Now() + probeTimeout}
			operation.key = lagoonlanding.NewKey(service.Name(), workspace.Name(), fmt.Sprintf("probe-%d", operation.number))
			fleet.operations = append(fleet.operations, operation)
			request := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
				Key: operation.key, IdempotencyKey: fmt.Sprintf("operation-%d", operation.number),
			})
			group, number, ok := router.Locate(service, workspace, request)
			if !ok || group.Partition() != partition.Name() {
				break
			}
			if number == shard {
				operation.ticket = lagoonlanding.NewTicket(process.snapshot.Revision(), process.clock.Now())
				fleet.sendAttempt(operation, process)
				return
			}
		}
	}
}

// permittedProcess returns a random process in a region that the workspace permits.
func (fleet *Fleet) permittedProcess(workspace publisher.Workspace) *Process {
	offset := fleet.random.IntN(len(fleet.processes))
	for number := range fleet.processes {
		process := fleet.processes[(number+offset)%len(fleet.processes)]
		if process != nil && workspace.Permits(process.slot.region) {
			return process
		}
	}
	panic("no daemon is running in the home region")
}
