package drainer

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

const graceTime = 10 * time.Second

func newDrain() *Drain { return New(Config{Clock: timekeeper.Clock{}}) }

func task(left time.Duration, atMostOnce bool) lagoonlanding.Task {
	return lagoonlanding.NewTask(lagoonlanding.TaskConfig{ID: "t", Deadline: time.Now().Add(left), AtMostOnce: atMostOnce})
}

// TestStoppingDaemonAcceptsOnlyWhatItCanFinish covers a stop in calm: tasks of any length arrive until the end of the grace time.
func TestStoppingDaemonAcceptsOnlyWhatItCanFinish(t *testing.T) {
	for name, test := range map[string]struct {
		since, left time.Duration
		atMostOnce  bool
		accepted    bool
		// deadline is that of an accepted task, since the start of the shutdown.
		deadline time.Duration
	}{
		"short":                          {since: time.Second, left: 2 * time.Second, accepted: true, deadline: 3 * time.Second},
		"short, at most once":            {since: time.Second, left: 2 * time.Second, atMostOnce: true, accepted: true, deadline: 3 * time.Second},
		"longer than the rest":           {since: time.Second, left: 15 * time.Second, accepted: true, deadline: graceTime - exitReserve - answerReserve},
		"longer, at most once":           {since: time.Second, left: 15 * time.Second, atMostOnce: true},
		"late, but short enough":         {since: 8 * time.Second, left: time.Second, atMostOnce: true, accepted: true, deadline: 9 * time.Second},
		"late, at most once, too long":   {since: 8 * time.Second, left: 3 * time.Second, atMostOnce: true},
		"after the last answer":          {since: graceTime - exitReserve, left: time.Second},
		"after it, with nothing to lose": {since: graceTime - exitReserve, left: time.Second, atMostOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				drain, began := newDrain(), time.Now()
				if _, ok := drain.Accept(task(time.Hour, true)); !ok {
					t.Error("a daemon that is not stopping refused a task")
				}
				answerBy := drain.Stop(began.Add(graceTime))
				time.Sleep(test.since)
				accepted, ok := drain.Accept(task(test.left, test.atMostOnce))
				if ok != test.accepted {
					t.Fatalf("accepted: %v", ok)
				}
				if ok && accepted.Deadline().Sub(began) != test.deadline {
					t.Errorf("deadline after %v, want %v", accepted.Deadline().Sub(began), test.deadline)
				}
				if ok && accepted.Deadline().After(answerBy) {
					t.Errorf("the task may end %v after the last answer", accepted.Deadline().Sub(answerBy))
				}
			})
		})
	}
}

// TestRequestsInProgressAreEndedBeforeTheProcess covers requests that began before the shutdown and last longer than it.
func TestRequestsInProgressAreEndedBeforeTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drain, began := newDrain(), time.Now()
		if drain.Begin() != Admitted {
			t.Fatal("not admitted")
		}
		ctx, release := drain.Bind(t.Context())
		answered := make(chan time.Duration, 1)
		go func() {
			<-ctx.Done()
			time.Sleep(50 * time.Millisecond)
			answered <- time.Since(began)
			release()
			drain.End(Admitted)
		}()
		drain.Stop(began.Add(graceTime))
		if count := drain.Wait(); count != 1 {
			t.Errorf("%d requests were ended, want 1", count)
		}
		if !errors.Is(context.Cause(ctx), ErrTimeout) {
			t.Errorf("the request ended with %v", context.Cause(ctx))
		}
		if took := time.Since(began); <-answered > took || took > graceTime-exitReserve {
			t.Errorf("the process may exit after %v", took)
		}
	})
}

// TestIdleDaemonExitsOnceClientsHaveLeft covers a stop in calm whose requests are short: the restart takes no longer than necessary.
func TestIdleDaemonExitsOnceClientsHaveLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drain, began := newDrain(), time.Now()
		drain.Stop(began.Add(graceTime))
		var clients sync.WaitGroup
		clients.Go(func() {
			for admission := drain.Begin(); admission != Unread; admission = drain.Begin() {
				time.Sleep(30 * time.Millisecond)
				drain.End(admission)
				time.Sleep(70 * time.Millisecond)
			}
		})
		if count := drain.Wait(); count != 0 {
			t.Errorf("%d requests were ended", count)
		}
		if took := time.Since(began); took > notReadyDelay+800*time.Millisecond {
			t.Errorf("the daemon stopped after %v", took)
		}
		clients.Wait()
	})
}

func TestRequestsAfterClientsHaveLeftAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drain := newDrain()
		drain.Begin()
		drain.Stop(time.Now().Add(graceTime))
		time.Sleep(notReadyDelay / 2)
		if drain.Begin() != Admitted {
			t.Error("refused while clients still send requests")
		}
		if at := drain.RetryAt(); at.Before(time.Now().Add(notReadyDelay / 2)) {
			t.Errorf("a retry is suggested after %v, before the daemon can have stopped", time.Until(at))
		}
		time.Sleep(notReadyDelay)
		if drain.Begin() != Refused {
			t.Error("admitted after clients have left")
		}
	})
}

// TestClientThatSendsItsNextRequestAtOnceIsAnswered covers clients in step: the last responses are sent at the same moment, and each client sends
// another request right after.
func TestClientThatSendsItsNextRequestAtOnceIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drain := newDrain()
		drain.Stop(time.Now().Add(graceTime))
		time.Sleep(notReadyDelay - 10*time.Millisecond)
		if drain.Begin() != Admitted {
			t.Fatal("not admitted")
		}
		ended := make(chan struct{})
		go func() {
			drain.Wait()
			close(ended)
		}()
		time.Sleep(2 * quietPeriod)
		drain.End(Admitted)
		time.Sleep(time.Millisecond)
		admission := drain.Begin()
		if admission != Refused {
			t.Errorf("a request right after a response has admission %d, want a refusal", admission)
		}
		if admission != Unread {
			drain.End(admission)
		}
		<-ended
	})
}
