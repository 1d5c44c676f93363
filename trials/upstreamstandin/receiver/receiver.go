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
	"lagoonlanding.example/upstreamstandin/performer"
)

const (
	maxBodyBytes = 4 << 20
	// headerCrash marks a request that crashes the server; a daemon passes on no caller's field of its own prefix.
	headerCrash = "Standin-Crash"
)

// Config holds the parts of a Receiver.
type Config struct {
	// Executor owns the state of the server.
	Executor *executor.Executor[*performer.Server]
	// Name is returned with each answer.
	Name string
	// Region stands in the log of runs.
	Region string
	// Runs gets a line for each run before it is answered; nil for none.
	Runs io.Writer
	// Crash ends the process on a marked request; nil ignores the mark.
	Crash func()
}

// Receiver maps HTTP requests to attempts.
type Receiver struct {
	config Config
}

// New returns the receiver that the configuration describes.
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
	mux.HandleFunc("/", receiver.work)
	return mux
}

func (receiver *Receiver) work(writer http.ResponseWriter, request *http.Request) {
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
	// The server notices that the caller has gone only once the body is read.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(writer, request.Body, maxBodyBytes)); err != nil {
		refuse(writer, http.StatusRequestEntityTooLarge, err)
		return
	}
	var place *performer.Place
	receiver.do(func(server *performer.Server) { place, err = server.Enter(attempt) })
	if err != nil {
		refuse(writer, refusalStatus(err), err)
		return
	}
	completed := false
	defer func() { receiver.do(func(server *performer.Server) { server.Leave(place, completed) }) }()
	select {
	case <-place.Ready():
	case <-ctx.Done():
		refuse(writer, http.StatusServiceUnavailable, ctx.Err())
		return
	}
	completed = receiver.run(ctx, writer, place, request.Header.Get(headerCrash) == "true")
}

// run reports whether the run came to its end.
func (receiver *Receiver) run(ctx context.Context, writer http.ResponseWriter, place *performer.Place, marked bool) bool {
	var run performer.Run
	var err error
	receiver.do(func(server *performer.Server) {
		if run, err = server.Start(place, time.Now()); err == nil {
			receiver.note(run)
		}
	})
	if err != nil {
		refuse(writer, refusalStatus(err), err)
		return false
	}
	if marked && receiver.config.Crash != nil {
		receiver.config.Crash()
	}
	timer := time.NewTimer(run.Length())
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

func (receiver *Receiver) answer(writer http.ResponseWriter, run performer.Run) {
	body, err := json.Marshal(answerJSON{Server: receiver.config.Name, Key: run.Attempt().Key, Runs: run.Count()})
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(append(body, '\n'))
}

func (receiver *Receiver) do(call func(*performer.Server)) {
	observed := func(server *performer.Server) {
		call(server)
		server.Observe(time.Now())
	}
	if !receiver.config.Executor.Do(observed) {
		panic(http.ErrAbortHandler)
	}
}

func newAttempt(request *http.Request) (performer.Attempt, error) {
	fence := lagoonlanding.Fence{}
	if text := request.Header.Get(invoker.HeaderFence); text != "" {
		parsed, err := invoker.ParseFence(text)
		if err != nil {
			return performer.Attempt{}, err
		}
		if fence, err = invoker.ParseFenceUntil(parsed, request.Header.Get(invoker.HeaderFenceUntil)); err != nil {
			return performer.Attempt{}, err
		}
	}
	return performer.NewAttempt(performer.AttemptConfig{
		RequestID:      request.Header.Get(invoker.HeaderRequestID),
		IdempotencyKey: request.Header.Get(invoker.HeaderIdempotencyKey),
		Key:            request.Header.Get(invoker.HeaderKey),
		Tenant:         request.Header.Get(invoker.HeaderTenant),
		Fence:          fence,
	}), nil
}

func withDeadline(request *http.Request) (context.Context, context.CancelFunc, error) {
	text := request.Header.Get(invoker.HeaderDeadline)
	if text == "" {
		ctx, cancel := context.WithCancel(request.Context())
		return ctx, cancel, nil
	}
	milliseconds, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return nil, nil, fmt.Errorf("deadline %q: %w", text, err)
	}
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(milliseconds)*time.Millisecond)
	return ctx, cancel, nil
}

func refuse(writer http.ResponseWriter, status int, err error) {
	writer.Header().Set(invoker.HeaderNotRun, "true")
	http.Error(writer, err.Error(), status)
}

func refusalStatus(err error) int {
	if errors.Is(err, performer.ErrFenced) {
		return http.StatusPreconditionFailed
	}
	return http.StatusServiceUnavailable
}
