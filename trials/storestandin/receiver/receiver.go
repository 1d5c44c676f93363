package receiver

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/runtime/executor"
	"lagoonlanding.example/storestandin/provider"
)

// maxWatchTimeout is the longest time that a watch waits before it replies with an empty listing.
const maxWatchTimeout = 30 * time.Second

// Receiver maps HTTP requests to calls on the store's state.
type Receiver struct {
	executor *executor.Executor[*provider.Store]
}

// New returns a receiver that serves the state owned by the executor.
func New(executor *executor.Executor[*provider.Store]) *Receiver {
	return &Receiver{executor: executor}
}

// Handler returns the HTTP routes of the store.
func (receiver *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /entry", receiver.withAdmission(provider.CallGet, receiver.get))
	mux.HandleFunc("PUT /entry", receiver.withAdmission(provider.CallSwap, receiver.compareAndSwap))
	mux.HandleFunc("GET /entries", receiver.withAdmission(provider.CallList, receiver.list))
	mux.HandleFunc("GET /watch", receiver.withAdmission(provider.CallWatch, receiver.watch))
	mux.HandleFunc("POST /lease", receiver.withAdmission(provider.CallLease, receiver.grant))
	mux.HandleFunc("PUT /lease", receiver.withAdmission(provider.CallLease, receiver.renew))
	mux.HandleFunc("DELETE /lease", receiver.withAdmission(provider.CallLease, receiver.revoke))
	mux.HandleFunc("GET /counters", receiver.counters)
	mux.HandleFunc("GET /switches", receiver.faults)
	mux.HandleFunc("PUT /switches", receiver.setFaults)
	return mux
}

// withAdmission wraps a handler so that the call is counted, rate limited and subject to the injected faults.
func (receiver *Receiver) withAdmission(kind provider.CallKind, handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var err error
		var faults provider.Faults
		receiver.do(func(store *provider.Store) {
			err = store.Admit(kind, time.Now())
			faults = store.Faults()
		})
		injectDelay(request.Context(), faults)
		if err != nil {
			replyError(writer, err)
			return
		}
		handler(writer, request)
	}
}

// do runs the call on the state of the store; it aborts the connection if the executor has stopped.
func (receiver *Receiver) do(call func(*provider.Store)) {
	if !receiver.executor.Do(call) {
		panic(http.ErrAbortHandler)
	}
}

// injectDelay delays the call; for a silent store it holds the call until the caller disconnects and then aborts the connection.
func injectDelay(ctx context.Context, faults provider.Faults) {
	if faults.IsSilent() {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if faults.Delay() == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(faults.Delay()):
	}
}

func replyError(writer http.ResponseWriter, err error) {
	http.Error(writer, err.Error(), statusCode(err))
}

func statusCode(err error) int {
	switch {
	case errors.Is(err, lagoonlanding.ErrNotFound), errors.Is(err, provider.ErrNoLease):
		return http.StatusNotFound
	case errors.Is(err, lagoonlanding.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, provider.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, provider.ErrTooManyCalls):
		return http.StatusTooManyRequests
	case errors.Is(err, lagoonlanding.ErrUnavailable):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func reply(writer http.ResponseWriter, body []byte, err error) {
	if err != nil {
		replyError(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}
