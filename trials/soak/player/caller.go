package player

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
	"lagoonlanding.example/soak/checker"
	"lagoonlanding.example/soak/drawer"
)

// operation is what a caller wants, over all of its tries.
type operation struct {
	number     int
	key        lagoonlanding.Key
	idempotent bool
	ticket     lagoonlanding.Ticket
	tries      int
	mustAnswer bool
	// isLong says that the request runs about as long as it may.
	isLong bool
	// until is when a request that must be answered is not tried again.
	until time.Duration
}

const (
	keyCount       = 60
	keptOperations = 400
	maxTries       = 5
	longestPause   = 2 * time.Second
	// lostPercent is the share of answers that callers do not get.
	lostPercent = 25
	longestWait = time.Second
	probePause  = 20 * time.Millisecond
)

// request starts a new operation.
func (fleet *Fleet) request(event drawer.Event) {
	process := fleet.processes[event.Subject()%len(fleet.processes)]
	issuer := fleet.processes[event.Object()%len(fleet.processes)]
	if process == nil {
		fleet.counts["caller found no daemon"]++
		return
	}
	if issuer == nil || event.Parameter()%2 > 0 {
		issuer = process
	}
	workspaces := fleet.shape.workspaces()
	service := ownedService
	if event.Parameter()/2%2 == 0 {
		service = pooledService
	}
	workspace := workspaces[event.Object()%len(workspaces)]
	if event.Parameter()%7 > 0 && !workspace.Permits(process.slot.region) {
		// Most callers know which daemons they may ask.
		workspace = workspaces[0]
	}
	name := fmt.Sprintf("key-%d", event.Parameter()%keyCount)
	operation := &operation{
		number: len(fleet.operations), key: lagoonlanding.NewKey(service, workspace.Name(), name), idempotent: event.Parameter()%3 == 0,
		ticket: lagoonlanding.NewTicket(issuer.snapshot.Revision(), issuer.clock.Now()),
	}
	fleet.operations = append(fleet.operations, operation)
	fleet.try(operation, process)
}

// resend repeats an earlier operation, answered or not.
func (fleet *Fleet) resend(event drawer.Event) {
	process := fleet.processes[event.Subject()%len(fleet.processes)]
	if process == nil || len(fleet.operations) == 0 {
		return
	}
	recent := fleet.operations[max(0, len(fleet.operations)-keptOperations):]
	fleet.try(recent[event.Object()%len(recent)], process)
}

// try sends an operation to a daemon and tells the checker what the caller gets.
func (fleet *Fleet) try(operation *operation, process *Process) {
	fleet.requests++
	operation.tries++
	wait, class := longestWait, ""
	if operation.key.Service() == ownedService && !operation.mustAnswer {
		wait = longestOwned
	}
	if operation.mustAnswer {
		class = shortClass
	}
	if operation.isLong {
		class = longClass
	}
	request := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: fmt.Sprintf("request-%d-%d", operation.number, operation.tries), Tenant: operation.key.Workspace(), Class: class,
		Key: operation.key, Method: "POST", Path: "/" + operation.key.Name(), Body: fmt.Appendf(nil, "operation-%d", operation.number),
		Idempotent: operation.idempotent, IdempotencyKey: fmt.Sprintf("operation-%d", operation.number), Ticket: operation.ticket,
		Deadline: process.clock.Now().Add(wait),
	})
	process.enter(func() {
		process.serve(request, func(reply lagoonlanding.Reply) { fleet.answered(operation, process, request, reply) })
	})
}

func (fleet *Fleet) answered(operation *operation, process *Process, request lagoonlanding.Request, reply lagoonlanding.Reply) {
	outcome := reply.Outcome().String()
	if reply.Reason() != lagoonlanding.ReasonNone {
		outcome += " " + string(reply.Reason())
	}
	fleet.note("%s at %s: %s", request.ID(), process.id, outcome)
	fleet.counts["reply "+outcome]++
	fleet.checker.RecordReply(request, reply)
	if operation.mustAnswer {
		if reply.Outcome() == lagoonlanding.OutcomeNotRun && fleet.timer.Now() < operation.until {
			fleet.timer.AfterFunc(probePause, func() { fleet.try(operation, process) })
			return
		}
		if reply.Outcome() != lagoonlanding.OutcomeAnswered {
			fleet.checker.ReportViolation(checker.RuleServed, "%s of %s %s at %s: %s by %s, ticket %d", request.ID(),
				operation.key.Service(), operation.key.Workspace(), process.id, outcome, reply.Owner().ID(), operation.ticket.Revision())
		}
		return
	}
	isAnswered := reply.Outcome() == lagoonlanding.OutcomeAnswered
	if isAnswered && fleet.random.IntN(100) >= lostPercent || operation.tries >= maxTries {
		return
	}
	pause := time.Duration(fleet.random.Int64N(int64(longestPause)))
	next := fleet.random.IntN(len(fleet.processes))
	fleet.timer.AfterFunc(pause, func() {
		if fleet.processes[next] != nil {
			fleet.try(operation, fleet.processes[next])
		}
	})
}

// probe sends a request that must be answered to each shard.
func (fleet *Fleet) probe() {
	set := fleet.shape.set(1, nil)
	for _, service := range set.Services() {
		for _, partition := range service.Partitions() {
			for shard := range partition.Shards() {
				fleet.probeShard(service, partition, shard)
			}
		}
	}
}

func (fleet *Fleet) probeShard(service publisher.Service, partition publisher.Partition, shard int) {
	for _, workspace := range fleet.shape.workspaces() {
		process := fleet.permitted(workspace)
		for range 1000 {
			operation := &operation{number: len(fleet.operations), mustAnswer: true, until: fleet.timer.Now() + probeTerm}
			operation.key = lagoonlanding.NewKey(service.Name(), workspace.Name(), fmt.Sprintf("probe-%d", operation.number))
			fleet.operations = append(fleet.operations, operation)
			named := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
				Key: operation.key, IdempotencyKey: fmt.Sprintf("operation-%d", operation.number),
			})
			group, number, ok := router.Locate(service, workspace, named)
			if !ok || group.Partition() != partition.Name() {
				break
			}
			if number == shard {
				operation.ticket = lagoonlanding.NewTicket(process.snapshot.Revision(), process.clock.Now())
				fleet.try(operation, process)
				return
			}
		}
	}
}

// permitted returns a random process whose region the workspace permits.
func (fleet *Fleet) permitted(workspace publisher.Workspace) *Process {
	offset := fleet.random.IntN(len(fleet.processes))
	for number := range fleet.processes {
		process := fleet.processes[(number+offset)%len(fleet.processes)]
		if process != nil && workspace.Permits(process.slot.region) {
			return process
		}
	}
	panic("no daemon runs in the home region")
}
