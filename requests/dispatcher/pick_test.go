package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/deduplicator"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
	"lagoonlanding.example/lagoonlanding/requests/retrier"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

var fixedTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// fixedClock always returns the same time; its timers fire at once if firesTimers is set and never otherwise.
type fixedClock struct{ firesTimers bool }

func (fixedclock fixedClock) Now() time.Time { return fixedTime }

func (fixedclock fixedClock) Until(time.Time) <-chan time.Time {
	fired := make(chan time.Time, 1)
	if fixedclock.firesTimers {
		fired <- fixedTime
	}
	return fired
}

type fixedSource struct {
	snapshot *router.Snapshot
	changed  chan struct{}
}

func (fixedsource fixedSource) Current() *router.Snapshot { return fixedsource.snapshot }
func (fixedsource fixedSource) Changed() <-chan struct{}  { return fixedsource.changed }

// scriptedPeers answers forwarded requests with a function of the test.
type scriptedPeers struct {
	lagoonlanding.Peers
	answer func(ctx context.Context, to string, request lagoonlanding.Request) (lagoonlanding.Reply, error)
}

func (scriptedpeers scriptedPeers) Forward(
	ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.Request,
) (lagoonlanding.Reply, error) {
	return scriptedpeers.answer(ctx, to.ID().Name(), request)
}

// crashingUpstream crashes on requests to the path /poison and answers all others.
type crashingUpstream struct {
	lagoonlanding.Upstream
	mutex   sync.Mutex
	crashes int
}

func (crashingupstream *crashingUpstream) Serve(
	_ context.Context, request lagoonlanding.Request, _ lagoonlanding.Fence,
) (lagoonlanding.Reply, error) {
	if request.Path() != "/poison" {
		return answered(request, "self"), nil
	}
	crashingupstream.mutex.Lock()
	defer crashingupstream.mutex.Unlock()
	crashingupstream.crashes++
	return lagoonlanding.Reply{}, fmt.Errorf("connection reset")
}

func answered(request lagoonlanding.Request, by string) lagoonlanding.Reply {
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: request.ID(), Outcome: lagoonlanding.OutcomeAnswered, Status: 200, Body: []byte(by),
	})
}

func member(name, zone string) lagoonlanding.Member {
	instance := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID: lagoonlanding.NewInstanceID(name, 1), AvailabilityZone: zone, Region: "attica", Service: "bay-directory",
	})
	return lagoonlanding.NewMember(instance, lagoonlanding.MemberActive, 100)
}

// unshardedSnapshot returns a snapshot of a service that is not sharded, served by the members.
func unshardedSnapshot(self lagoonlanding.Instance, members ...lagoonlanding.Member) *router.Snapshot {
	set := publisher.NewSet(publisher.SetConfig{
		Services: []publisher.Service{publisher.NewService(publisher.ServiceConfig{
			Name: "bay-directory", Slots: 6, Connections: 110, Queue: 10,
			Partitions: []publisher.Partition{publisher.NewPartition(publisher.PartitionConfig{Name: "mesh", Shards: 8})},
		})},
		Workspaces: []publisher.Workspace{publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "tags"})},
	})
	id := lagoonlanding.NewGroupID("bay-directory", "mesh")
	layout := lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{Version: 1, Shards: 8, Members: members})
	group := router.NewGroup(lagoonlanding.NewRecord(id, layout, lagoonlanding.Layout{}, 1), lagoonlanding.NewPlacement(nil))
	return router.NewSnapshot(router.SnapshotConfig{
		Self: self, Set: set, Revision: 1, Groups: map[lagoonlanding.GroupID]router.Group{id: group},
		Leases: map[lagoonlanding.GroupID]router.Lease{
			id: router.NewLease(router.LeaseConfig{Version: 1, Deadline: fixedTime.Add(time.Hour)}),
		},
	})
}

func newDispatcher(clock lagoonlanding.Clock, snapshot *router.Snapshot, peers lagoonlanding.Peers, upstream lagoonlanding.Upstream) *Dispatcher {
	return New(Config{
		Snapshots: fixedSource{snapshot: snapshot}, Clock: clock, Peers: peers, Upstream: upstream,
		Ledger: deduplicator.NewLedger(deduplicator.Config{}),
	})
}

// newRead returns an idempotent read with the ID and path.
func newRead(id int, path string) lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: fmt.Sprint(id), Method: "GET", Path: path, Idempotent: true, Deadline: fixedTime.Add(time.Minute),
		Key: lagoonlanding.NewKey("bay-directory", "tags", ""),
	})
}

// nonMember is an instance that is no member of the group, so it forwards every request.
var nonMember = member("outsider", "marousi").Instance()

func TestUnshardedRequestIsRetriedAtAnotherInstance(t *testing.T) {
	peers := scriptedPeers{answer: func(_ context.Context, to string, request lagoonlanding.Request) (lagoonlanding.Reply, error) {
		if to == "lost" {
			return lagoonlanding.Reply{}, lagoonlanding.ErrNotSent
		}
		return answered(request, to), nil
	}}
	snapshot := unshardedSnapshot(nonMember, member("lost", "piraeus"), member("well", "piraeus"))
	dispatcher := newDispatcher(fixedClock{firesTimers: true}, snapshot, peers, nil)
	for id := range 100 {
		reply := dispatcher.Dispatch(t.Context(), newRead(id, "/bays"))
		if reply.Outcome() != lagoonlanding.OutcomeAnswered || string(reply.Body()) != "well" {
			t.Fatalf("request %d: %v %q %q", id, reply.Outcome(), reply.Reason(), reply.Body())
		}
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	attempts := 0
	peers := scriptedPeers{answer: func(_ context.Context, _ string, request lagoonlanding.Request) (lagoonlanding.Reply, error) {
		attempts++
		return lagoonlanding.Refuse(request, lagoonlanding.ReasonQueueFull), nil
	}}
	snapshot := unshardedSnapshot(nonMember, member("busy", "piraeus"))
	dispatcher := newDispatcher(fixedClock{firesTimers: true}, snapshot, peers, nil)
	const requests = 1000
	for id := range requests {
		if reply := dispatcher.Dispatch(t.Context(), newRead(id, "/bays")); reply.Reason() != lagoonlanding.ReasonQueueFull {
			t.Fatalf("request %d: %q", id, reply.Reason())
		}
	}
	// The retry budget is a tenth of the first attempts plus an initial burst of ten.
	if attempts > requests+requests/10+10 {
		t.Errorf("%d attempts for %d requests", attempts, requests)
	}
}

func TestReadWithoutBudgetIsRetriedOnOwnershipChange(t *testing.T) {
	attempts := 0
	peers := scriptedPeers{answer: func(_ context.Context, to string, request lagoonlanding.Request) (lagoonlanding.Reply, error) {
		attempts++
		if attempts < 3 {
			return lagoonlanding.Reply{}, fmt.Errorf("connection reset")
		}
		return answered(request, to), nil
	}}
	changed := make(chan struct{})
	close(changed)
	dispatcher := New(Config{
		Snapshots: fixedSource{snapshot: unshardedSnapshot(nonMember, member("a", "piraeus")), changed: changed},
		Clock:     fixedClock{}, Peers: peers,
		Retrier: retrier.NewRetrier(retrier.Config{Budget: retrier.NewBudget(retrier.BudgetConfig{}), Random: newRandom()}),
	})
	if reply := dispatcher.Dispatch(t.Context(), newRead(1, "/bays")); reply.Outcome() != lagoonlanding.OutcomeAnswered {
		t.Errorf("got %v %q after %d attempts", reply.Outcome(), reply.Reason(), attempts)
	}
}

func TestReadIsRetriedAfterLostPeerButNotAfterLostUpstream(t *testing.T) {
	for _, isPeerLost := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		attempts := 0
		peers := scriptedPeers{answer: func(_ context.Context, _ string, request lagoonlanding.Request) (lagoonlanding.Reply, error) {
			attempts++
			if attempts == maxAttempts {
				// After this attempt the read would wait for a change of ownership until its deadline.
				cancel()
			}
			if isPeerLost {
				return lagoonlanding.Reply{}, fmt.Errorf("connection reset")
			}
			return lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonConnectionLost), nil
		}}
		dispatcher := newDispatcher(fixedClock{firesTimers: true}, unshardedSnapshot(nonMember, member("a", "piraeus")), peers, nil)
		reply := dispatcher.Dispatch(ctx, newRead(1, "/bays"))
		if reply.Outcome() != lagoonlanding.OutcomeUnknown || isPeerLost != (attempts > 1) {
			t.Errorf("lost peer %v: %v after %d attempts", isPeerLost, reply.Outcome(), attempts)
		}
		cancel()
	}
}

func TestSlowReadIsHedgedAndSlowCopyCancelled(t *testing.T) {
	first, cancelled := make(chan string, 1), make(chan struct{})
	peers := scriptedPeers{answer: func(ctx context.Context, to string, request lagoonlanding.Request) (lagoonlanding.Reply, error) {
		select {
		case first <- to:
			<-ctx.Done()
			close(cancelled)
			return lagoonlanding.Reply{}, ctx.Err()
		default:
			return answered(request, to), nil
		}
	}}
	snapshot := unshardedSnapshot(nonMember, member("a", "piraeus"), member("b", "piraeus"))
	dispatcher := newDispatcher(fixedClock{firesTimers: true}, snapshot, peers, nil)
	reply := dispatcher.Dispatch(t.Context(), newRead(1, "/bays"))
	if slow := <-first; reply.Outcome() != lagoonlanding.OutcomeAnswered || string(reply.Body()) == slow {
		t.Fatalf("got %v from %q, the slow instance is %q", reply.Outcome(), reply.Body(), slow)
	}
	<-cancelled
}

func TestCrashingRequestIsRefused(t *testing.T) {
	self := member("self", "piraeus")
	upstream := &crashingUpstream{}
	dispatcher := newDispatcher(fixedClock{}, unshardedSnapshot(self.Instance(), self), nil, upstream)
	for id := range 20 {
		reply := dispatcher.Dispatch(t.Context(), newRead(id, "/poison"))
		want := lagoonlanding.UnknownOutcome(newRead(id, "/poison"), lagoonlanding.ReasonConnectionLost)
		if id >= quarantiner.MaxCrashes {
			want = lagoonlanding.Refuse(newRead(id, "/poison"), lagoonlanding.ReasonQuarantined)
		}
		if reply.Outcome() != want.Outcome() || reply.Reason() != want.Reason() {
			t.Fatalf("attempt %d: %v %q, want %v %q", id, reply.Outcome(), reply.Reason(), want.Outcome(), want.Reason())
		}
		if good := dispatcher.Dispatch(t.Context(), newRead(100+id, "/bays")); good.Outcome() != lagoonlanding.OutcomeAnswered {
			t.Fatalf("a harmless request was not answered: %q", good.Reason())
		}
	}
	if upstream.crashes != quarantiner.MaxCrashes {
		t.Errorf("%d crashes", upstream.crashes)
	}
}

// fleetPeers connects dispatchers by name; the test waits on pending until all suspects have been exchanged.
type fleetPeers struct {
	lagoonlanding.Peers
	dispatchers map[string]*Dispatcher
	pending     *sync.WaitGroup
}

func (fleetpeers fleetPeers) Accuse(
	_ context.Context, to lagoonlanding.Instance, notice lagoonlanding.SuspectNotice,
) (lagoonlanding.SuspectNotice, error) {
	defer fleetpeers.pending.Done()
	return fleetpeers.dispatchers[to.ID().Name()].OnSuspects(notice), nil
}

// TestFleetRefusesCrashingRequest re-sends a crashing request to three instances in turn.
func TestFleetRefusesCrashingRequest(t *testing.T) {
	members := []lagoonlanding.Member{member("a", "piraeus"), member("b", "piraeus"), member("c", "piraeus")}
	peers := fleetPeers{dispatchers: map[string]*Dispatcher{}, pending: &sync.WaitGroup{}}
	upstream := &crashingUpstream{}
	for _, one := range members {
		peers.dispatchers[one.ID().Name()] = newDispatcher(fixedClock{}, unshardedSnapshot(one.Instance(), members...), peers, upstream)
	}
	for attempt := range 12 {
		crashes := upstream.crashes
		dispatcher := peers.dispatchers[members[attempt%len(members)].ID().Name()]
		peers.pending.Add(2)
		dispatcher.Dispatch(t.Context(), newRead(attempt, "/poison").Forwarded())
		if upstream.crashes == crashes {
			peers.pending.Add(-2)
		}
		peers.pending.Wait()
	}
	if upstream.crashes != quarantiner.MaxCrashes {
		t.Errorf("%d crashes across the fleet", upstream.crashes)
	}
}

func TestSuspectsStayWithinHomeRegions(t *testing.T) {
	set := publisher.NewSet(publisher.SetConfig{Workspaces: []publisher.Workspace{
		publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "home", HomeRegions: []string{"attica"}}),
		publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "open"}),
	}})
	snapshot := router.NewSnapshot(router.SnapshotConfig{Set: set})
	var suspects []lagoonlanding.Suspect
	for _, workspace := range []string{"home", "open", "gone"} {
		suspects = append(suspects, lagoonlanding.NewSuspect(lagoonlanding.SuspectConfig{Workspace: workspace}))
	}
	notice := lagoonlanding.NewSuspectNotice("bay-directory", "attica", suspects)
	for region, want := range map[string]int{"attica": 2, "macedonia": 1} {
		if got := len(permittedIn(snapshot, notice, region).Suspects()); got != want {
			t.Errorf("suspects sent to %s: %d, want %d", region, got, want)
		}
	}
}
