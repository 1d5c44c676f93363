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

func newLimiter(warm bool, queue int) *Limiter {
	return NewLimiter(Config{Slots: 6, Connections: 60, Queue: queue, Scheduler: scheduler.NewDefault(6), Warm: warm})
}

func newRequest(tenant string, changes ...func(*lagoonlanding.QueuedRequestConfig)) lagoonlanding.QueuedRequest {
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

func exclusive(config *lagoonlanding.QueuedRequestConfig) { config.Exclusive = true }

func expect(t *testing.T, admission *Admission, decided bool, reason lagoonlanding.Reason) {
	t.Helper()
	if admission.hasDecision() != decided || admission.Reason() != reason {
		t.Fatalf("decided %v with %q, want %v with %q", admission.hasDecision(), admission.Reason(), decided, reason)
	}
}

func TestAdmission(t *testing.T) {
	limiter := newLimiter(true, 2)
	var running []*Admission
	for range 6 {
		running = append(running, limiter.Enqueue(start, newRequest("a", limit(9))))
		expect(t, running[len(running)-1], true, "")
	}
	first := limiter.Enqueue(start, newRequest("a"))
	second := limiter.Enqueue(start, newRequest("a"))
	expect(t, second, false, "")
	expect(t, limiter.Enqueue(start, newRequest("a")), true, lagoonlanding.ReasonQueueFull)
	expect(t, limiter.Enqueue(start, newRequest("a", limit(8))), true, lagoonlanding.ReasonTenantLimit)
	// With a full queue, a request of the tenant with the most requests is evicted for a tenant with few.
	other := limiter.Enqueue(start, newRequest("b", until(time.Second)))
	expect(t, second, true, lagoonlanding.ReasonQueueFull)
	if !second.RetryAt().After(start) {
		t.Errorf("a refusal has no retry time")
	}
	if !limiter.Cancel(start, first, lagoonlanding.ReasonCancelled) {
		t.Errorf("a queued request could not be cancelled")
	}
	late := limiter.Enqueue(start, newRequest("c", until(time.Millisecond)))
	limiter.Release(start.Add(time.Millisecond), running[0], Served)
	limiter.Release(start.Add(time.Millisecond), running[1], Served)
	expect(t, other, true, "")
	expect(t, late, true, lagoonlanding.ReasonDeadline)
	drained := limiter.Drain()
	expect(t, limiter.Enqueue(start, newRequest("a")), true, lagoonlanding.ReasonShuttingDown)
	for _, admission := range append(running[2:], other) {
		limiter.Release(start.Add(time.Second), admission, Served)
	}
	<-drained
}

func TestExclusiveRequestRunsAlone(t *testing.T) {
	limiter := newLimiter(true, 10)
	first := limiter.Enqueue(start, newRequest("a"))
	suspect := limiter.Enqueue(start, newRequest("a", exclusive))
	behind := limiter.Enqueue(start, newRequest("b"))
	expect(t, suspect, false, "")
	expect(t, behind, false, "")
	limiter.Release(start, first, Served)
	expect(t, suspect, true, "")
	expect(t, behind, false, "")
	limiter.Release(start, suspect, ConnectionLost)
	expect(t, behind, true, "")
}

// coldServer has a capacity of one request at first and one more for each windowCompletions requests that it has served.
type coldServer struct {
	served int
}

func (coldserver *coldServer) capacity() int { return min(1+coldserver.served/windowCompletions, 6) }

// TestColdServerIsNotOverloaded keeps the queue filled while the backend server crashes at random times.
func TestColdServerIsNotOverloaded(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		limiter, backend, now := newLimiter(false, 200), &coldServer{}, start
		var running, backlog []*Admission
		full := 0
		for step := range 5000 {
			now = now.Add(time.Millisecond)
			for len(backlog) < 10 {
				backlog = append(backlog, limiter.Enqueue(now, newRequest("a")))
			}
			running, backlog = collect(running, backlog)
			if len(running) > backend.capacity() {
				t.Fatalf("seed %d, step %d: %d requests in flight at a backend server with capacity for %d", seed, step, len(running), backend.capacity())
			}
			if len(running) == 6 {
				full++
			}
			if random.IntN(500) == 0 {
				backend.served = 0
				for _, admission := range running {
					limiter.Release(now, admission, ConnectionLost)
				}
				running, backlog = collect(nil, backlog)
				continue
			}
			index := random.IntN(len(running))
			limiter.Release(now, running[index], Served)
			backend.served++
			running = append(running[:index], running[index+1:]...)
			running, backlog = collect(running, backlog)
		}
		if full == 0 {
			t.Errorf("seed %d: the limit never reached all slots", seed)
		}
	}
}

func collect(running, backlog []*Admission) ([]*Admission, []*Admission) {
	var rest []*Admission
	for _, admission := range backlog {
		if admission.hasDecision() {
			running = append(running, admission)
			continue
		}
		rest = append(rest, admission)
	}
	return running, rest
}

func TestLimitIsResetWhenServerLooksCold(t *testing.T) {
	cases := []struct {
		name     string
		result   Result
		took     time.Duration
		pause    time.Duration
		requests int
		want     int
	}{
		{name: "steady", result: Served, took: 5 * time.Millisecond, requests: 64, want: 6},
		{name: "slow", result: Served, took: 25 * time.Millisecond, requests: windowCompletions, want: 1},
		{name: "one slow", result: Served, took: time.Second, requests: 1, want: 6},
		{name: "errors", result: Failed, took: time.Millisecond, requests: coldFailures, want: 1},
		{name: "reset", result: ConnectionLost, took: time.Millisecond, requests: 1, want: 1},
		{name: "unreachable", result: Unreachable, took: time.Millisecond, requests: 1, want: 1},
		{name: "shed", result: Shed, took: time.Millisecond, requests: 1, want: 5},
		{name: "hanging until cancelled", result: Cancelled, took: 100 * time.Millisecond, requests: 6, want: 1},
		{name: "cancelled early", result: Cancelled, took: time.Millisecond, requests: 64, want: 6},
		{name: "unsent", result: Unsent, took: time.Second, requests: 64, want: 6},
		{name: "idle", result: Served, took: 5 * time.Millisecond, pause: idleTimeout + time.Second, requests: 1, want: 1},
	}
	for _, test := range cases {
		limiter, now := newLimiter(false, 10), start
		run := func(result Result, took time.Duration) {
			admission := limiter.Enqueue(now, newRequest("a"))
			now = now.Add(took)
			limiter.Release(now, admission, result)
		}
		for range 5 * windowCompletions {
			run(Served, 5*time.Millisecond)
		}
		if limiter.Limit() != 6 {
			t.Fatalf("%s: limit %d after warm-up", test.name, limiter.Limit())
		}
		now = now.Add(test.pause)
		for range test.requests {
			run(test.result, test.took)
		}
		if limiter.Limit() != test.want {
			t.Errorf("%s: limit %d, want %d", test.name, limiter.Limit(), test.want)
		}
	}
}

// manualClock always returns the same time; its timers fire when the test sends to fired.
type manualClock struct {
	fired chan time.Time
}

func (manualclock manualClock) Now() time.Time                   { return start }
func (manualclock manualClock) Until(time.Time) <-chan time.Time { return manualclock.fired }

func TestAcquireStopsWaiting(t *testing.T) {
	limiter, clock := newLimiter(false, 100), manualClock{fired: make(chan time.Time, 1)}
	held := limiter.Acquire(context.Background(), clock, newRequest("a"))
	clock.fired <- start
	if admission := limiter.Acquire(context.Background(), clock, newRequest("a", until(time.Second))); admission.Reason() != lagoonlanding.ReasonDeadline {
		t.Errorf("after the deadline: %q", admission.Reason())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if admission := limiter.Acquire(ctx, clock, newRequest("a")); admission.Reason() != lagoonlanding.ReasonCancelled {
		t.Errorf("after the cancellation: %q", admission.Reason())
	}
	limiter.Release(start, held, Served)
	if inFlight, queued := limiter.Load(); inFlight != 0 || queued != 0 {
		t.Errorf("%d in flight and %d queued are left", inFlight, queued)
	}
}

// TestConcurrentAcquire acquires, cancels and releases concurrently; the limiter itself panics on violated invariants.
func TestConcurrentAcquire(t *testing.T) {
	limiter, clock := newLimiter(false, 20), manualClock{}
	var group sync.WaitGroup
	for caller := range uint64(30) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(caller, 4))
			for range 300 {
				ctx, cancel := context.WithCancel(context.Background())
				if random.IntN(4) == 0 {
					go cancel()
				}
				admission := limiter.Acquire(ctx, clock, newRequest([]string{"a", "b", "c"}[caller%3]))
				if admission.Reason() == lagoonlanding.ReasonNone {
					limiter.Release(start, admission, Result(1+random.IntN(int(Cancelled))))
				}
				cancel()
			}
		})
	}
	group.Wait()
	if inFlight, queued := limiter.Load(); inFlight != 0 || queued != 0 || len(limiter.tenantCounts) != 0 {
		t.Errorf("%d in flight, %d queued, %d tenants are left", inFlight, queued, len(limiter.tenantCounts))
	}
}

// TestSlowStartRecoversFromUnnoticedColdStart lets a backend server that warms up more slowly than the limit grows become cold
// without a failed request.
func TestSlowStartRecoversFromUnnoticedColdStart(t *testing.T) {
	const warm, step = 160, 32
	limiter, now, completed := newLimiter(false, 200), start, warm
	type run struct {
		admission *Admission
		ends      time.Time
		excess    int
	}
	var running []run
	var backlog []*Admission
	full := 0
	for end := range 3000 {
		if end == 1000 {
			completed = 0
		}
		var started []*Admission
		for attempts := 0; len(running)+len(started) == 0 || len(backlog) < 10; attempts++ {
			if attempts > 1000 {
				t.Fatalf("request %d: all requests are refused although the backend server is idle", end)
			}
			backlog = append(backlog, limiter.Enqueue(now, newRequest("a", until(now.Sub(start)+250*time.Millisecond))))
			started, backlog = collect(started, backlog)
		}
		for _, admission := range started {
			if admission.Reason() != lagoonlanding.ReasonNone {
				continue
			}
			excess := max(len(running)+1-min(1+completed/step, 6), 0)
			factor := (5 - 4*float64(completed)/warm) * float64((1+excess)*(1+excess))
			running = append(running, run{admission: admission, ends: now.Add(time.Duration(factor * float64(5*time.Millisecond))), excess: excess})
		}
		next := 0
		for index := range running {
			if running[index].ends.Before(running[next].ends) {
				next = index
			}
		}
		now = running[next].ends
		limiter.Release(now, running[next].admission, Served)
		if running[next].excess == 0 {
			completed = min(completed+1, warm)
		}
		running = append(running[:next], running[next+1:]...)
		if end >= 2500 && limiter.Limit() == 6 {
			full++
		}
	}
	if full < 400 {
		t.Errorf("the limit was at its maximum for %d of the last 500 requests", full)
	}
}
