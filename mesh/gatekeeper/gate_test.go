package gatekeeper

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

var id = lagoonlanding.NewBackendID("daemon", "server", 1)

func newGate(slots int) *Gate {
	gate := NewGate(Config{Clock: timekeeper.Clock{}, MaxWaiting: 8})
	gate.Open(id, slots, time.Time{}, 0)
	return gate
}

// task returns a task with the priority, and with the latency objective and the deadline relative to now.
func task(priority int, objective, deadline time.Duration) lagoonlanding.Task {
	now := time.Now()
	return lagoonlanding.NewTask(lagoonlanding.TaskConfig{
		ID: "t", Route: fmt.Sprint("route-", priority), Priority: priority, Objective: now.Add(objective), Deadline: now.Add(deadline), ShardKey: lagoonlanding.NoShardKey,
	})
}

func enter(t *testing.T, gate *Gate, task lagoonlanding.Task) (*Pass, lagoonlanding.Reason) {
	ctx, cancel := context.WithDeadline(t.Context(), task.Deadline())
	defer cancel()
	pass, reason, _ := gate.Enter(ctx, task)
	return pass, reason
}

func TestGateLimitsRunningTasksToSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(2)
		first, _ := enter(t, gate, task(1, time.Second, time.Second))
		if second, _ := enter(t, gate, task(1, time.Second, time.Second)); first == nil || second == nil {
			t.Fatal("a task was refused although a slot was free")
		}
		admitted := make(chan *Pass, 1)
		go func() {
			pass, _ := enter(t, gate, task(1, time.Second, time.Second))
			admitted <- pass
		}()
		synctest.Wait()
		select {
		case <-admitted:
			t.Fatal("a third task was admitted to two slots")
		default:
		}
		first.Finish(true)
		if <-admitted == nil {
			t.Error("the waiting task was not admitted to the freed slot")
		}
	})
}

func TestTaskThatCannotMeetItsObjectiveIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(1)
		if pass, _ := enter(t, gate, task(1, time.Second, time.Second)); pass == nil {
			t.Fatal("refused")
		}
		began := time.Now()
		pass, reason := enter(t, gate, task(1, 600*time.Millisecond, 10*time.Second))
		if pass != nil || reason != lagoonlanding.ReasonQueueFull {
			t.Errorf("got pass %v, reason %q", pass, reason)
		}
		if waited := time.Since(began); waited > 600*time.Millisecond-initialMeanRunTime {
			t.Errorf("the task waited %v", waited)
		}
	})
}

func TestUrgentTaskWaitsUntilItsDeadlineAndStartsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(1)
		running, _ := enter(t, gate, task(2, time.Second, time.Second))
		order := make(chan int, 2)
		for _, priority := range []int{2, 1} {
			go func() {
				// The objective of the urgent task leaves no time to wait.
				objective := time.Second
				if priority == 1 {
					objective = 50 * time.Millisecond
				}
				if pass, _ := enter(t, gate, task(priority, objective, 2*time.Second)); pass != nil {
					order <- priority
					pass.Finish(true)
				} else {
					order <- -priority
				}
			}()
			synctest.Wait()
		}
		time.Sleep(300 * time.Millisecond)
		running.Finish(true)
		if first, second := <-order, <-order; first != 1 || second != 2 {
			t.Errorf("tasks started in order of priority %d, %d", first, second)
		}
	})
}

func TestColdServerIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := NewGate(Config{Clock: timekeeper.Clock{}, MaxWaiting: 100})
		gate.Open(id, 50, time.Now().Add(3*time.Second), 4)
		var times []time.Time
		passed := make(chan time.Time, 100)
		for range 30 {
			go func() {
				if pass, _ := enter(t, gate, task(1, 20*time.Second, 20*time.Second)); pass != nil {
					passed <- time.Now()
				}
			}()
		}
		time.Sleep(2900 * time.Millisecond)
		synctest.Wait()
		close(passed)
		for at := range passed {
			times = append(times, at)
		}
		for _, from := range times {
			count := 0
			for _, at := range times {
				if !at.Before(from) && at.Before(from.Add(time.Second)) {
					count++
				}
			}
			if count > 4 {
				t.Fatalf("%d tasks were admitted in one second", count)
			}
		}
		if len(times) < 10 {
			t.Errorf("only %d tasks were admitted", len(times))
		}
	})
}

func TestCloseRefusesWaitingTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(1)
		enter(t, gate, task(1, time.Second, time.Second))
		refused := make(chan lagoonlanding.Reason, 1)
		go func() {
			_, reason := enter(t, gate, task(1, time.Second, time.Second))
			refused <- reason
		}()
		synctest.Wait()
		gate.Close(lagoonlanding.ReasonShuttingDown)
		if reason := <-refused; reason != lagoonlanding.ReasonShuttingDown {
			t.Errorf("the waiting task was refused with reason %q", reason)
		}
		if _, reason := enter(t, gate, task(1, time.Second, time.Second)); reason != lagoonlanding.ReasonShuttingDown {
			t.Errorf("the closed gate refused a task with reason %q", reason)
		}
	})
}

func TestNewProcessStartsWithNoRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(1)
		old, _ := enter(t, gate, task(1, time.Second, time.Second))
		gate.Open(lagoonlanding.NewBackendID("daemon", "server", 2), 1, time.Time{}, 0)
		fresh, _ := enter(t, gate, task(1, time.Second, time.Second))
		if fresh == nil {
			t.Fatal("the new process has no free slot")
		}
		old.Finish(false)
		if load := gate.Load(); load.Running() != 1 {
			t.Errorf("%d running after a task of the previous process ended", load.Running())
		}
	})
}

// keyedTask returns a task for a shard key with a deadline far in the future.
func keyedTask(key int) lagoonlanding.Task {
	return task(1, 20*time.Second, 20*time.Second).With(func(config *lagoonlanding.TaskConfig) { config.ShardKey = key })
}

func TestBusyKeyDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(1)
		running, _ := enter(t, gate, keyedTask(7))
		order := make(chan int, 5)
		for _, key := range []int{7, 7, 7, 7, 8} {
			go func() {
				if pass, _ := enter(t, gate, keyedTask(key)); pass != nil {
					order <- key
					pass.Finish(true)
				}
			}()
			synctest.Wait()
		}
		running.Finish(true)
		if first := <-order; first != 8 {
			t.Errorf("key %d was admitted before the key without tasks", first)
		}
	})
}

func TestUrgentTaskIsAdmittedIfASlotFreesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(6)
		// Tasks of one second each that start evenly spread, so one ends every sixth of a second.
		for range 12 {
			pass, _ := enter(t, gate, task(2, time.Minute, time.Minute))
			if pass == nil {
				t.Fatal("refused")
			}
			time.AfterFunc(time.Second, func() { pass.Finish(true) })
			time.Sleep(time.Second / 6)
		}
		if pass, reason := enter(t, gate, task(1, 100*time.Millisecond, 1400*time.Millisecond)); pass == nil {
			t.Errorf("the task was refused with reason %q", reason)
		}
	})
}

func TestRefusedTasksForABusyKeyGetSuccessiveRetryTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(1)
		enter(t, gate, keyedTask(7))
		var last time.Time
		for number := range 5 {
			task := keyedTask(7).With(func(config *lagoonlanding.TaskConfig) { config.Objective = time.Now().Add(initialMeanRunTime) })
			_, reason, retryAt := gate.Enter(t.Context(), task)
			if reason != lagoonlanding.ReasonQueueFull || number > 0 && retryAt.Sub(last) < initialMeanRunTime {
				t.Errorf("refused with reason %q, to be retried %v after the previous task", reason, retryAt.Sub(last))
			}
			last = retryAt
		}
	})
}

func TestCloseAtAdmitsTasksUntilItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(1)
		gate.CloseAt(time.Now().Add(time.Second), lagoonlanding.ReasonShuttingDown)
		running, _ := enter(t, gate, task(1, time.Minute, time.Minute))
		if running == nil {
			t.Fatal("a task was refused before the closing time")
		}
		admitted := make(chan *Pass, 1)
		go func() {
			pass, _ := enter(t, gate, task(1, 3*time.Second, 3*time.Second))
			admitted <- pass
		}()
		time.Sleep(1100 * time.Millisecond)
		if _, reason := enter(t, gate, task(1, time.Minute, time.Minute)); reason != lagoonlanding.ReasonShuttingDown {
			t.Errorf("after the closing time: reason %q", reason)
		}
		running.Finish(true)
		if pass := <-admitted; pass != nil {
			t.Error("a waiting task was admitted after the closing time")
		}
		gate.Open(lagoonlanding.NewBackendID("daemon", "server", 2), 1, time.Time{}, 0)
		if pass, _ := enter(t, gate, task(1, time.Second, time.Second)); pass == nil {
			t.Error("a task for the next process was refused")
		}
	})
}

// TestAdmittedTasksMostlyMeetTheirObjective plays an overloaded backend server with varying run times: a task that would probably be late is
// refused before it has waited, so that its caller can try another server, and most of those that are admitted are answered in time.
func TestAdmittedTasksMostlyMeetTheirObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, mean, objective = 4, 200 * time.Millisecond, 600 * time.Millisecond
		gate := newGate(slots)
		random := rand.New(rand.NewPCG(1, 1))
		runTime := func() time.Duration { return time.Duration(float64(mean) * math.Exp(0.7*random.NormFloat64()-0.245)) }
		var mutex sync.Mutex
		var inTime, late, refusedLate int
		var tasks sync.WaitGroup
		// Arrivals need 1.5 times the slots.
		for range 2000 {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(mean) / slots / 1.5))
			took := runTime()
			tasks.Go(func() {
				arrived := time.Now()
				pass, _ := enter(t, gate, task(1, objective, 4*time.Second))
				if pass != nil {
					time.Sleep(took)
					pass.Finish(true)
				}
				mutex.Lock()
				defer mutex.Unlock()
				switch waited := time.Since(arrived); {
				case pass == nil && waited > objective/2:
					refusedLate++
				case pass == nil:
				case waited <= objective:
					inTime++
				default:
					late++
				}
			})
		}
		tasks.Wait()
		if share := float64(inTime) / float64(inTime+late); share < 0.8 {
			t.Errorf("%.2f of the admitted tasks met their objective", share)
		}
		if refusedLate > 20 {
			t.Errorf("%d tasks were refused after half of their objective", refusedLate)
		}
	})
}

// TestTasksThatWouldOutlastTheDaemonAreRefusedAtOnce covers a full backend server whose daemon is stopped: what waits and could not end in time is
// refused while another daemon can still take it.
func TestTasksThatWouldOutlastTheDaemonAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(1)
		running, _ := enter(t, gate, task(1, time.Minute, time.Minute))
		reasons := make(chan lagoonlanding.Reason, 8)
		for range 8 {
			go func() {
				_, reason := enter(t, gate, task(1, time.Minute, time.Minute))
				reasons <- reason
			}()
		}
		synctest.Wait()
		began := time.Now()
		// Each task is expected to take initialMeanRunTime: two of the eight can start and still end in time.
		gate.EndBy(began.Add(5 * initialMeanRunTime))
		synctest.Wait()
		refused := len(reasons)
		for range refused {
			if reason := <-reasons; reason != lagoonlanding.ReasonShuttingDown {
				t.Errorf("refused for %q", reason)
			}
		}
		if refused == 0 || refused == 8 {
			t.Errorf("%d of eight waiting tasks were refused at once", refused)
		}
		if pass, reason := enter(t, gate, task(1, time.Minute, time.Minute)); pass != nil || reason != lagoonlanding.ReasonShuttingDown || time.Since(began) > 0 {
			t.Errorf("a new task got pass %v, reason %q after %v", pass, reason, time.Since(began))
		}
		for range 8 - refused {
			if reason := <-reasons; reason != lagoonlanding.ReasonShuttingDown {
				t.Errorf("a task that still waited ended with %q", reason)
			}
		}
		if waited := time.Since(began); waited > 5*initialMeanRunTime {
			t.Errorf("a task waited %v", waited)
		}
		running.Finish(true)
	})
}

// mixedLoad is a load of long tasks that fill all slots, and of short urgent ones that cannot wait for long.
type mixedLoad struct {
	longRunTime, longInterval     time.Duration
	urgentRunTime, urgentInterval time.Duration
}

// play returns how many urgent tasks were served and refused, and how many long ones were served, in a minute at six slots.
func (load mixedLoad) play(t *testing.T) (served, refused, long int) {
	gate := NewGate(Config{Clock: timekeeper.Clock{}, MaxWaiting: 64})
	gate.Open(id, 6, time.Time{}, 0)
	var tasks sync.WaitGroup
	var mutex sync.Mutex
	run := func(priority int, objective, deadline, runTime time.Duration, onEnd func(served bool)) {
		tasks.Go(func() {
			pass, _ := enter(t, gate, task(priority, objective, deadline))
			if pass != nil {
				time.Sleep(runTime)
				pass.Finish(true)
			}
			mutex.Lock()
			defer mutex.Unlock()
			onEnd(pass != nil)
		})
	}
	end := time.Now().Add(time.Minute)
	tasks.Go(func() {
		for ; time.Now().Before(end); time.Sleep(load.longInterval) {
			run(2, 4*time.Second, 10*time.Second, load.longRunTime, func(wasServed bool) {
				if wasServed {
					long++
				}
			})
		}
	})
	tasks.Go(func() {
		for ; time.Now().Before(end); time.Sleep(load.urgentInterval) {
			run(1, 200*time.Millisecond, 600*time.Millisecond, load.urgentRunTime, func(wasServed bool) {
				if wasServed {
					served++
				} else {
					refused++
				}
			})
		}
	})
	tasks.Wait()
	return served, refused, long
}

// TestUrgentTasksAreServedWhileLongOnesFillTheSlots plays the seconds after a loss of power, with run times five times as long as usual: before a
// slot was kept free, a third of the urgent tasks were refused.
func TestUrgentTasksAreServedWhileLongOnesFillTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := mixedLoad{longRunTime: 2900 * time.Millisecond, longInterval: 250 * time.Millisecond, urgentRunTime: 290 * time.Millisecond, urgentInterval: 450 * time.Millisecond}
		served, refused, long := load.play(t)
		if refused > (served+refused)/10 {
			t.Errorf("%d urgent tasks were served, %d were refused", served, refused)
		}
		// Five of six slots for a minute.
		if want := int(5*time.Minute/load.longRunTime) * 8 / 10; long < want {
			t.Errorf("%d long tasks were served, want at least %d", long, want)
		}
		t.Logf("%d urgent tasks were served, %d refused; %d long ones were served", served, refused, long)
	})
}

// TestAllSlotsAreUsedWhileUrgentTasksCanWait plays an ordinary overload.
func TestAllSlotsAreUsedWhileUrgentTasksCanWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := mixedLoad{longRunTime: 580 * time.Millisecond, longInterval: 60 * time.Millisecond, urgentRunTime: 58 * time.Millisecond, urgentInterval: 450 * time.Millisecond}
		served, refused, long := load.play(t)
		if refused > (served+refused)/20 {
			t.Errorf("%d urgent tasks were served, %d were refused", served, refused)
		}
		if want := int(6*time.Minute/load.longRunTime) * 9 / 10; long < want {
			t.Errorf("%d long tasks were served, want at least %d", long, want)
		}
		t.Logf("%d urgent tasks were served, %d refused; %d long ones were served", served, refused, long)
	})
}

func TestNoSlotIsKeptFreeForTasksWhoseTimeIsUp(t *testing.T) {
	var reserve reserve
	now := time.Unix(1000, 0)
	reserve.observe(now, now.Add(-time.Millisecond))
	if got := reserve.slots(now, 6, time.Second); got != 0 {
		t.Errorf("%d slots are kept free", got)
	}
	reserve.observe(now, now.Add(300*time.Millisecond))
	for untilFree, want := range map[time.Duration]int{200 * time.Millisecond: 0, 400 * time.Millisecond: 1} {
		if got := reserve.slots(now, 6, untilFree); got != want {
			t.Errorf("a slot is free after %v: %d slots are kept free", untilFree, got)
		}
	}
	if got := reserve.slots(now.Add(priorityTTL+time.Second), 6, time.Second); got != 0 {
		t.Errorf("%d slots are kept free long after the last urgent task", got)
	}
}
