package player

import (
	"context"
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/dispatcher"
	"lagoonlanding.example/lagoonlanding/requests/router"
	"lagoonlanding.example/soak/checker"
)

const (
	retryPause   = 40 * time.Millisecond
	longestSend  = time.Millisecond
	usualRun     = 30 * time.Millisecond
	longRunShare = 8
	resetShare   = 15
	// shortClass is the class of the requests that never run long.
	shortClass = "short"
	// longClass is the class of the requests that run about as long as they may.
	longClass = "long"
)

// serve takes a request to its end in this process and tells the outcome.
func (process *Process) serve(request lagoonlanding.Request, done func(lagoonlanding.Reply)) {
	process.spawn(func(job *job) {
		var earlier dispatcher.Step
		for {
			step := process.dispatcher.Attempt(context.Background(), request)
			if !step.IsRetry() || !process.clock.Now().Add(retryPause).Before(request.Deadline()) {
				done(step.After(earlier).Reply())
				return
			}
			earlier = step.After(earlier)
			job.sleep(retryPause)
		}
	})
}

// peers carries forwarded requests; the control messages go through the outbox.
type peers struct {
	lagoonlanding.Peers
	fleet *Fleet
}

// Forward passes a request to the process that listens at the instance's address.
func (peers peers) Forward(_ context.Context, to lagoonlanding.Instance, request lagoonlanding.Request) (lagoonlanding.Reply, error) {
	fleet := peers.fleet
	job := fleet.running
	from := job.process
	fleet.checkRegion(request, from.slot.region, "sent from a daemon")
	fleet.checkRegion(request, to.Region(), "sent to a daemon")
	source, target := from.place(), fleet.placeOf(to)
	left := request.Deadline().Sub(from.clock.Now())
	var reply lagoonlanding.Reply
	err := errTimeout
	job.block(func(wake func()) {
		fleet.timer.AfterFunc(left, wake)
		if request.Class() != shortClass && fleet.random.IntN(resetShare) == 0 {
			// The connection breaks, whatever becomes of the request.
			fleet.timer.AfterFunc(time.Duration(fleet.random.Int64N(int64(usualRun))), wake)
		}
		fleet.network.transmit(source, target, func() {
			other := fleet.listening(to)
			if other == nil {
				err = fmt.Errorf("forward to %s: %w", to.ID(), lagoonlanding.ErrNotSent)
				wake()
				return
			}
			other.enter(func() {
				other.serve(withDeadline(request, other.clock.Now().Add(left)), func(answer lagoonlanding.Reply) {
					fleet.network.transmit(target, source, func() {
						reply, err = answer, nil
						wake()
					})
				})
			})
		})
	})
	return reply, err
}

func withDeadline(request lagoonlanding.Request, deadline time.Time) lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: request.ID(), Tenant: request.Tenant(), Class: request.Class(), Key: request.Key(), Method: request.Method(),
		Path: request.Path(), Headers: request.Headers(), Body: request.Body(), Deadline: deadline,
		Idempotent: request.IsIdempotent(), IdempotencyKey: request.IdempotencyKey(), Ticket: request.Ticket(),
		Hops: request.Hops(), SetVersion: request.SetVersion(),
	})
}

// upstream is the backend server beside a process; it outlives the process.
type upstream struct {
	lagoonlanding.Upstream
	process *Process
}

// Serve runs the request; between the owner's last check and the backend server's start the process may freeze.
func (upstream upstream) Serve(_ context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence) (lagoonlanding.Reply, error) {
	process := upstream.process
	fleet := process.fleet
	job := fleet.running
	fleet.checkRegion(request, process.slot.region, "served")
	if !fence.IsZero() {
		fleet.checker.RecordDispatch(fence, process.id, fleet.rights(fence, process))
	}
	job.sleep(time.Duration(fleet.random.Int64N(int64(longestSend))))
	now := process.clock.Now()
	if !now.Before(request.Deadline()) {
		return lagoonlanding.Refuse(request, lagoonlanding.ReasonDeadline), nil
	}
	checksFence := process.slot.service == ownedService
	if checksFence && !fleet.admitFence(fence) {
		return lagoonlanding.Refuse(request, lagoonlanding.ReasonUpstreamRefused), nil
	}
	execution := fleet.checker.StartExecution(checker.ExecutionConfig{
		Owner: process.id, Fence: fence, Request: request, ChecksFence: checksFence,
	})
	term, isAborted := fleet.runTerm(request.Class(), process.clock.RealDuration(request.Deadline().Sub(now)))
	err := errTimeout
	job.block(func(wake func()) {
		fleet.timer.AfterFunc(term, func() {
			isFenced := checksFence && !fleet.admitFence(fence)
			fleet.checker.EndExecution(execution, isFenced)
			if !isFenced && !isAborted {
				err = nil
			}
			wake()
		})
	})
	if err != nil {
		return lagoonlanding.Reply{}, err
	}
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: request.ID(), Outcome: lagoonlanding.OutcomeAnswered, Status: 200, Body: []byte(checker.ExpectedBody(request)),
	}), nil
}

// runTerm draws how long a request runs; a backend server stops it at its deadline.
func (fleet *Fleet) runTerm(class string, left time.Duration) (time.Duration, bool) {
	term := time.Duration(fleet.random.Int64N(int64(usualRun)))
	if class != shortClass && fleet.random.IntN(longRunShare) == 0 {
		term = time.Duration(fleet.random.Int64N(int64(longestOwned)))
	}
	if class == longClass {
		term = max(left-term/2-usualRun, time.Millisecond)
	}
	if term >= left {
		return left, true
	}
	return term, false
}

// admitFence reports whether no newer token has been seen by the backend servers of the shard.
func (fleet *Fleet) admitFence(fence lagoonlanding.Fence) bool {
	if fence.IsZero() {
		return true
	}
	shard := lagoonlanding.NewShardID(fence.Group(), fence.Shard())
	if fleet.fences[shard] > fence.Token() {
		return false
	}
	fleet.fences[shard] = fence.Token()
	return true
}

func (fleet *Fleet) checkRegion(request lagoonlanding.Request, region, verb string) {
	for _, workspace := range fleet.shape.workspaces() {
		if workspace.Name() == request.Key().Workspace() && !workspace.Permits(region) {
			fleet.checker.ReportViolation(checker.RuleRegion, "%s of %s is %s in %s", request.ID(), workspace.Name(), verb, region)
		}
	}
}

// rights returns the rights of all other processes to the fence's shard.
func (fleet *Fleet) rights(fence lagoonlanding.Fence, except *Process) []checker.ShardLease {
	var rights []checker.ShardLease
	for _, process := range fleet.processes {
		if process == nil || process == except {
			continue
		}
		if right, ok := process.right(fence.Group(), fence.Shard()); ok {
			rights = append(rights, right)
		}
	}
	return rights
}

// right returns the process's right to serve a shard by its own snapshot and clock.
func (process *Process) right(id lagoonlanding.GroupID, shard int) (checker.ShardLease, bool) {
	group, ok := process.snapshot.Group(id)
	if !ok || group.Placement().Owner(shard) != process.id {
		return checker.ShardLease{}, false
	}
	return process.heldRight(group, shard)
}

func (process *Process) heldRight(group router.Group, shard int) (checker.ShardLease, bool) {
	id := group.Record().Group()
	holding, ok := process.snapshot.Holding(id)
	if !ok || holding.Token(shard) == 0 || !process.clock.Now().Before(holding.Deadline()) {
		return checker.ShardLease{}, false
	}
	return checker.NewShardLease(lagoonlanding.NewShardID(id, shard), process.id, holding.Token(shard)), true
}
