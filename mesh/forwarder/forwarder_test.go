package forwarder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
	"lagoonlanding.example/lagoonlanding/mesh/chooser"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
	"lagoonlanding.example/lagoonlanding/mesh/drainer"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

// fakeSender returns the results of a script and records the daemons that tasks were sent to.
type fakeSender struct {
	script func(daemon string, task lagoonlanding.Task) lagoonlanding.Result
	sentTo []string
	bodies []string
}

func (fakesender *fakeSender) Send(_ context.Context, backend lagoonlanding.Backend, task lagoonlanding.Task) lagoonlanding.Result {
	fakesender.sentTo = append(fakesender.sentTo, backend.ID().Daemon())
	if task.Body() != nil {
		text, _ := io.ReadAll(task.Body())
		fakesender.bodies = append(fakesender.bodies, string(text))
	}
	return fakesender.script(backend.ID().Daemon(), task)
}

type noMeter struct{}

func (noMeter) Ended(lagoonlanding.Task, lagoonlanding.Result, int, time.Duration) {}

func answered(status int) lagoonlanding.Result {
	return lagoonlanding.NewResult(lagoonlanding.ResultConfig{
		Outcome: lagoonlanding.OutcomeAnswered, Delivered: true,
		Answer: lagoonlanding.NewAnswer(lagoonlanding.AnswerConfig{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}),
	})
}

func backend(daemon, zone, region, service string) lagoonlanding.Backend {
	return lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
		ID: lagoonlanding.NewBackendID(daemon, "server-"+daemon, 1), AvailabilityZone: zone, Region: region, Service: service,
		Slots: 6, State: lagoonlanding.BackendReady,
	})
}

// fixture is a forwarder in zone a1 of region a with three daemons of service s and one of service divided.
type fixture struct {
	*Forwarder
	sender   *fakeSender
	drain    *drainer.Drain
	snapshot coordinator.SnapshotConfig
}

func newFixture(change func(route *lagoonlanding.PathRouteConfig), script func(daemon string, task lagoonlanding.Task) lagoonlanding.Result) *fixture {
	route := lagoonlanding.PathRouteConfig{
		Name: "r", Host: "h", Prefix: "/p/", Idempotent: true, Timeout: 2 * time.Second, Objective: 600 * time.Millisecond, MaxAttempts: 2,
		Shares: []lagoonlanding.Share{lagoonlanding.NewShare("s", 1)},
	}
	change(&route)
	fixture := &fixture{sender: &fakeSender{script: script}, drain: drainer.New(drainer.Config{Clock: timekeeper.Clock{}})}
	fixture.snapshot = coordinator.SnapshotConfig{
		Routing: lagoonlanding.NewRouting(lagoonlanding.RoutingConfig{
			Version: 1, Routes: []lagoonlanding.PathRoute{lagoonlanding.NewPathRoute(route)},
			Services: []lagoonlanding.ServicePolicy{
				lagoonlanding.NewServicePolicy(lagoonlanding.ServicePolicyConfig{Name: "s"}),
				lagoonlanding.NewServicePolicy(lagoonlanding.ServicePolicyConfig{Name: "divided", Divided: true}),
			},
		}),
		Backends: []lagoonlanding.Backend{
			backend("near", "a1", "a", "s"), backend("beside", "a2", "a", "s"), backend("far", "b1", "b", "s"), backend("owner", "a1", "a", "divided"),
		},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	fixture.Forwarder = New(Config{
		Daemon: "self", Region: "a", Service: "mine", Sender: fixture.sender, Clock: timekeeper.Clock{}, Log: logrus.NewEntry(log), Meter: noMeter{},
		Shutdown: fixture.drain,
		Chooser: chooser.New(chooser.Config{
			AvailabilityZone: "a1", Region: "a", ZoneCost: 20 * time.Millisecond, RegionCost: 400 * time.Millisecond,
			QueueHalfLife: time.Second, RunTimeHalfLife: 8 * time.Second, AvoidTerm: time.Second, Random: rand.New(rand.NewPCG(1, 1)),
		}),
		Budgets:  NewBudgets(BudgetsConfig{Share: 0.1, Slack: 4, Daemons: func() int { return 1 }}),
		Snapshot: func() *coordinator.Snapshot { return coordinator.NewSnapshot(fixture.snapshot) }, RandomFloat64: func() float64 { return 0 },
	})
	return fixture
}

func (fixture *fixture) send(change func(task *lagoonlanding.TaskConfig)) lagoonlanding.Result {
	config := lagoonlanding.TaskConfig{
		ID: "1", Method: "GET", Host: "h", Target: "/p/x?y", Header: http.Header{}, Received: time.Now(), Deadline: time.Now().Add(5 * time.Second),
		ShardKey: lagoonlanding.NoShardKey,
	}
	change(&config)
	return fixture.Handle(context.Background(), lagoonlanding.NewTask(config))
}

func unchanged[T any](*T) {}

func TestRequestGoesToTheNearestBackendWithItsCaller(t *testing.T) {
	var caller, service string
	fixture := newFixture(unchanged, func(_ string, task lagoonlanding.Task) lagoonlanding.Result {
		caller, service = task.Caller(), task.Service()
		return answered(200)
	})
	if result := fixture.send(unchanged); result.Outcome() != lagoonlanding.OutcomeAnswered {
		t.Fatal(result.Reason())
	}
	if !slices.Equal(fixture.sender.sentTo, []string{"near"}) || caller != "mine" || service != "s" {
		t.Errorf("sent to %v, caller %q, service %q", fixture.sender.sentTo, caller, service)
	}
}

func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	fixture := newFixture(func(route *lagoonlanding.PathRouteConfig) { route.Idempotent = false }, func(string, lagoonlanding.Task) lagoonlanding.Result {
		return lagoonlanding.MayHaveRun(lagoonlanding.ReasonConnectionLost)
	})
	if result := fixture.send(unchanged); result.Outcome() != lagoonlanding.OutcomeUnknown || len(fixture.sender.sentTo) != 1 {
		t.Errorf("got %v after tasks were sent to %v", result.Outcome(), fixture.sender.sentTo)
	}
}

func TestIdempotentRequestIsRetriedUpToMaxAttempts(t *testing.T) {
	fixture := newFixture(unchanged, func(string, lagoonlanding.Task) lagoonlanding.Result {
		return lagoonlanding.MayHaveRun(lagoonlanding.ReasonConnectionLost)
	})
	if fixture.send(unchanged); !slices.Equal(fixture.sender.sentTo, []string{"near", "beside"}) {
		t.Errorf("tasks were sent to %v", fixture.sender.sentTo)
	}
}

func TestRefusalByADaemonIsNoAttempt(t *testing.T) {
	fixture := newFixture(func(route *lagoonlanding.PathRouteConfig) { route.Idempotent = false; route.MaxAttempts = 1 },
		func(daemon string, _ lagoonlanding.Task) lagoonlanding.Result {
			if daemon == "near" {
				return lagoonlanding.NotRun(lagoonlanding.ReasonQueueFull, time.Now())
			}
			return answered(200)
		})
	result := fixture.send(func(task *lagoonlanding.TaskConfig) {
		task.Method, task.Body, task.BodyLength = "POST", NewRewindable(strings.NewReader("body")), 4
	})
	if result.Outcome() != lagoonlanding.OutcomeAnswered || !slices.Equal(fixture.sender.bodies, []string{"body", "body"}) {
		t.Errorf("got %v, bodies %v", result.Outcome(), fixture.sender.bodies)
	}
}

func TestRequestStaysInAllowedRegions(t *testing.T) {
	fixture := newFixture(func(route *lagoonlanding.PathRouteConfig) { route.Regions = []string{"b"} }, func(string, lagoonlanding.Task) lagoonlanding.Result {
		return lagoonlanding.NotRun(lagoonlanding.ReasonQueueFull, time.Now())
	})
	if fixture.send(unchanged); !slices.Equal(fixture.sender.sentTo, []string{"far"}) {
		t.Errorf("tasks were sent to %v", fixture.sender.sentTo)
	}
}

func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	fixture := newFixture(unchanged, func(string, lagoonlanding.Task) lagoonlanding.Result { return answered(200) })
	fixture.snapshot.Evacuated = map[string]bool{"a1": true}
	if fixture.send(unchanged); !slices.Equal(fixture.sender.sentTo, []string{"beside"}) {
		t.Errorf("tasks were sent to %v", fixture.sender.sentTo)
	}
}

func TestBudgetLimitsRetries(t *testing.T) {
	fixture := newFixture(unchanged, func(string, lagoonlanding.Task) lagoonlanding.Result { return answered(500) })
	for range 40 {
		fixture.send(unchanged)
	}
	if retries := len(fixture.sender.sentTo) - 40; retries > 8 {
		t.Errorf("%d retries", retries)
	}
}

func TestTimeoutOfTheRouteShortensTheDeadline(t *testing.T) {
	var left time.Duration
	fixture := newFixture(unchanged, func(_ string, task lagoonlanding.Task) lagoonlanding.Result {
		left = time.Until(task.Deadline())
		return answered(200)
	})
	if fixture.send(unchanged); left > 2*time.Second {
		t.Errorf("%v left until the deadline", left)
	}
}

func TestUnknownRouteAndMissingConfigurationHaveDifferentReasons(t *testing.T) {
	fixture := newFixture(unchanged, func(string, lagoonlanding.Task) lagoonlanding.Result { return answered(200) })
	if result := fixture.send(func(task *lagoonlanding.TaskConfig) { task.Target = "/q/" }); result.Reason() != lagoonlanding.ReasonNoRoute {
		t.Errorf("got %s", result.Reason())
	}
	fixture.snapshot.Routing = nil
	if result := fixture.send(unchanged); result.Reason() != lagoonlanding.ReasonNotReady {
		t.Errorf("got %s", result.Reason())
	}
}

func divided(route *lagoonlanding.PathRouteConfig) {
	route.Shares = []lagoonlanding.Share{lagoonlanding.NewShare("divided", 1)}
}

func (fixture *fixture) assignShards(owner lagoonlanding.BackendID) {
	allotment, _ := allocator.NewAllotment(allocator.AllotmentConfig{Service: "divided"}).Plan(allocator.PlanConfig{
		Backends:  []lagoonlanding.Backend{lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: owner})},
		IsExpired: func(lagoonlanding.BackendID) bool { return false },
	})
	fixture.snapshot.Allotments = map[string]*allocator.Allotment{"divided": allotment}
}

func TestRequestWithAKeyGoesToItsOwnerOnly(t *testing.T) {
	fixture := newFixture(divided, func(string, lagoonlanding.Task) lagoonlanding.Result {
		return lagoonlanding.NotRun(lagoonlanding.ReasonQueueFull, time.Now())
	})
	fixture.assignShards(lagoonlanding.NewBackendID("owner", "server-owner", 1))
	result := fixture.send(func(task *lagoonlanding.TaskConfig) { task.ShardKey = 7 })
	if result.Outcome() != lagoonlanding.OutcomeNotRun || !slices.Equal(fixture.sender.sentTo, []string{"owner"}) {
		t.Errorf("got %v after tasks were sent to %v", result.Outcome(), fixture.sender.sentTo)
	}
}

// TestRequestReachesABackendServerOnceOnly covers one that would repeat its refusal of the request while it runs it.
func TestRequestReachesABackendServerOnceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fixture *fixture
		owner, other := lagoonlanding.NewBackendID("owner", "server-owner", 1), lagoonlanding.NewBackendID("other", "server-other", 1)
		fixture = newFixture(divided, func(daemon string, _ lagoonlanding.Task) lagoonlanding.Result {
			if daemon == "other" {
				fixture.assignShards(owner)
				return lagoonlanding.NotRun(lagoonlanding.ReasonMoving, time.Now())
			}
			fixture.assignShards(other)
			return lagoonlanding.NotRun(lagoonlanding.ReasonUpstreamRefused, time.Now()).
				With(func(config *lagoonlanding.ResultConfig) { config.Delivered = true })
		})
		fixture.snapshot.Backends = append(fixture.snapshot.Backends, backend("other", "a1", "a", "divided"))
		fixture.assignShards(owner)
		fixture.send(func(task *lagoonlanding.TaskConfig) { task.ShardKey = 7 })
		if !slices.Equal(fixture.sender.sentTo, []string{"owner", "other"}) {
			t.Errorf("the request was sent to %v", fixture.sender.sentTo)
		}
	})
}

func TestRequestWaitsForAMovingKeyForHalfTheObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(divided, func(string, lagoonlanding.Task) lagoonlanding.Result {
			return lagoonlanding.NotRun(lagoonlanding.ReasonMoving, time.Now())
		})
		fixture.assignShards(lagoonlanding.NewBackendID("owner", "server-owner", 1))
		began := time.Now()
		result := fixture.send(func(task *lagoonlanding.TaskConfig) { task.ShardKey = 7 })
		if waited := time.Since(began); waited < 200*time.Millisecond || waited > 400*time.Millisecond {
			t.Errorf("the request waited %v", waited)
		}
		if result.Outcome() != lagoonlanding.OutcomeNotRun {
			t.Errorf("got outcome %v", result.Outcome())
		}
	})
}

func TestBodyThatIsTooLongToBufferIsNotSentAgain(t *testing.T) {
	fixture := newFixture(unchanged, func(string, lagoonlanding.Task) lagoonlanding.Result {
		return lagoonlanding.MayHaveRun(lagoonlanding.ReasonConnectionLost)
	})
	long := strings.Repeat("x", maxBufferedBody+1)
	fixture.send(func(task *lagoonlanding.TaskConfig) {
		task.Body, task.BodyLength = NewRewindable(strings.NewReader(long)), int64(len(long))
	})
	if len(fixture.sender.sentTo) != 1 {
		t.Errorf("tasks were sent to %v", fixture.sender.sentTo)
	}
}

func TestFullRegionIsSkipped(t *testing.T) {
	now := time.Now()
	fixture := newFixture(unchanged, func(daemon string, _ lagoonlanding.Task) lagoonlanding.Result {
		if daemon == "far" {
			return answered(200)
		}
		return lagoonlanding.NotRun(lagoonlanding.ReasonQueueFull, now.Add(time.Second))
	})
	for number := range 2 * maxRefusals {
		fixture.snapshot.Backends = append(fixture.snapshot.Backends, backend(fmt.Sprint("n", number), "a1", "a", "s"))
	}
	if result := fixture.send(unchanged); result.Outcome() != lagoonlanding.OutcomeAnswered || len(fixture.sender.sentTo) != maxRefusals+1 {
		t.Errorf("got %v after tasks were sent to %v", result.Outcome(), fixture.sender.sentTo)
	}
}

func TestRefusalHasTheEarliestRetryTime(t *testing.T) {
	now := time.Now()
	waits := map[string]time.Duration{"near": 900 * time.Millisecond, "beside": 300 * time.Millisecond, "far": 600 * time.Millisecond}
	fixture := newFixture(unchanged, func(daemon string, _ lagoonlanding.Task) lagoonlanding.Result {
		return lagoonlanding.NotRun(lagoonlanding.ReasonQueueFull, now.Add(waits[daemon]))
	})
	if result := fixture.send(unchanged); result.Outcome() != lagoonlanding.OutcomeNotRun || !result.RetryAt().Equal(now.Add(300*time.Millisecond)) {
		t.Errorf("got %v, retry in %v", result.Outcome(), result.RetryAt().Sub(now))
	}
}

// TestRefusalAfterATryThatMayHaveRunIsNotDenied plays a try that breaks off, and a second one that is refused.
func TestRefusalAfterATryThatMayHaveRunIsNotDenied(t *testing.T) {
	tries := 0
	fixture := newFixture(unchanged, func(string, lagoonlanding.Task) lagoonlanding.Result {
		if tries++; tries == 1 {
			return lagoonlanding.MayHaveRun(lagoonlanding.ReasonConnectionLost)
		}
		return lagoonlanding.NotRun(lagoonlanding.ReasonQueueFull, time.Now().Add(time.Second))
	})
	for range 50 {
		// Earns enough of the retry budget.
		fixture.Forwarder.config.Budgets.Earn("s")
	}
	if result := fixture.send(unchanged); tries < 2 || result.Outcome() != lagoonlanding.OutcomeUnknown || result.Reason() != lagoonlanding.ReasonQueueFull {
		t.Errorf("got %v, %v after %d tries", result.Outcome(), result.Reason(), tries)
	}
}

// TestEarlierSenderTakesNoBytesFromALaterOne plays a goroutine that still sends the body of a failed try.
func TestEarlierSenderTakesNoBytesFromALaterOne(t *testing.T) {
	body := NewRewindable(strings.NewReader("the whole body"))
	begin := make([]byte, 3)
	if _, err := io.ReadFull(body, begin); err != nil {
		t.Fatal(err)
	}
	again, ok := body.(lagoonlanding.Rewinder).Rewound()
	if !ok {
		t.Fatal("the body cannot be read again")
	}
	if count, err := body.Read(begin); err == nil || count > 0 {
		t.Errorf("the earlier sender read %d bytes, %v", count, err)
	}
	if text, err := io.ReadAll(again); err != nil || string(text) != "the whole body" {
		t.Errorf("got %q, %v", text, err)
	}
	blocked, writer := io.Pipe()
	defer writer.Close()
	waiting := NewRewindable(blocked)
	started := make(chan struct{})
	go func() { close(started); _, _ = waiting.Read(make([]byte, 1)) }()
	<-started
	time.Sleep(10 * time.Millisecond)
	if _, ok := waiting.(lagoonlanding.Rewinder).Rewound(); ok {
		t.Error("a body that is being read can be read again")
	}
}

// TestStoppingDaemonSendsNothingThatMustNotRunTwiceAndMayOutlastIt covers the daemon to which the client is connected.
func TestStoppingDaemonSendsNothingThatMustNotRunTwiceAndMayOutlastIt(t *testing.T) {
	for _, isIdempotent := range []bool{true, false} {
		sent := 0
		var deadline time.Time
		fixture := newFixture(func(route *lagoonlanding.PathRouteConfig) {
			route.Idempotent, route.Timeout = isIdempotent, time.Minute
		}, func(_ string, task lagoonlanding.Task) lagoonlanding.Result {
			sent, deadline = sent+1, task.Deadline()
			return answered(200)
		})
		answerBy := fixture.drain.Stop(time.Now().Add(3 * time.Second))
		result := fixture.send(unchanged)
		switch {
		case isIdempotent && (sent != 1 || deadline.After(answerBy)):
			t.Errorf("sent %d times, the last with a deadline %v after the last answer", sent, deadline.Sub(answerBy))
		case !isIdempotent && (sent != 0 || result.Outcome() != lagoonlanding.OutcomeNotRun || result.Reason() != lagoonlanding.ReasonShuttingDown):
			t.Errorf("sent %d times; got %v, %q", sent, result.Outcome(), result.Reason())
		}
	}
}

// closingBody fails once it has been closed, as the body of an answer that is still received does.
type closingBody struct {
	io.Reader
	isClosed bool
}

func (closingbody *closingBody) Read(data []byte) (int, error) {
	if closingbody.isClosed {
		return 0, io.ErrClosedPipe
	}
	return closingbody.Reader.Read(data)
}

func (closingbody *closingBody) Close() error {
	closingbody.isClosed = true
	return nil
}

// TestFailureWithoutAnotherServerIsReturnedWhole guards against a connection that is closed without an answer: the owner of a key fails a request, and
// there is no other backend server to which it can be sent.
func TestFailureWithoutAnotherServerIsReturnedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := &closingBody{Reader: strings.NewReader("failed")}
		fixture := newFixture(divided, func(string, lagoonlanding.Task) lagoonlanding.Result {
			return lagoonlanding.NewResult(lagoonlanding.ResultConfig{
				Outcome: lagoonlanding.OutcomeAnswered, Delivered: true,
				Answer: lagoonlanding.NewAnswer(lagoonlanding.AnswerConfig{Status: 500, Header: http.Header{}, Body: body}),
			})
		})
		fixture.assignShards(lagoonlanding.NewBackendID("owner", "server-owner", 1))
		result := fixture.send(func(task *lagoonlanding.TaskConfig) { task.ShardKey = 7 })
		if result.Outcome() != lagoonlanding.OutcomeAnswered || result.Answer().Status() != 500 {
			t.Fatalf("got %v", result.Outcome())
		}
		if text, err := io.ReadAll(result.Answer().Body()); string(text) != "failed" || err != nil {
			t.Errorf("got %q, %v", text, err)
		}
	})
}
