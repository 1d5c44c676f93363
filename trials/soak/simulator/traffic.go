package simulator

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
	retryBackoff   = 40 * time.Millisecond
	maxSendDelay   = time.Millisecond
	typicalRunTime = 30 * time.Millisecond
	// longRunOdds and resetOdds mean that one in so many requests runs long, or loses its connection between daemons.
	longRunOdds = 8
	resetOdds   = 15
	// shortClass is the class of the requests that never run long.
	shortClass = "short"
	// longClass is the class of the requests that run almost until their deadline.
	longClass = "long"
)

// serve processes a request in this process, with retries, and passes the reply to done.
func (process *Process) serve(request lagoonlanding.Request, done func(lagoonlanding.Reply)) {
	process.startJob(func(job *job) {
		var earlier dispatcher.AttemptResult
		for {
			result := process.dispatcher.Attempt(context.Background(), request)
			if !result.IsRetry() || !process.clock.Now().Add(retryBackoff).Before(request.Deadline()) {
				done(result.After(earlier).Reply())
				return
			}
			earlier = result.After(earlier)
			job.sleep(retryBackoff)
		}
	})
}

// peers forwards requests; the control messages go through the outbox.
type peers struct {
	lagoonlanding.Peers
	fleet *Fleet
}

// Forward sends a request to the process that listens at the instance's address.
func (peers peers) Forward(_ context.Context, to lagoonlanding.Instance, request lagoonlanding.Request) (lagoonlanding.Reply, error) {
	fleet := peers.fleet
	job := fleet.runningJob
	from := job.process
	fleet.checkRegion(request, from.slot.region, "forwarded from a daemon")
	fleet.checkRegion(request, to.Region(), "forwarded to a daemon")
	source, target := from.endpoint(), fleet.endpointOf(to)
	left := request.Deadline().Sub(from.clock.Now())
	var reply lagoonlanding.Reply
	err := errTimeout
	job.wait(func(wake func()) {
		fleet.timer.AfterFunc(left, wake)
		if request.Class() != shortClass && fleet.random.IntN(resetOdds) == 0 {
			// The connection breaks, whether or not the request runs.
			fleet.timer.AfterFunc(time.Duration(fleet.random.Int64N(int64(typicalRunTime))), wake)
		}
		fleet.network.transmit(source, target, func() {
			other := fleet.processAt(to)
			if other == nil {
				err = fmt.Errorf("forward to %s: %w", to.ID(), lagoonlanding.ErrNotSent)
				wake()
				return
			}
			other.runWhenThawed(func() {
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

// upstream is the backend server of a process; it outlives the process.
type upstream struct {
	lagoonlanding.Upstream
	process *Process
}

// Serve runs the request.
//
// The process may freeze between the owner's last check and the start of the request at the backend server.
func (upstream upstream) Serve(_ context.Context, request lagoonlanding.Request, fence lagoonlanding.Fence) (lagoonlanding.Reply, error) {
	process := upstream.process
	fleet := process.fleet
	job := fleet.runningJob
	fleet.checkRegion(request, process.slot.region, "served")
	if !fence.IsZero() {
		fleet.checker.RecordDispatch(fence, process.id, fleet.otherLeases(fence, process))
	}
	job.sleep(time.Duration(fleet.random.Int64N(int64(maxSendDelay))))
	now := process.clock.Now()
	if !now.Before(request.Deadline()) {
		return lagoonlanding.Refuse(request, lagoonlanding.ReasonDeadline), nil
	}
	checksFence := process.slot.service == ownedService
	if checksFence && !fleet.acceptFence(fence) {
		return lagoonlanding.Refuse(request, lagoonlanding.ReasonUpstreamRefused), nil
	}
	execution := fleet.checker.StartExecution(checker.ExecutionConfig{
		Owner: process.id, Fence: fence, Request: request, ChecksFence: checksFence,
	})
	duration, isAborted := fleet.drawRunTime(request.Class(), process.clock.RealDuration(request.Deadline().Sub(now)))
	err := errTimeout
	job.wait(func(wake func()) {
		fleet.timer.AfterFunc(duration, func() {
			isFenced := checksFence && !fleet.acceptFence(fence)
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

// drawRunTime returns a random run time of a request and whether the backend server aborts it at its deadline.
func (fleet *Fleet) drawRunTime(class string, left time.Duration) (time.Duration, bool) {
	duration := time.Duration(fleet.random.Int64N(int64(typicalRunTime)))
	if class != shortClass && fleet.random.IntN(longRunOdds) == 0 {
		duration = time.Duration(fleet.random.Int64N(int64(maxOwnedRunTime)))
	}
	if class == longClass {
		duration = max(left-duration/2-typicalRunTime, time.Millisecond)
	}
	if duration >= left {
		return left, true
	}
	return duration, false
}

// acceptFence reports whether the backend servers of the shard have seen no newer fencing token, and records the token.
func (fleet *Fleet) acceptFence(fence lagoonlanding.Fence) bool {
	if fence.IsZero() {
		return true
	}
	shard := lagoonlanding.NewShardID(fence.Group(), fence.Shard())
	if fleet.newestTokens[shard] > fence.Token() {
		return false
	}
	fleet.newestTokens[shard] = fence.Token()
	return true
}

func (fleet *Fleet) checkRegion(request lagoonlanding.Request, region, verb string) {
	for _, workspace := range fleet.topology.workspaces() {
		if workspace.Name() == request.Key().Workspace() && !workspace.Permits(region) {
			fleet.checker.ReportViolation(checker.RuleRegion, "%s of %s is %s in %s", request.ID(), workspace.Name(), verb, region)
		}
	}
}

// otherLeases returns the valid leases of all other processes on the fence's shard.
func (fleet *Fleet) otherLeases(fence lagoonlanding.Fence, except *Process) []checker.ShardLease {
	var leases []checker.ShardLease
	for _, process := range fleet.processes {
		if process == nil || process == except {
			continue
		}
		if shardlease, ok := process.shardLease(fence.Group(), fence.Shard()); ok {
			leases = append(leases, shardlease)
		}
	}
	return leases
}

// shardLease returns the process's valid lease on a shard by its own snapshot and clock.
func (process *Process) shardLease(id lagoonlanding.GroupID, shard int) (checker.ShardLease, bool) {
	group, ok := process.snapshot.Group(id)
	if !ok || group.Placement().Owner(shard) != process.id {
		return checker.ShardLease{}, false
	}
	return process.validLease(group, shard)
}

func (process *Process) validLease(group router.Group, shard int) (checker.ShardLease, bool) {
	id := group.Record().Group()
	lease, ok := process.snapshot.Lease(id)
	if !ok || lease.Token(shard) == 0 || !process.clock.Now().Before(lease.Deadline()) {
		return checker.ShardLease{}, false
	}
	return checker.NewShardLease(lagoonlanding.NewShardID(id, shard), process.id, lease.Token(shard)), true
}
