package gatekeeper

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

// limitWindow is the time in which the platform counts the tasks of a limited backend server.
const limitWindow = 4 * time.Second

// checkLimit fails if more tasks started in a window than the platform allows under a limit in tasks per second.
func checkLimit(t *testing.T, starts []time.Time, limit float64) {
	t.Helper()
	allowed := 1.5*limit*limitWindow.Seconds() + 5
	for first, oldest := range starts {
		count := 0
		for _, start := range starts[first:] {
			if start.Sub(oldest) <= limitWindow {
				count++
			}
		}
		if float64(count) > allowed {
			t.Fatalf("%d tasks started within %v at a limit of %.2f a second, %.1f are allowed", count, limitWindow, limit, allowed)
		}
	}
}

// limitedServer is a backend server that names a limit in its responses to the tasks that a gate admits.
type limitedServer struct {
	limit float64

	mutex  sync.Mutex
	starts []time.Time
}

// run runs one task if the gate admits it.
func (limitedserver *limitedServer) run(t *testing.T, gate *Gate, runTime time.Duration) {
	pass, _ := enter(t, gate, task(1, time.Second, 2*time.Second))
	if pass == nil {
		return
	}
	limitedserver.mutex.Lock()
	limitedserver.starts = append(limitedserver.starts, time.Now())
	limitedserver.mutex.Unlock()
	time.Sleep(runTime)
	pass.Advise(lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{Limit: limitedserver.limit}))
	pass.Finish(true)
}

func newRestartedGate() *Gate {
	gate := NewGate(Config{Clock: timekeeper.Clock{}, MaxWaiting: 64, MaxFirst: 3})
	gate.Open(id, 6, time.Time{}, 0)
	return gate
}

func TestLimitThatABackendServerNamesIsKept(t *testing.T) {
	for _, limit := range []float64{0.25, 1.4, 3.2, 8, 20} {
		t.Run(fmt.Sprint(limit, " a second"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, uint64(limit*100)))
				server, gate := &limitedServer{limit: limit}, newRestartedGate()
				server.run(t, gate, 100*time.Millisecond)
				server.starts = nil
				for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))) {
					// Short enough that the slots never bind, so that only the limit does.
					runTime := time.Duration(20+random.IntN(100)) * time.Millisecond
					go server.run(t, gate, runTime)
				}
				time.Sleep(3 * time.Second)
				synctest.Wait()
				checkLimit(t, server.starts, limit)
				if least := int(limit*30) - 2; len(server.starts) < least {
					t.Errorf("only %d tasks ran, at least %d are within the limit", len(server.starts), least)
				}
			})
		})
	}
}

func TestLimitIsKeptWhileTheDaemonRestarts(t *testing.T) {
	for _, limit := range []float64{1.4, 3.2, 8, 20} {
		t.Run(fmt.Sprint(limit, " a second"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(2, uint64(limit*100)))
				server, gate := &limitedServer{limit: limit}, newRestartedGate()
				server.run(t, gate, 100*time.Millisecond)
				server.starts = nil
				restartAt := time.Now().Add(2 * time.Second)
				for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))) {
					go server.run(t, gate, time.Duration(50+random.IntN(400))*time.Millisecond)
					if time.Now().After(restartAt) {
						// The tasks of the earlier process end with it, and the backend server is not reached for a while.
						time.Sleep(300 * time.Millisecond)
						gate, restartAt = newRestartedGate(), time.Now().Add(5*time.Second)
					}
				}
				time.Sleep(3 * time.Second)
				synctest.Wait()
				checkLimit(t, server.starts, limit)
			})
		})
	}
}

func TestTasksThatWaitWhenALimitIsNamedStartUnderIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(2)
		first, _ := enter(t, gate, task(1, time.Minute, time.Minute))
		second, _ := enter(t, gate, task(1, time.Minute, time.Minute))
		started := make(chan time.Time, 8)
		for range 6 {
			go func() {
				if pass, _ := enter(t, gate, task(1, time.Minute, time.Minute)); pass != nil {
					started <- time.Now()
					pass.Finish(true)
				}
			}()
		}
		synctest.Wait()
		first.Advise(lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{Limit: 2}))
		first.Finish(true)
		second.Finish(true)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		if len(started) != 6 {
			t.Errorf("%d of 6 waiting tasks started within four seconds at two a second", len(started))
		}
	})
}

func TestLimitEndsWithAResponseToALaterTaskOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(6)
		early, _ := enter(t, gate, task(1, time.Minute, time.Minute))
		time.Sleep(100 * time.Millisecond)
		limited, _ := enter(t, gate, task(1, time.Minute, time.Minute))
		time.Sleep(100 * time.Millisecond)
		limited.Advise(lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{Limit: 2}))
		early.Advise(lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{}))
		if got := gate.Load().Limit(); got != 2 {
			t.Errorf("a response that was overtaken changed the limit to %v", got)
		}
		time.Sleep(time.Second)
		unreadable, _ := enter(t, gate, task(1, time.Minute, time.Minute))
		unreadable.Advise(lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{LimitUnknown: true}))
		if got := gate.Load().Limit(); got != 2 {
			t.Errorf("an unreadable limit changed the limit to %v", got)
		}
		time.Sleep(time.Second)
		late, _ := enter(t, gate, task(1, time.Minute, time.Minute))
		late.Advise(lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{}))
		if got := gate.Load().Limit(); got != 0 {
			t.Errorf("the limit is still %v", got)
		}
	})
}

func TestRefusedTasksReturnWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(6)
		pass, _ := enter(t, gate, task(1, time.Minute, time.Minute))
		pass.Advise(lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{Limit: 2}))
		pass.Finish(true)
		var retries []time.Time
		for range 10 {
			keyed := task(1, 100*time.Millisecond, 30*time.Second).With(func(config *lagoonlanding.TaskConfig) { config.ShardKey = 7 })
			if _, reason, retryAt := gate.Enter(t.Context(), keyed); reason == lagoonlanding.ReasonUpstreamLimited {
				retries = append(retries, retryAt)
			}
		}
		if len(retries) < 5 {
			t.Fatalf("only %d of 10 tasks were refused for the limit", len(retries))
		}
		for index := range retries[1:] {
			if gap := retries[index+1].Sub(retries[index]); gap < 500*time.Millisecond {
				t.Errorf("two tasks return within %v at a limit of two a second", gap)
			}
		}
	})
}

func TestWaitingTasksThatALimitMakesTooLateAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(1)
		pass, _ := enter(t, gate, task(1, time.Minute, time.Minute))
		began := time.Now()
		refused := make(chan time.Duration, 6)
		for range 6 {
			go func() {
				waiting := task(1, 3*time.Second, time.Minute)
				if _, reason, retryAt := gate.Enter(t.Context(), waiting); reason == lagoonlanding.ReasonUpstreamLimited && retryAt.After(time.Now()) {
					refused <- time.Since(began)
				}
			}()
		}
		synctest.Wait()
		pass.Advise(lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{Limit: 1}))
		synctest.Wait()
		if len(refused) < 2 || len(refused) > 4 {
			t.Errorf("%d of 6 tasks that need a slot within 2.6 s were refused at once at a limit of one a second", len(refused))
		}
		time.Sleep(time.Minute)
	})
}

func TestTaskThatWaitsForASlotIsNotForgottenWhenOthersUseUpTheLimit(t *testing.T) {
	for _, name := range []string{"limited", "cold"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate := newGate(1)
				if name == "cold" {
					gate.Open(id, 1, time.Now().Add(time.Minute), 2)
				}
				running, _ := enter(t, gate, task(1, time.Minute, time.Minute))
				started := make(chan time.Time, 4)
				for range 4 {
					go func() {
						if pass, _ := enter(t, gate, task(1, time.Minute, time.Minute)); pass != nil {
							started <- time.Now()
							pass.Finish(true)
						}
					}()
				}
				synctest.Wait()
				if name == "limited" {
					running.Advise(lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{Limit: 2}))
				}
				// The waiting tasks see that the rate allows a task and that all slots are busy.
				time.Sleep(900 * time.Millisecond)
				synctest.Wait()
				running.Finish(true)
				time.Sleep(3 * time.Second)
				synctest.Wait()
				if len(started) != 4 {
					t.Errorf("%d of 4 waiting tasks started within three seconds at two a second", len(started))
				}
			})
		})
	}
}
