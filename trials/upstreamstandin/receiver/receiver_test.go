package receiver

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/invoker"
	"lagoonlanding.example/lagoonlanding/runtime/executor"
	"lagoonlanding.example/upstreamstandin/simulator"
)

type wallClock struct{}

func (wallClock) Now() time.Time                            { return time.Now() }
func (wallClock) Until(deadline time.Time) <-chan time.Time { return time.After(time.Until(deadline)) }

type fixture struct {
	upstream *invoker.Invoker
	state    *executor.Executor[*simulator.Server]
	runs     *bytes.Buffer
	url      string
}

func serve(t *testing.T, config simulator.Config, crash func()) fixture {
	t.Helper()
	state := executor.New(executor.Config[*simulator.Server]{State: simulator.New(config)})
	ctx, cancel := context.WithCancel(context.Background())
	go state.Run(ctx)
	runs := &bytes.Buffer{}
	server := httptest.NewServer(New(Config{Executor: state, Name: "u-1", Region: "attica", Runs: runs, Crash: crash}).Handler())
	t.Cleanup(cancel)
	t.Cleanup(server.Close)
	upstream := invoker.New(invoker.Config{Address: strings.TrimPrefix(server.URL, "http://"), Clock: wallClock{}})
	return fixture{upstream: upstream, state: state, runs: runs, url: server.URL}
}

func request(id string) lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: id, IdempotencyKey: "i-1", Method: http.MethodPost, Path: "/tags/7", Deadline: time.Now().Add(time.Minute),
		Key: lagoonlanding.NewKey("status-app", "mesh", "7"),
	})
}

func fence(token uint64) lagoonlanding.Fence {
	return lagoonlanding.NewFence(lagoonlanding.NewGroupID("status-app", "all"), 2, token)
}

func TestRunsAreAnsweredAndLogged(t *testing.T) {
	fixture := serve(t, simulator.Config{Slots: 1, CheckFence: true}, nil)
	reply, err := fixture.upstream.Serve(t.Context(), request("r-1"), fence(5))
	if err != nil || reply.Outcome() != lagoonlanding.OutcomeAnswered || !strings.Contains(string(reply.Body()), `"runs":1`) {
		t.Fatalf("got %v %q, %v", reply.Outcome(), reply.Body(), err)
	}
	reply, err = fixture.upstream.Serve(t.Context(), request("r-2"), fence(4))
	if err != nil || reply.Outcome() != lagoonlanding.OutcomeNotRun {
		t.Errorf("outdated token: %v, %v", reply.Outcome(), err)
	}
	log := ""
	fixture.state.Do(func(*simulator.Server) { log = fixture.runs.String() })
	if strings.Count(log, "\n") != 1 || !strings.Contains(log, `"token":5`) || !strings.Contains(log, `"key":"mesh/7"`) {
		t.Errorf("log of runs: %s", log)
	}
}

func TestRunEndsWhenCallerDisconnects(t *testing.T) {
	fixture := serve(t, simulator.Config{Slots: 1, ServiceTime: time.Hour}, nil)
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error)
	go func() {
		_, err := fixture.upstream.Serve(ctx, request("r-1"), fence(1))
		failed <- err
	}()
	for running := 0; running == 0; {
		fixture.state.Do(func(server *simulator.Server) { running = server.Running() })
	}
	cancel()
	if err := <-failed; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	for running := 1; running == 1; {
		fixture.state.Do(func(server *simulator.Server) { running = server.Running() })
	}
}

func TestDrainingServerRefuses(t *testing.T) {
	fixture := serve(t, simulator.Config{Slots: 1}, nil)
	if _, err := http.Post(fixture.url+"/.standin/drain", "", nil); err != nil {
		t.Fatal(err)
	}
	reply, err := fixture.upstream.Serve(t.Context(), request("r-1"), fence(1))
	if err != nil || reply.Outcome() != lagoonlanding.OutcomeNotRun {
		t.Errorf("got %v, %v", reply.Outcome(), err)
	}
	report, err := fixture.upstream.Report(t.Context())
	if err != nil || report.IsReady() {
		t.Errorf("report %v, %v", report, err)
	}
}

func TestMarkedRequestCallsCrash(t *testing.T) {
	var crashes atomic.Int64
	fixture := serve(t, simulator.Config{Slots: 1}, func() {
		crashes.Add(1)
		panic(http.ErrAbortHandler)
	})
	marked := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: "r-1", Method: http.MethodGet, Path: "/", Headers: []lagoonlanding.Header{lagoonlanding.NewHeader(headerCrash, "true")},
	})
	if _, err := fixture.upstream.Serve(t.Context(), marked, lagoonlanding.Fence{}); err == nil || crashes.Load() != 1 {
		t.Errorf("%d crashes, %v", crashes.Load(), err)
	}
}
