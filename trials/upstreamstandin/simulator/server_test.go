package simulator

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
	first, _ := server.Admit(attempt("a", 0))
	second, err := server.Admit(attempt("b", 0))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := server.Admit(attempt("c", 0)); !errors.Is(err, ErrShed) {
		t.Errorf("attempt with a full queue: %v", err)
	}
	select {
	case <-second.Ready():
		t.Error("the second attempt occupies the only slot while the first one runs")
	default:
	}
	server.Release(first, true)
	<-second.Ready()
	server.SetDraining(true)
	if _, err := server.Admit(attempt("d", 0)); !errors.Is(err, ErrDraining) {
		t.Errorf("while draining: %v", err)
	}
	server.Release(second, true)
	if server.Running() != 0 {
		t.Errorf("%d requests run after all were released", server.Running())
	}
}

func TestFenceIsCheckedAgainBeforeRun(t *testing.T) {
	for _, checks := range []bool{true, false} {
		server := New(Config{Slots: 2, CheckFence: checks})
		old, _ := server.Admit(attempt("a", 4))
		_, _ = server.Admit(attempt("b", 5))
		_, err := server.Start(old, start)
		if errors.Is(err, ErrFenced) != checks {
			t.Errorf("checks %v: %v", checks, err)
		}
	}
}

func TestColdServerHasReducedCapacity(t *testing.T) {
	server := New(Config{Slots: 3, ServiceTime: time.Millisecond, ColdCompletions: 2, ColdFactor: 4})
	first, _ := server.Admit(attempt("a", 0))
	run, _ := server.Start(first, start)
	if run.Duration() != 4*time.Millisecond || server.Overloads() != 0 {
		t.Errorf("cold run of %v, %d overloads", run.Duration(), server.Overloads())
	}
	second, _ := server.Admit(attempt("b", 0))
	_, _ = server.Start(second, start)
	if server.Overloads() != 1 {
		t.Errorf("%d overloads with two runs on a cold server", server.Overloads())
	}
	server.Release(first, true)
	server.Release(second, true)
	if server.IsCold() || server.Capacity() != 3 {
		t.Errorf("capacity %d after the cold runs", server.Capacity())
	}
}

func TestReportIsDelayed(t *testing.T) {
	server := New(Config{Slots: 2, ReportLag: time.Second})
	server.RecordLoad(start)
	_, _ = server.Admit(attempt("a", 0))
	server.RecordLoad(start.Add(100 * time.Millisecond))
	if report := server.Report(start.Add(time.Second)); report.InFlight() != 0 {
		t.Errorf("a load younger than the lag is reported: %d", report.InFlight())
	}
	if report := server.Report(start.Add(1100 * time.Millisecond)); report.InFlight() != 1 {
		t.Errorf("a load older than the lag is not reported: %d", report.InFlight())
	}
}

func TestRunsAreCountedByIdempotencyKey(t *testing.T) {
	server := New(Config{Slots: 2})
	for want := 1; want <= 2; want++ {
		admission, _ := server.Admit(attempt("a", 0))
		run, err := server.Start(admission, start)
		if err != nil || run.Count() != want {
			t.Errorf("run %d counted as %d, %v", want, run.Count(), err)
		}
	}
	if len(server.Runs()) != 2 {
		t.Errorf("%d runs in the log", len(server.Runs()))
	}
}

func TestRunIsRefusedAfterLeaseExpiry(t *testing.T) {
	for _, checks := range []bool{true, false} {
		server := New(Config{Slots: 2, CheckFence: checks})
		fence := lagoonlanding.NewFence(lagoonlanding.NewGroupID("s", "all"), 1, 4).WithDeadline(start)
		admission, _ := server.Admit(NewAttempt(AttemptConfig{Fence: fence}))
		_, err := server.Start(admission, start)
		if errors.Is(err, ErrFenced) != checks {
			t.Errorf("checks %v: %v", checks, err)
		}
	}
}
