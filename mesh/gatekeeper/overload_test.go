package gatekeeper

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

func newControlledGate(slots int) *Gate {
	gate := NewGate(Config{Clock: timekeeper.Clock{}, MaxWaiting: 32, OverloadControl: true})
	gate.Open(id, slots, time.Time{}, 0)
	return gate
}

func serverLoad(slowdown float64, waiting, slots int) lagoonlanding.Advice {
	return lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{ServerLoad: lagoonlanding.NewServerLoad(lagoonlanding.ServerLoadConfig{
		Running: 1, Waiting: waiting, Slots: slots, Slowdown: slowdown,
	})})
}

func answer(status int) lagoonlanding.Result {
	return lagoonlanding.NewResult(lagoonlanding.ResultConfig{
		Outcome: lagoonlanding.OutcomeAnswered, Delivered: true, Answer: lagoonlanding.NewAnswer(lagoonlanding.AnswerConfig{Status: status}),
	})
}

// Guards against a server that sheds, hangs or fails at once and keeps its share, and against one that does not get it back within three seconds.
func TestFaultyServerLosesItsShareAndGetsItBack(t *testing.T) {
	for name, fault := range map[string]func(ctx context.Context, pass *Pass){
		"shed": func(_ context.Context, pass *Pass) {
			pass.Advise(serverLoad(1, 0, 8))
			pass.Observe(lagoonlanding.NotRun(lagoonlanding.ReasonUpstreamRefused, time.Now()))
			pass.Finish(false)
		},
		"hang": func(ctx context.Context, pass *Pass) {
			<-ctx.Done()
			pass.Observe(lagoonlanding.MayHaveRun(lagoonlanding.ReasonDeadline))
			pass.Finish(false)
		},
		"fail fast": func(_ context.Context, pass *Pass) {
			time.Sleep(5 * time.Millisecond)
			pass.Observe(answer(http.StatusInternalServerError))
			pass.Finish(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate := newControlledGate(8)
				var isFaulty atomic.Bool
				var started, completed atomic.Int64
				stop := time.Now().Add(9 * time.Second)
				send := func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					now := time.Now()
					pass, _, _ := gate.Enter(ctx, lagoonlanding.NewTask(lagoonlanding.TaskConfig{
						Route: "r", Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(time.Second), Received: now, ShardKey: lagoonlanding.NoShardKey,
					}))
					switch {
					case pass == nil:
					case isFaulty.Load():
						started.Add(1)
						fault(ctx, pass)
					default:
						time.Sleep(100 * time.Millisecond)
						pass.Observe(answer(http.StatusOK))
						pass.Finish(true)
						completed.Add(1)
					}
				}
				go func() {
					for time.Now().Before(stop) {
						go send()
						time.Sleep(14 * time.Millisecond)
					}
				}()
				time.Sleep(2 * time.Second)
				isFaulty.Store(true)
				time.Sleep(time.Second)
				started.Store(0)
				time.Sleep(2 * time.Second)
				// Offered are 143 tasks in these two seconds.
				if got := started.Load(); got > 60 {
					t.Errorf("%d tasks were sent to the faulty server in two seconds", got)
				}
				isFaulty.Store(false)
				time.Sleep(3 * time.Second)
				completed.Store(0)
				time.Sleep(900 * time.Millisecond)
				if got := completed.Load(); got < 55 {
					t.Errorf("%d tasks of 64 were completed in the time from 3 s after the recovery", got)
				}
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// Guards against a wait until the deadline of an urgent task that can no longer meet its objective, while others can.
func TestLateTaskRunsAfterThoseInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newControlledGate(1)
		running, _ := enter(t, gate, task(1, time.Second, time.Second))
		order := make(chan int, 3)
		for index, objective := range []time.Duration{260 * time.Millisecond, 2 * time.Second, 2 * time.Second} {
			go func() {
				now := time.Now()
				pass, reason, _ := gate.Enter(t.Context(), lagoonlanding.NewTask(lagoonlanding.TaskConfig{
					Route: "r", Priority: min(index, 1), Received: now, Objective: now.Add(objective), Deadline: now.Add(4 * time.Second), ShardKey: 7,
				}))
				if pass == nil {
					t.Errorf("task %d was refused: %s", index, reason)
					return
				}
				order <- index
				time.Sleep(100 * time.Millisecond)
				pass.Finish(true)
			}()
			synctest.Wait()
		}
		time.Sleep(200 * time.Millisecond)
		running.Finish(true)
		if got := fmt.Sprint(<-order, <-order, <-order); got != "1 2 0" {
			t.Errorf("tasks started in order %s", got)
		}
		time.Sleep(time.Second)
	})
}

// Guards against run times that do not follow the machine within a second, and against a malformed or missing report that changes them.
func TestRunTimeFollowsTheReportedSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newControlledGate(4)
		pass, _ := enter(t, gate, task(1, time.Second, time.Second))
		time.Sleep(100 * time.Millisecond)
		pass.Advise(serverLoad(3, 0, 4))
		if got := gate.Load().Slowdown(); got != 3 {
			t.Errorf("slowdown %v", got)
		}
		if got := gate.Load().MeanRunTime(); got <= initialMeanRunTime || got > 3*initialMeanRunTime {
			t.Errorf("mean run time %v on a machine that is three times as slow", got)
		}
		pass.Advise(lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{}))
		if got := gate.Load().Slowdown(); got != 3 {
			t.Errorf("slowdown %v after a response without a load", got)
		}
		time.Sleep(time.Second)
		if got := gate.Load().Slowdown(); got != 1 {
			t.Errorf("slowdown %v a second after the last report", got)
		}
		pass.Finish(true)
	})
}

// Guards against a gate that goes on to fill the queue of its server, and against more tasks than the slots that the server reports.
func TestQueueOfTheServerAndItsSlotsLimitTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newControlledGate(8)
		var passes []*Pass
		for range 8 {
			pass, _ := enter(t, gate, task(1, time.Second, time.Second))
			passes = append(passes, pass)
		}
		time.Sleep(100 * time.Millisecond)
		passes[0].Advise(serverLoad(1, 3, 8))
		if got := gate.Load().Slots(); got != 5 {
			t.Errorf("%d open slots with three tasks in the server's queue", got)
		}
		time.Sleep(200 * time.Millisecond)
		passes[0].Advise(serverLoad(1, 0, 4))
		if got := gate.Load().Slots(); got > 4 {
			t.Errorf("%d open slots of four reported ones", got)
		}
		for _, pass := range passes {
			pass.Finish(true)
		}
	})
}

// Guards against work that is begun although its calls fail, and against a throttle that stops a route.
func TestRouteWhoseTasksFailIsThrottled(t *testing.T) {
	throttle := newThrottle()
	now := time.Now()
	admitted := func() int {
		count := 0
		for range 1000 {
			if throttle.admits(now, task(1, time.Second, time.Second)) {
				count++
			}
		}
		return count
	}
	for index := range 100 {
		throttle.ended(now, "route-1", index%10 != 0)
	}
	if got := admitted(); got != 1000 {
		t.Errorf("%d of 1000 tasks are admitted although nine of ten succeed", got)
	}
	for range 1000 {
		throttle.ended(now, "route-1", false)
	}
	if got := admitted(); got < 400 || got > 600 {
		t.Errorf("%d of 1000 tasks are admitted while most fail", got)
	}
	now = now.Add(10 * time.Second)
	if got := admitted(); got != 1000 {
		t.Errorf("%d of 1000 tasks are admitted ten seconds after the failures", got)
	}
}

// Guards against a task that waits for the end of a pause and is not started then, although no other task arrives.
func TestWaitingTaskStartsAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newControlledGate(1)
		shed, _ := enter(t, gate, task(1, time.Second, 2*time.Second))
		admitted := make(chan time.Time, 1)
		go func() {
			if pass, _ := enter(t, gate, task(1, time.Second, 2*time.Second)); pass != nil {
				admitted <- time.Now()
				pass.Finish(true)
			}
		}()
		synctest.Wait()
		ended := time.Now()
		shed.Observe(lagoonlanding.NotRun(lagoonlanding.ReasonUpstreamRefused, ended))
		shed.Finish(false)
		select {
		case at := <-admitted:
			if waited := at.Sub(ended); waited < initialMeanRunTime || waited > initialMeanRunTime+10*time.Millisecond {
				t.Errorf("the task started %v after the refusal", waited)
			}
		case <-time.After(2 * time.Second):
			t.Error("the task was not started")
		}
	})
}
