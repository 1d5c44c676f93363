package storer

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/runtime/reserver"
)

func TestCompareAndSwapMapsResponsesToStoreErrors(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{name: "conflict", handler: respondWithStatus(http.StatusConflict), want: lagoonlanding.ErrConflict},
		{name: "too many calls", handler: respondWithStatus(http.StatusTooManyRequests), want: lagoonlanding.ErrUnavailable},
		{name: "down", handler: respondWithStatus(http.StatusServiceUnavailable), want: lagoonlanding.ErrUnavailable},
		{name: "fault", handler: respondWithStatus(http.StatusInternalServerError), want: lagoonlanding.ErrUnknown},
		{name: "cut", handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: lagoonlanding.ErrUnknown},
		{name: "truncated", handler: respondTruncated, want: lagoonlanding.ErrUnknown},
		{name: "no revision", handler: respondWithStatus(http.StatusOK), want: lagoonlanding.ErrUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			_, err := New(Config{URL: server.URL}).CompareAndSwap(t.Context(), "a", 0, []byte("1"))
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestCancelledCompareAndSwapIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		cancel()
		<-release
	}))
	defer server.Close()
	defer close(release)
	_, err := New(Config{URL: server.URL}).CompareAndSwap(ctx, "a", 0, []byte("1"))
	if !errors.Is(err, lagoonlanding.ErrUnknown) || !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

func TestCompareAndSwapWithoutConnectionIsUnavailable(t *testing.T) {
	_, err := New(Config{URL: "http://" + reserver.Address()}).CompareAndSwap(t.Context(), "a", 0, nil)
	if !errors.Is(err, lagoonlanding.ErrUnavailable) || errors.Is(err, lagoonlanding.ErrUnknown) {
		t.Errorf("got %v", err)
	}
}

func TestWatchPollsUntilAnEntryChanges(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		calls++
		if calls < 3 {
			_, _ = writer.Write([]byte(`{"entries":[],"revision":7}`))
			return
		}
		_, _ = writer.Write([]byte(`{"entries":[{"key":"a","value":"MQ==","revision":8}],"revision":8}`))
	}))
	defer server.Close()
	listing, err := New(Config{URL: server.URL}).Watch(t.Context(), "a", 7)
	if err != nil || calls != 3 || listing.Revision() != 8 || len(listing.Entries()) != 1 {
		t.Errorf("after %d calls: %v, %v", calls, listing, err)
	}
}

func TestWatchOfAnUnresponsiveStoreIsUnavailable(t *testing.T) {
	client := New(Config{URL: "http://127.0.0.1:1", Client: &http.Client{Transport: timeoutTransport{}}})
	if _, err := client.Watch(t.Context(), "a", 7); !errors.Is(err, lagoonlanding.ErrUnavailable) {
		t.Errorf("got %v", err)
	}
}

// timeoutTransport fails requests that have a deadline and blocks all others until they are cancelled.
type timeoutTransport struct{}

func (timeoutTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if _, ok := request.Context().Deadline(); ok {
		return nil, context.DeadlineExceeded
	}
	<-request.Context().Done()
	return nil, request.Context().Err()
}

func respondWithStatus(code int) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(code) }
}

func respondTruncated(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Length", "100")
	_, _ = writer.Write([]byte(`{"revision":`))
}
