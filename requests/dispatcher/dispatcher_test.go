package dispatcher

import (
	"context"
	"errors"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/deduplicator"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

var (
	start = time.Now()
	group = lagoonlanding.NewGroupID("status-app", "mesh")
	self  = instance("self", "attica")
	other = instance("other", "macedonia")
)

func instance(name, region string) lagoonlanding.Instance {
	return lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID: lagoonlanding.NewInstanceID(name, 1), PeerAddress: name, Region: region, Service: "status-app",
	})
}

// world is all that surrounds a dispatcher, under the control of one test.
type world struct {
	now      time.Time
	snapshot *router.Snapshot
	runs     int
	forwards []string
	serveErr error
	// beforeServe runs while the backend server has the request.
	beforeServe func()
	forward     func(request lagoonlanding.Request) (lagoonlanding.Reply, error)
	lagoonlanding.Peers
}

func (world *world) Now() time.Time { return world.now }

func (world *world) Until(time.Time) <-chan time.Time { return nil }

func (world *world) Current() *router.Snapshot { return world.snapshot }

func (world *world) Changed() <-chan struct{} { return nil }

func (world *world) Report(context.Context) (lagoonlanding.UpstreamReport, error) {
	return lagoonlanding.UpstreamReport{}, errors.ErrUnsupported
}

func (world *world) Serve(_ context.Context, request lagoonlanding.Request, _ lagoonlanding.Fence) (lagoonlanding.Reply, error) {
	if world.beforeServe != nil {
		world.beforeServe()
	}
	if world.serveErr != nil {
		return lagoonlanding.Reply{}, world.serveErr
	}
	world.runs++
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: request.ID(), Outcome: lagoonlanding.OutcomeAnswered, Status: 200, Body: []byte("done"),
	}), nil
}

func (world *world) Forward(_ context.Context, to lagoonlanding.Instance, request lagoonlanding.Request) (lagoonlanding.Reply, error) {
	world.forwards = append(world.forwards, to.PeerAddress())
	return world.forward(request)
}

// snapshotOf shows a group whose only shard belongs to the owner; self holds it under the token.
func snapshotOf(owner lagoonlanding.Instance, token uint64, deadline time.Time) *router.Snapshot {
	layout := lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{
		Version: 1, Shards: 1, Members: []lagoonlanding.Member{lagoonlanding.NewMember(owner, lagoonlanding.MemberActive, 100)},
	})
	record := lagoonlanding.NewRecord(group, layout, lagoonlanding.Layout{}, 10)
	placement := lagoonlanding.NewPlacement([]lagoonlanding.InstanceID{owner.ID()})
	return router.NewSnapshot(router.SnapshotConfig{
		Self: self, Revision: 10,
		Set: publisher.NewSet(publisher.SetConfig{
			Version: 1,
			Services: []publisher.Service{publisher.NewService(publisher.ServiceConfig{
				Name: "status-app", Divided: true, Slots: 6, Connections: 110, Queue: 8,
				Partitions: []publisher.Partition{publisher.NewPartition(publisher.PartitionConfig{
					Name: "mesh", Regions: []string{"attica", "macedonia"}, Shards: 1,
				})},
			})},
			Workspaces: []publisher.Workspace{
				publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "open"}),
				publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "bound", HomeRegions: []string{"macedonia"}}),
			},
		}),
		Groups: map[lagoonlanding.GroupID]router.Group{group: router.NewGroup(record, placement)},
		Holdings: map[lagoonlanding.GroupID]router.Holding{group: router.NewHolding(router.HoldingConfig{
			Version: 1, Deadline: deadline, Tokens: []uint64{token}, Since: []uint64{10},
		})},
	})
}

func issue(id string, ticket uint64) lagoonlanding.RequestConfig {
	return lagoonlanding.RequestConfig{
		ID: id, Key: lagoonlanding.NewKey("status-app", "open", "tag-1"), Deadline: start.Add(time.Minute),
		IdempotencyKey: "issue-1", Ticket: lagoonlanding.NewTicket(ticket, start),
	}
}

func newWorld(owner lagoonlanding.Instance) (*world, *Dispatcher) {
	world := &world{now: start, snapshot: snapshotOf(owner, 1, start.Add(time.Second))}
	return world, New(Config{
		Snapshots: world, Clock: world, Peers: world, Upstream: world,
		Ledger: deduplicator.NewLedger(deduplicator.Config{}),
	})
}

func attempt(t *testing.T, dispatcher *Dispatcher, config lagoonlanding.RequestConfig) lagoonlanding.Reply {
	t.Helper()
	return dispatcher.Attempt(t.Context(), lagoonlanding.NewRequest(config)).Reply()
}

func expect(t *testing.T, reply lagoonlanding.Reply, outcome lagoonlanding.Outcome, reason lagoonlanding.Reason) {
	t.Helper()
	if reply.Outcome() != outcome || reply.Reason() != reason {
		t.Errorf("got %s %q, want %s %q", reply.Outcome(), reply.Reason(), outcome, reason)
	}
}

func TestResentRequestGetsItsFirstOutcome(t *testing.T) {
	world, dispatcher := newWorld(self)
	expect(t, attempt(t, dispatcher, issue("a", 10)), lagoonlanding.OutcomeAnswered, lagoonlanding.ReasonNone)
	again := attempt(t, dispatcher, issue("b", 10))
	expect(t, again, lagoonlanding.OutcomeAnswered, lagoonlanding.ReasonNone)
	if world.runs != 1 || !again.IsRepeated() || again.RequestID() != "b" {
		t.Errorf("%d runs, repeated %v, request %s", world.runs, again.IsRepeated(), again.RequestID())
	}
}

func TestTicketsBeforeTheOwnerAndAheadOfIt(t *testing.T) {
	world, dispatcher := newWorld(self)
	expect(t, attempt(t, dispatcher, issue("a", 9)), lagoonlanding.OutcomeUnknown, lagoonlanding.ReasonTicketPredates)
	expect(t, attempt(t, dispatcher, issue("b", 11)), lagoonlanding.OutcomeNotRun, lagoonlanding.ReasonTicketAhead)
	if world.runs != 0 {
		t.Errorf("%d runs", world.runs)
	}
}

func TestLapsedLeaseRunsNothing(t *testing.T) {
	world, dispatcher := newWorld(self)
	world.now = start.Add(time.Second)
	expect(t, attempt(t, dispatcher, issue("a", 10)), lagoonlanding.OutcomeNotRun, lagoonlanding.ReasonLeaseLapsed)
	if world.runs != 0 {
		t.Errorf("%d runs", world.runs)
	}
}

func TestLostAnswerIsUnknownAndNeverRunAgain(t *testing.T) {
	world, dispatcher := newWorld(self)
	world.serveErr = errors.New("reset")
	expect(t, attempt(t, dispatcher, issue("a", 10)), lagoonlanding.OutcomeUnknown, lagoonlanding.ReasonConnectionLost)
	world.serveErr = nil
	expect(t, attempt(t, dispatcher, issue("b", 10)), lagoonlanding.OutcomeUnknown, lagoonlanding.ReasonConnectionLost)
	if world.runs != 0 {
		t.Errorf("%d runs", world.runs)
	}
}

func TestUnsentRequestMayRunLater(t *testing.T) {
	world, dispatcher := newWorld(self)
	world.serveErr = lagoonlanding.ErrNotSent
	expect(t, attempt(t, dispatcher, issue("a", 10)), lagoonlanding.OutcomeNotRun, lagoonlanding.ReasonUpstreamFailed)
	world.serveErr = nil
	expect(t, attempt(t, dispatcher, issue("b", 10)), lagoonlanding.OutcomeAnswered, lagoonlanding.ReasonNone)
}

func TestForwardJudgesWhatTheOwnerSaid(t *testing.T) {
	cases := []struct {
		name    string
		reply   lagoonlanding.Reply
		err     error
		outcome lagoonlanding.Outcome
		reason  lagoonlanding.Reason
	}{
		{name: "not sent", err: lagoonlanding.ErrNotSent, outcome: lagoonlanding.OutcomeNotRun, reason: lagoonlanding.ReasonUnreachable},
		{name: "cut", err: errors.New("cut"), outcome: lagoonlanding.OutcomeUnknown, reason: lagoonlanding.ReasonConnectionLost},
		{
			name:    "another caller's answer",
			reply:   lagoonlanding.NewReply(lagoonlanding.ReplyConfig{RequestID: "z", Outcome: lagoonlanding.OutcomeAnswered}),
			outcome: lagoonlanding.OutcomeUnknown, reason: lagoonlanding.ReasonMismatchedAnswer,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			world, dispatcher := newWorld(other)
			world.forward = func(lagoonlanding.Request) (lagoonlanding.Reply, error) { return test.reply, test.err }
			expect(t, attempt(t, dispatcher, issue("a", 10)), test.outcome, test.reason)
		})
	}
}

func TestRequestNeverLeavesItsHomeRegions(t *testing.T) {
	world, dispatcher := newWorld(other)
	config := issue("a", 10)
	config.Key = lagoonlanding.NewKey("status-app", "bound", "tag-1")
	expect(t, attempt(t, dispatcher, config), lagoonlanding.OutcomeNotRun, lagoonlanding.ReasonOutsideRegion)
	if len(world.forwards) != 0 {
		t.Errorf("forwarded to %v", world.forwards)
	}
}

func TestHopLimit(t *testing.T) {
	world, dispatcher := newWorld(other)
	config := issue("a", 10)
	config.Hops = router.MaxHops
	expect(t, attempt(t, dispatcher, config), lagoonlanding.OutcomeNotRun, lagoonlanding.ReasonHopLimit)
	if len(world.forwards) != 0 {
		t.Errorf("forwarded to %v", world.forwards)
	}
}

func TestDrainWaitsForAdmittedRequests(t *testing.T) {
	world, dispatcher := newWorld(self)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	world.beforeServe = func() {
		if dispatcher.AwaitIdle(ended, group, 0) == nil {
			t.Error("idle while a request runs")
		}
	}
	attempt(t, dispatcher, issue("a", 10))
	if err := dispatcher.AwaitIdle(ended, group, 0); err != nil {
		t.Errorf("not idle afterwards: %v", err)
	}
}

// TestRefusalAfterALostAnswerIsUnknown was found by make soak SEED=5 STEPS=1500.
func TestRefusalAfterALostAnswerIsUnknown(t *testing.T) {
	world, dispatcher := newWorld(other)
	world.forward = func(lagoonlanding.Request) (lagoonlanding.Reply, error) {
		return lagoonlanding.Reply{}, errors.New("connection reset")
	}
	config := issue("a", 10)
	config.Idempotent = true
	request := lagoonlanding.NewRequest(config)
	lost := dispatcher.Attempt(t.Context(), request)
	world.now = config.Deadline
	late := dispatcher.Attempt(t.Context(), request)
	expect(t, late.Reply(), lagoonlanding.OutcomeNotRun, lagoonlanding.ReasonDeadline)
	expect(t, late.After(lost).Reply(), lagoonlanding.OutcomeUnknown, lagoonlanding.ReasonConnectionLost)
}
