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

// maxWatchTerm bounds how long a watch waits before it answers that nothing has changed.
const maxWatchTerm = 30 * time.Second

// Receiver maps HTTP calls to calls on the store's state.
type Receiver struct {
	executor *executor.Executor[*provider.Platform]
}

// New returns the receiver of calls to the state that the executor owns.
func New(executor *executor.Executor[*provider.Platform]) *Receiver {
	return &Receiver{executor: executor}
}

// Handler returns the HTTP routes of the store.
func (receiver *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /entry", receiver.admitted(provider.CallGet, receiver.get))
	mux.HandleFunc("PUT /entry", receiver.admitted(provider.CallSwap, receiver.swap))
	mux.HandleFunc("GET /entries", receiver.admitted(provider.CallList, receiver.list))
	mux.HandleFunc("GET /watch", receiver.admitted(provider.CallWatch, receiver.watch))
	mux.HandleFunc("POST /lease", receiver.admitted(provider.CallLease, receiver.grant))
	mux.HandleFunc("PUT /lease", receiver.admitted(provider.CallLease, receiver.renew))
	mux.HandleFunc("DELETE /lease", receiver.admitted(provider.CallLease, receiver.revoke))
	mux.HandleFunc("GET /counters", receiver.counters)
	mux.HandleFunc("GET /switches", receiver.switches)
	mux.HandleFunc("PUT /switches", receiver.setSwitches)
	return mux
}

// admitted counts the call, applies the caps and the switches, and then answers it.
func (receiver *Receiver) admitted(kind provider.CallKind, handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var err error
		var switches provider.Switches
		receiver.do(func(platform *provider.Platform) {
			err = platform.Admit(kind, time.Now())
			switches = platform.Switches()
		})
		hold(request.Context(), switches)
		if err != nil {
			fail(writer, err)
			return
		}
		handler(writer, request)
	}
}

func (receiver *Receiver) do(call func(*provider.Platform)) {
	if !receiver.executor.Do(call) {
		panic(http.ErrAbortHandler)
	}
}

func hold(ctx context.Context, switches provider.Switches) {
	if switches.IsSilent() {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if switches.Delay() == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(switches.Delay()):
	}
}

func fail(writer http.ResponseWriter, err error) {
	http.Error(writer, err.Error(), status(err))
}

func status(err error) int {
	switch {
	case errors.Is(err, lagoonlanding.ErrNotFound), errors.Is(err, provider.ErrNoLease):
		return http.StatusNotFound
	case errors.Is(err, lagoonlanding.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, provider.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, provider.ErrTooMany):
		return http.StatusTooManyRequests
	case errors.Is(err, lagoonlanding.ErrUnavailable):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func reply(writer http.ResponseWriter, body []byte, err error) {
	if err != nil {
		fail(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}
