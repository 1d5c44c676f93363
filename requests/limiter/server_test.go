package limiter

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/scheduler"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newServer(warm bool, queue int) *Server {
	return NewServer(Config{Slots: 6, Connections: 60, Queue: queue, Order: scheduler.NewOrder(6), Warm: warm})
}

func waitingOf(tenant string, changes ...func(*lagoonlanding.QueuedRequestConfig)) lagoonlanding.QueuedRequest {
	config := lagoonlanding.QueuedRequestConfig{Tenant: tenant, Class: "tag"}
	for _, apply := range changes {
		apply(&config)
	}
	return lagoonlanding.NewQueuedRequest(config)
}

func limit(bound int) func(*lagoonlanding.QueuedRequestConfig) {
	return func(config *lagoonlanding.QueuedRequestConfig) { config.Limit = bound }
}

func until(deadline time.Duration) func(*lagoonlanding.QueuedRequestConfig) {
	return func(config *lagoonlanding.QueuedRequestConfig) { config.Deadline = start.Add(deadline) }
}

func alone(config *lagoonlanding.QueuedRequestConfig) { config.Exclusive = true }

func expect(t *testing.T, place *Place, decided bool, reason lagoonlanding.Reason) {
	t.Helper()
	if place.isReady() != decided || place.Reason() != reason {
		t.Fatalf("decided %v with %q, want %v with %q", place.isReady(), place.Reason(), decided, reason)
	}
}

func TestAdmission(t *testing.T) {
	server := newServer(true, 2)
	var running []*Place
	for range 6 {
		running = append(running, server.Arrive(start, waitingOf("a", limit(9))))
		expect(t, running[len(running)-1], true, "")
	}
	first := server.Arrive(start, waitingOf("a"))
	second := server.Arrive(start, waitingOf("a"))
	expect(t, second, false, "")
	expect(t, server.Arrive(start, waitingOf("a")), true, lagoonlanding.ReasonQueueFull)
	expect(t, server.Arrive(start, waitingOf("a", limit(8))), true, lagoonlanding.ReasonTenantLimit)
	// A full queue makes room for a tenant with few requests at the cost of the one with the most.
	other := server.Arrive(start, waitingOf("b", until(time.Second)))
	expect(t, second, true, lagoonlanding.ReasonQueueFull)
	if !second.RetryAt().After(start) {
		t.Errorf("a refusal names no time for a further try")
	}
	if !server.Abandon(start, first, lagoonlanding.ReasonCancelled) {
		t.Errorf("a waiting request could not be taken out")
	}
	late := server.Arrive(start, waitingOf("c", until(time.Millisecond)))
	server.Leave(start.Add(time.Millisecond), running[0], Served)
	server.Leave(start.Add(time.Millisecond), running[1], Served)
	expect(t, other, true, "")
	expect(t, late, true, lagoonlanding.ReasonDeadline)
	drained := server.Drain()
	expect(t, server.Arrive(start, waitingOf("a")), true, lagoonlanding.ReasonShuttingDown)
	for _, place := range append(running[2:], other) {
		server.Leave(start.Add(time.Second), place, Served)
	}
	<-drained
}

func TestAloneRunsAlone(t *testing.T) {
	server := newServer(true, 10)
	first := server.Arrive(start, waitingOf("a"))
	suspect := server.Arrive(start, waitingOf("a", alone))
	behind := server.Arrive(start, waitingOf("b"))
	expect(t, suspect, false, "")
	expect(t, behind, false, "")
	server.Leave(start, first, Served)
	expect(t, suspect, true, "")
	expect(t, behind, false, "")
	server.Leave(start, suspect, Reset)
	expect(t, behind, true, "")
}

// coldServer bears one request at first and one more for each rampWindow requests that it has served.
type coldServer struct {
	served int
}

func (coldserver *coldServer) bears() int { return min(1+coldserver.served/rampWindow, 6) }

// TestColdServerGetsNoMoreThanItBears runs a backlog over crashes at random times.
func TestColdServerGetsNoMoreThanItBears(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		server, backend, now := newServer(false, 200), &coldServer{}, start
		var running, backlog []*Place
		full := 0
		for step := range 5000 {
			now = now.Add(time.Millisecond)
			for len(backlog) < 10 {
				backlog = append(backlog, server.Arrive(now, waitingOf("a")))
			}
			running, backlog = collect(running, backlog)
			if len(running) > backend.bears() {
				t.Fatalf("seed %d, step %d: %d requests at a backend server that bears %d", seed, step, len(running), backend.bears())
			}
			if len(running) == 6 {
				full++
			}
			if random.IntN(500) == 0 {
				backend.served = 0
				for _, place := range running {
					server.Leave(now, place, Reset)
				}
				running, backlog = collect(nil, backlog)
				continue
			}
			index := random.IntN(len(running))
			server.Leave(now, running[index], Served)
			backend.served++
			running = append(running[:index], running[index+1:]...)
			running, backlog = collect(running, backlog)
		}
		if full == 0 {
			t.Errorf("seed %d: the ramp never reached all slots", seed)
		}
	}
}

func collect(running, backlog []*Place) ([]*Place, []*Place) {
	var rest []*Place
	for _, place := range backlog {
		if place.isReady() {
			running = append(running, place)
			continue
		}
		rest = append(rest, place)
	}
	return running, rest
}

func TestRampFallsWhenTheServerLooksCold(t *testing.T) {
	cases := []struct {
		name   string
		result Result
		took   time.Duration
		pause  time.Duration
		ends   int
		want   int
	}{
		{name: "steady", result: Served, took: 5 * time.Millisecond, ends: 64, want: 6},
		{name: "slow", result: Served, took: 25 * time.Millisecond, ends: rampWindow, want: 1},
		{name: "one slow", result: Served, took: time.Second, ends: 1, want: 6},
		{name: "errors", result: Failed, took: time.Millisecond, ends: failedWindow, want: 1},
		{name: "reset", result: Reset, took: time.Millisecond, ends: 1, want: 1},
		{name: "unreachable", result: Unreachable, took: time.Millisecond, ends: 1, want: 1},
		{name: "shed", result: Shed, took: time.Millisecond, ends: 1, want: 5},
		{name: "hanging until cancelled", result: Cancelled, took: 100 * time.Millisecond, ends: 6, want: 1},
		{name: "cancelled early", result: Cancelled, took: time.Millisecond, ends: 64, want: 6},
		{name: "unsent", result: Unsent, took: time.Second, ends: 64, want: 6},
		{name: "idle", result: Served, took: 5 * time.Millisecond, pause: idleTerm + time.Second, ends: 1, want: 1},
	}
	for _, test := range cases {
		server, now := newServer(false, 10), start
		run := func(result Result, took time.Duration) {
			place := server.Arrive(now, waitingOf("a"))
			now = now.Add(took)
			server.Leave(now, place, result)
		}
		for range 5 * rampWindow {
			run(Served, 5*time.Millisecond)
		}
		if server.Limit() != 6 {
			t.Fatalf("%s: limit %d after the ramp", test.name, server.Limit())
		}
		now = now.Add(test.pause)
		for range test.ends {
			run(test.result, test.took)
		}
		if server.Limit() != test.want {
			t.Errorf("%s: limit %d, want %d", test.name, server.Limit(), test.want)
		}
	}
}

// manualClock stands still, and its deadlines pass when the test says so.
type manualClock struct {
	passed chan time.Time
}

func (manualclock manualClock) Now() time.Time                   { return start }
func (manualclock manualClock) Until(time.Time) <-chan time.Time { return manualclock.passed }

func TestEnterEnds(t *testing.T) {
	server, clock := newServer(false, 100), manualClock{passed: make(chan time.Time, 1)}
	held := server.Enter(context.Background(), clock, waitingOf("a"))
	clock.passed <- start
	if place := server.Enter(context.Background(), clock, waitingOf("a", until(time.Second))); place.Reason() != lagoonlanding.ReasonDeadline {
		t.Errorf("after the deadline: %q", place.Reason())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if place := server.Enter(ctx, clock, waitingOf("a")); place.Reason() != lagoonlanding.ReasonCancelled {
		t.Errorf("after the cancellation: %q", place.Reason())
	}
	server.Leave(start, held, Served)
	if inFlight, waiting := server.Load(); inFlight != 0 || waiting != 0 {
		t.Errorf("%d in flight and %d waiting are left", inFlight, waiting)
	}
}

// TestManyEnter lets callers enter, give up and leave at once; the invariants are asserted inside Server.
func TestManyEnter(t *testing.T) {
	server, clock := newServer(false, 20), manualClock{}
	var group sync.WaitGroup
	for caller := range uint64(30) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(caller, 4))
			for range 300 {
				ctx, cancel := context.WithCancel(context.Background())
				if random.IntN(4) == 0 {
					go cancel()
				}
				place := server.Enter(ctx, clock, waitingOf([]string{"a", "b", "c"}[caller%3]))
				if place.Reason() == lagoonlanding.ReasonNone {
					server.Leave(start, place, Result(1+random.IntN(int(Cancelled))))
				}
				cancel()
			}
		})
	}
	group.Wait()
	if inFlight, waiting := server.Load(); inFlight != 0 || waiting != 0 || len(server.tenants) != 0 {
		t.Errorf("%d in flight, %d waiting, %d tenants are left", inFlight, waiting, len(server.tenants))
	}
}

// TestRampRecoversFromASilentColdTurn lets a backend server that warms more slowly than the ramp grows turn cold without a sign.
func TestRampRecoversFromASilentColdTurn(t *testing.T) {
	const warm, step = 160, 32
	server, now, completed := newServer(false, 200), start, warm
	type run struct {
		place  *Place
		ends   time.Time
		excess int
	}
	var running []run
	var backlog []*Place
	full := 0
	for end := range 3000 {
		if end == 1000 {
			completed = 0
		}
		var started []*Place
		for tries := 0; len(running)+len(started) == 0 || len(backlog) < 10; tries++ {
			if tries > 1000 {
				t.Fatalf("request %d: the backend server is idle and all requests are refused", end)
			}
			backlog = append(backlog, server.Arrive(now, waitingOf("a", until(now.Sub(start)+250*time.Millisecond))))
			started, backlog = collect(started, backlog)
		}
		for _, place := range started {
			if place.Reason() != lagoonlanding.ReasonNone {
				continue
			}
			excess := max(len(running)+1-min(1+completed/step, 6), 0)
			factor := (5 - 4*float64(completed)/warm) * float64((1+excess)*(1+excess))
			running = append(running, run{place: place, ends: now.Add(time.Duration(factor * float64(5*time.Millisecond))), excess: excess})
		}
		next := 0
		for index := range running {
			if running[index].ends.Before(running[next].ends) {
				next = index
			}
		}
		now = running[next].ends
		server.Leave(now, running[next].place, Served)
		if running[next].excess == 0 {
			completed = min(completed+1, warm)
		}
		running = append(running[:next], running[next+1:]...)
		if end >= 2500 && server.Limit() == 6 {
			full++
		}
	}
	if full < 400 {
		t.Errorf("all slots were open for %d of the last 500 requests", full)
	}
}
