package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/invoker"
	"lagoonlanding.example/lagoonlanding/runtime/executor"
	"lagoonlanding.example/upstreamstandin/simulator"
)

const (
	maxBodyBytes = 4 << 20
	// headerCrash marks a request that makes the server exit; it has no Lagoonlanding- prefix because a daemon forwards no caller's header with that prefix.
	headerCrash = "Standin-Crash"
)

// Config holds the dependencies of a Receiver.
type Config struct {
	// Executor owns the state of the server.
	Executor *executor.Executor[*simulator.Server]
	// Name is the server name in answers and in the run log.
	Name string
	// Region is the region name in the run log.
	Region string
	// Runs receives one line per run before the run is answered; nil disables the run log.
	Runs io.Writer
	// Crash is called for a request with the header Standin-Crash, and ends the process; nil ignores the header.
	Crash func()
}

// Receiver maps HTTP requests to attempts.
type Receiver struct {
	config Config
}

// New returns a receiver with the given configuration.
func New(config Config) *Receiver { return &Receiver{config: config} }

// Handler returns the HTTP routes of the server.
func (receiver *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+invoker.ReportPath, receiver.report)
	mux.HandleFunc("GET /.standin/runs", receiver.runs)
	mux.HandleFunc("GET /.standin/overloads", receiver.overloads)
	mux.HandleFunc("POST /.standin/drain", receiver.drain)
	mux.HandleFunc("POST /.standin/cold", receiver.cold)
	mux.HandleFunc("POST /.standin/slow", receiver.slow)
	mux.HandleFunc("/", receiver.handleRequest)
	return mux
}

func (receiver *Receiver) handleRequest(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(invoker.HeaderRequestID, request.Header.Get(invoker.HeaderRequestID))
	attempt, err := newAttempt(request)
	if err != nil {
		refuse(writer, http.StatusBadRequest, err)
		return
	}
	ctx, cancel, err := withDeadline(request)
	if err != nil {
		refuse(writer, http.StatusBadRequest, err)
		return
	}
	defer cancel()
	// net/http detects that the caller has disconnected only after the body has been read.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(writer, request.Body, maxBodyBytes)); err != nil {
		refuse(writer, http.StatusRequestEntityTooLarge, err)
		return
	}
	var admission *simulator.Admission
	receiver.do(func(server *simulator.Server) { admission, err = server.Admit(attempt) })
	if err != nil {
		refuse(writer, refusalStatus(err), err)
		return
	}
	completed := false
	defer func() { receiver.do(func(server *simulator.Server) { server.Release(admission, completed) }) }()
	select {
	case <-admission.Ready():
	case <-ctx.Done():
		refuse(writer, http.StatusServiceUnavailable, ctx.Err())
		return
	}
	completed = receiver.run(ctx, writer, admission, request.Header.Get(headerCrash) == "true")
}

// run runs the admitted attempt and reports whether the run completed.
func (receiver *Receiver) run(ctx context.Context, writer http.ResponseWriter, admission *simulator.Admission, isMarked bool) bool {
	var run simulator.Run
	var err error
	receiver.do(func(server *simulator.Server) {
		if run, err = server.Start(admission, time.Now()); err == nil {
			receiver.logRun(run)
		}
	})
	if err != nil {
		refuse(writer, refusalStatus(err), err)
		return false
	}
	if isMarked && receiver.config.Crash != nil {
		receiver.config.Crash()
	}
	timer := time.NewTimer(run.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		http.Error(writer, "the run was cancelled", http.StatusGatewayTimeout)
		return false
	}
	receiver.answer(writer, run)
	return true
}

type answerJSON struct {
	Server string `json:"server"`
	Key    string `json:"key"`
	Runs   int    `json:"runs"`
}

func (receiver *Receiver) answer(writer http.ResponseWriter, run simulator.Run) {
	body, err := json.Marshal(answerJSON{Server: receiver.config.Name, Key: run.Attempt().Key, Runs: run.Count()})
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(append(body, '\n'))
}

// do runs the call on the state of the server and then records the load; it aborts the connection if the executor has stopped.
func (receiver *Receiver) do(call func(*simulator.Server)) {
	callAndRecord := func(server *simulator.Server) {
		call(server)
		server.RecordLoad(time.Now())
	}
	if !receiver.config.Executor.Do(callAndRecord) {
		panic(http.ErrAbortHandler)
	}
}

// newAttempt returns the attempt that the headers describe; without a fence header its fence is zero.
func newAttempt(request *http.Request) (simulator.Attempt, error) {
	fence := lagoonlanding.Fence{}
	if text := request.Header.Get(invoker.HeaderFence); text != "" {
		parsed, err := invoker.ParseFence(text)
		if err != nil {
			return simulator.Attempt{}, err
		}
		if fence, err = invoker.ParseFenceUntil(parsed, request.Header.Get(invoker.HeaderFenceUntil)); err != nil {
			return simulator.Attempt{}, err
		}
	}
	return simulator.NewAttempt(simulator.AttemptConfig{
		RequestID:      request.Header.Get(invoker.HeaderRequestID),
		IdempotencyKey: request.Header.Get(invoker.HeaderIdempotencyKey),
		Key:            request.Header.Get(invoker.HeaderKey),
		Tenant:         request.Header.Get(invoker.HeaderTenant),
		Fence:          fence,
	}), nil
}

// withDeadline returns the context of the request with the deadline of its header, if it has one.
func withDeadline(request *http.Request) (context.Context, context.CancelFunc, error) {
	text := request.Header.Get(invoker.HeaderDeadline)
	if text == "" {
		ctx, cancel := context.WithCancel(request.Context())
		return ctx, cancel, nil
	}
	milliseconds, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return nil, nil, fmt.Errorf("parse the deadline %q: %w", text, err)
	}
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(milliseconds)*time.Millisecond)
	return ctx, cancel, nil
}

// refuse answers that the request was not run.
func refuse(writer http.ResponseWriter, status int, err error) {
	writer.Header().Set(invoker.HeaderNotRun, "true")
	http.Error(writer, err.Error(), status)
}

func refusalStatus(err error) int {
	if errors.Is(err, simulator.ErrFenced) {
		return http.StatusPreconditionFailed
	}
	return http.StatusServiceUnavailable
}
