package performer

import (
	"errors"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var start = time.Unix(1000, 0)

func attempt(key string, token uint64) Attempt {
	config := AttemptConfig{RequestID: key, IdempotencyKey: key}
	if token > 0 {
		config.Fence = lagoonlanding.NewFence(lagoonlanding.NewGroupID("s", "all"), 1, token)
	}
	return NewAttempt(config)
}

func TestQueueAndShedding(t *testing.T) {
	server := New(Config{Slots: 1, Queue: 1, ServiceTime: time.Millisecond})
	first, _ := server.Enter(attempt("a", 0))
	second, err := server.Enter(attempt("b", 0))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := server.Enter(attempt("c", 0)); !errors.Is(err, ErrShed) {
		t.Errorf("above the queue: %v", err)
	}
	select {
	case <-second.Ready():
		t.Error("the second attempt has the only slot")
	default:
	}
	server.Leave(first, true)
	<-second.Ready()
	server.SetDraining(true)
	if _, err := server.Enter(attempt("d", 0)); !errors.Is(err, ErrDraining) {
		t.Errorf("while draining: %v", err)
	}
	server.Leave(second, true)
	if server.Running() != 0 {
		t.Errorf("%d run at the end", server.Running())
	}
}

func TestFenceIsCheckedAgainBeforeTheRun(t *testing.T) {
	for _, checks := range []bool{true, false} {
		server := New(Config{Slots: 2, CheckFence: checks})
		old, _ := server.Enter(attempt("a", 4))
		_, _ = server.Enter(attempt("b", 5))
		_, err := server.Start(old, start)
		if errors.Is(err, ErrFenced) != checks {
			t.Errorf("checks %v: %v", checks, err)
		}
	}
}

func TestColdServerBearsLess(t *testing.T) {
	server := New(Config{Slots: 3, ServiceTime: time.Millisecond, ColdCompletions: 2, ColdFactor: 4})
	first, _ := server.Enter(attempt("a", 0))
	run, _ := server.Start(first, start)
	if run.Length() != 4*time.Millisecond || server.Overloads() != 0 {
		t.Errorf("cold run of %v, %d overloads", run.Length(), server.Overloads())
	}
	second, _ := server.Enter(attempt("b", 0))
	_, _ = server.Start(second, start)
	if server.Overloads() != 1 {
		t.Errorf("%d overloads with two runs on a cold server", server.Overloads())
	}
	server.Leave(first, true)
	server.Leave(second, true)
	if server.IsCold() || server.Bearable() != 3 {
		t.Errorf("bears %d after the cold runs", server.Bearable())
	}
}

func TestReportLags(t *testing.T) {
	server := New(Config{Slots: 2, ReportLag: time.Second})
	server.Observe(start)
	_, _ = server.Enter(attempt("a", 0))
	server.Observe(start.Add(100 * time.Millisecond))
	if report := server.Report(start.Add(time.Second)); report.InFlight() != 0 {
		t.Errorf("young load is reported: %d", report.InFlight())
	}
	if report := server.Report(start.Add(1100 * time.Millisecond)); report.InFlight() != 1 {
		t.Errorf("old load is not reported: %d", report.InFlight())
	}
}

func TestRunsOfAKeyAreCounted(t *testing.T) {
	server := New(Config{Slots: 2})
	for want := 1; want <= 2; want++ {
		place, _ := server.Enter(attempt("a", 0))
		run, err := server.Start(place, start)
		if err != nil || run.Count() != want {
			t.Errorf("run %d counted as %d, %v", want, run.Count(), err)
		}
	}
	if len(server.Runs()) != 2 {
		t.Errorf("%d runs in the log", len(server.Runs()))
	}
}

func TestNothingStartsAfterTheLease(t *testing.T) {
	for _, checks := range []bool{true, false} {
		server := New(Config{Slots: 2, CheckFence: checks})
		fence := lagoonlanding.NewFence(lagoonlanding.NewGroupID("s", "all"), 1, 4).WithDeadline(start)
		place, _ := server.Enter(NewAttempt(AttemptConfig{Fence: fence}))
		_, err := server.Start(place, start)
		if errors.Is(err, ErrFenced) != checks {
			t.Errorf("checks %v: %v", checks, err)
		}
	}
}
