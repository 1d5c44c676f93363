package acceptor

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/assigner"
	"lagoonlanding.example/lagoonlanding/mesh/drainer"
	"lagoonlanding.example/lagoonlanding/mesh/gatekeeper"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

var id = lagoonlanding.NewBackendID("daemon", "server", 1)

// fakeRunner counts the tasks that reach the backend server.
type fakeRunner struct {
	result lagoonlanding.Result
	count  int
	// ended means that the backend server no longer listens.
	ended bool
}

func (runner *fakeRunner) HasEnded(context.Context, string) bool { return runner.ended }

func (runner *fakeRunner) Run(context.Context, lagoonlanding.BackendID, string, lagoonlanding.Task) lagoonlanding.Result {
	runner.count++
	return runner.result
}

func newAcceptor(runner *fakeRunner, ownership *assigner.Ownership, ended func(lagoonlanding.BackendID)) (*Acceptor, *gatekeeper.Gate) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := gatekeeper.NewGate(gatekeeper.Config{Clock: timekeeper.Clock{}, MaxWaiting: 4})
	gate.Open(id, 2, time.Time{}, 0)
	return New(Config{
		Service: "s", Gate: gate, Runner: runner, Ownership: func() *assigner.Ownership { return ownership }, OnProcessEnded: ended, OnLeaving: func(lagoonlanding.BackendID) {},
		Quarantine: quarantiner.NewQuarantine(quarantiner.Config{Random: rand.New(rand.NewPCG(rand.Uint64(), 1))}), OnCrashRecorded: func() {},
		Shutdown: drainer.New(drainer.Config{Clock: timekeeper.Clock{}}), Clock: timekeeper.Clock{}, Log: logrus.NewEntry(log),
	}), gate
}

func task(service string, key int) lagoonlanding.Task {
	return lagoonlanding.NewTask(lagoonlanding.TaskConfig{
		ID: "1", Service: service, ShardKey: key, Objective: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second),
	})
}

func TestTaskOfAnotherServiceIsRefused(t *testing.T) {
	runner := &fakeRunner{}
	acceptor, _ := newAcceptor(runner, nil, nil)
	result := acceptor.Handle(t.Context(), task("other", lagoonlanding.NoShardKey))
	if result.Outcome() != lagoonlanding.OutcomeNotRun || result.IsDelivered() || runner.count != 0 {
		t.Errorf("got %v, %d runs", result.Outcome(), runner.count)
	}
}

func TestKeyThatIsNotOwnedIsRefused(t *testing.T) {
	runner := &fakeRunner{}
	ranges := []lagoonlanding.HeldRange{lagoonlanding.NewHeldRange(0, 255, 1, "")}
	for name, ownership := range map[string]*assigner.Ownership{
		"another range": assigner.NewOwnership(ranges, time.Now().Add(time.Minute)),
		"lapsed":        assigner.NewOwnership([]lagoonlanding.HeldRange{lagoonlanding.NewHeldRange(256, 511, 1, "")}, time.Now().Add(-time.Second)),
	} {
		acceptor, _ := newAcceptor(runner, ownership, nil)
		if result := acceptor.Handle(t.Context(), task("s", 300)); result.Reason() != lagoonlanding.ReasonMoving || runner.count != 0 {
			t.Errorf("%s: got %s, %d runs", name, result.Reason(), runner.count)
		}
	}
}

func TestLossOfTheBackendServerIsReported(t *testing.T) {
	runner := &fakeRunner{result: lagoonlanding.NotRun(lagoonlanding.ReasonNoUpstream, time.Now())}
	var endedID lagoonlanding.BackendID
	acceptor, gate := newAcceptor(runner, nil, func(ended lagoonlanding.BackendID) { endedID = ended })
	acceptor.Handle(t.Context(), task("s", lagoonlanding.NoShardKey))
	if endedID != id || gate.Load().Running() != 0 {
		t.Errorf("process %v ended, %d running", endedID, gate.Load().Running())
	}
}

func TestSlotIsFreedOnceTheAnswerIsRead(t *testing.T) {
	for length, running := range map[int64]int{4: 0, -1: 1} {
		runner := &fakeRunner{result: lagoonlanding.NewResult(lagoonlanding.ResultConfig{
			Outcome: lagoonlanding.OutcomeAnswered,
			Answer: lagoonlanding.NewAnswer(lagoonlanding.AnswerConfig{
				Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("body")), BodyLength: length,
			}),
		})}
		acceptor, gate := newAcceptor(runner, nil, nil)
		result := acceptor.Handle(t.Context(), task("s", lagoonlanding.NoShardKey))
		if got := gate.Load().Running(); got != running {
			t.Errorf("length %d: %d running before the body was read", length, got)
		}
		result.Answer().Body().Close()
		if got := gate.Load().Running(); got != 0 {
			t.Errorf("length %d: %d running after the body was closed", length, got)
		}
	}
}

func answered() lagoonlanding.Result {
	return lagoonlanding.NewResult(lagoonlanding.ResultConfig{
		Outcome: lagoonlanding.OutcomeAnswered, Delivered: true,
		Answer: lagoonlanding.NewAnswer(lagoonlanding.AnswerConfig{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}),
	})
}

// mergeSuspects merges the crashes that one daemon has recorded into those of another.
func mergeSuspects(from, to *Acceptor) {
	now := time.Now()
	to.config.Quarantine.Merge(now, lagoonlanding.NewSuspectNotice("s", "r", from.config.Quarantine.Suspects(now, "s")))
}

func TestRequestThatCrashesServersIsQuarantinedEverywhere(t *testing.T) {
	runs, endedProcesses := 0, 0
	var acceptors []*Acceptor
	for range 6 {
		runner := &fakeRunner{result: lagoonlanding.MayHaveRun(lagoonlanding.ReasonConnectionLost), ended: true}
		acceptor, _ := newAcceptor(runner, nil, func(lagoonlanding.BackendID) { endedProcesses++ })
		acceptors = append(acceptors, acceptor)
	}
	for index, acceptor := range acceptors {
		result := acceptor.Handle(t.Context(), task("s", lagoonlanding.NoShardKey))
		if result.Outcome() == lagoonlanding.OutcomeUnknown {
			runs++
		} else if result.Reason() != lagoonlanding.ReasonQuarantined {
			t.Errorf("try %d ended with %s", index, result.Reason())
		}
		for _, other := range acceptors {
			mergeSuspects(acceptor, other)
		}
	}
	if runs != quarantiner.MaxCrashes || endedProcesses != runs {
		t.Errorf("got %d runs and %d ended processes", runs, endedProcesses)
	}
}

func TestAnsweredRequestIsCleared(t *testing.T) {
	runner := &fakeRunner{result: lagoonlanding.MayHaveRun(lagoonlanding.ReasonConnectionLost), ended: true}
	acceptor, _ := newAcceptor(runner, nil, func(lagoonlanding.BackendID) {})
	// Another request is in flight at each crash, so either of them may have caused it.
	other, _ := acceptor.startRun(task("s", 7).With(func(config *lagoonlanding.TaskConfig) { config.Target = "/other" }))
	for range 6 {
		acceptor.Handle(t.Context(), task("s", lagoonlanding.NoShardKey))
		runner.result = answered()
		result := acceptor.Handle(t.Context(), task("s", lagoonlanding.NoShardKey))
		if result.Outcome() != lagoonlanding.OutcomeAnswered {
			t.Fatalf("a request that was answered is refused with reason %s", result.Reason())
		}
		runner.result = lagoonlanding.MayHaveRun(lagoonlanding.ReasonConnectionLost)
	}
	acceptor.config.Quarantine.Finish(time.Now(), other, false)
}

func TestLostConnectionIsNoCrash(t *testing.T) {
	runner := &fakeRunner{result: lagoonlanding.MayHaveRun(lagoonlanding.ReasonConnectionLost)}
	acceptor, _ := newAcceptor(runner, nil, func(lagoonlanding.BackendID) { t.Error("a backend server that still listens is reported as ended") })
	for range 6 {
		if result := acceptor.Handle(t.Context(), task("s", lagoonlanding.NoShardKey)); result.Reason() != lagoonlanding.ReasonConnectionLost {
			t.Errorf("got %s", result.Reason())
		}
	}
}
