package invoker

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/runtime/reserver"
)

type fixedClock struct{ now time.Time }

func (fixedclock fixedClock) Now() time.Time                   { return fixedclock.now }
func (fixedclock fixedClock) Until(time.Time) <-chan time.Time { return nil }

var now = time.Unix(1000, 0)

func newRequest(method string) lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: "r-1", Tenant: "mall", Key: lagoonlanding.NewKey("status-app", "mesh", "tag-7"),
		Method: method, Path: "/tags/tag-7?full=1", Body: []byte("body"), IdempotencyKey: "i-1",
		Headers:  []lagoonlanding.Header{lagoonlanding.NewHeader(HeaderFence, "forged/all;0;99")},
		Deadline: now.Add(250 * time.Millisecond),
	})
}

func newInvoker(handler http.HandlerFunc, t *testing.T) *Invoker {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(Config{Address: strings.TrimPrefix(server.URL, "http://"), MaxConnections: 2, MaxAnswerBytes: 64, Clock: fixedClock{now: now}})
}

func TestServeForwardsTheRequest(t *testing.T) {
	fence := lagoonlanding.NewFence(lagoonlanding.NewGroupID("status-app", "all"), 3, 9)
	var got http.Header
	invoker := newInvoker(func(writer http.ResponseWriter, request *http.Request) {
		got = request.Header.Clone()
		body, _ := io.ReadAll(request.Body)
		writer.Header().Set(HeaderRequestID, request.Header.Get(HeaderRequestID))
		writer.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(writer, request.RequestURI+" "+string(body))
	}, t)
	reply, err := invoker.Serve(t.Context(), newRequest(http.MethodPost), fence)
	if err != nil {
		t.Fatal(err)
	}
	if reply.Outcome() != lagoonlanding.OutcomeAnswered || reply.Status() != http.StatusCreated || string(reply.Body()) != "/tags/tag-7?full=1 body" {
		t.Errorf("got %v %d %q", reply.Outcome(), reply.Status(), reply.Body())
	}
	want := map[string]string{
		HeaderFence: "status-app/all;3;9", HeaderDeadline: "250", HeaderKey: "mesh/tag-7",
		HeaderIdempotencyKey: "i-1", HeaderTenant: "mall",
	}
	for name, value := range want {
		if values := got.Values(name); len(values) != 1 || values[0] != value {
			t.Errorf("%s: got %q, want %q", name, values, value)
		}
	}
}

func TestInvalidAnswersAreRejected(t *testing.T) {
	cases := []struct {
		name   string
		answer func(writer http.ResponseWriter)
		want   error
	}{
		{name: "other request", answer: func(writer http.ResponseWriter) { writer.Header().Set(HeaderRequestID, "r-2") }, want: ErrAnswerMismatched},
		{name: "no request", answer: func(http.ResponseWriter) {}, want: ErrAnswerMismatched},
		{name: "truncated", answer: func(writer http.ResponseWriter) {
			writer.Header().Set(HeaderRequestID, "r-1")
			writer.Header().Set("Content-Length", "20")
			_, _ = io.WriteString(writer, "half")
		}, want: io.ErrUnexpectedEOF},
		{name: "too large", answer: func(writer http.ResponseWriter) {
			writer.Header().Set(HeaderRequestID, "r-1")
			_, _ = io.WriteString(writer, strings.Repeat("x", 65))
		}, want: ErrAnswerTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			invoker := newInvoker(func(writer http.ResponseWriter, _ *http.Request) { test.answer(writer) }, t)
			_, err := invoker.Serve(t.Context(), newRequest(http.MethodPost), lagoonlanding.Fence{})
			if !errors.Is(err, test.want) || errors.Is(err, lagoonlanding.ErrNotSent) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestAnswerMarkedNotRunIsARefusal(t *testing.T) {
	invoker := newInvoker(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(HeaderRequestID, "r-1")
		writer.Header().Set(HeaderNotRun, "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}, t)
	reply, err := invoker.Serve(t.Context(), newRequest(http.MethodPost), lagoonlanding.Fence{})
	if err != nil || reply.Outcome() != lagoonlanding.OutcomeNotRun || reply.Reason() != lagoonlanding.ReasonUpstreamRefused {
		t.Errorf("got %v %v, %v", reply.Outcome(), reply.Reason(), err)
	}
}

func TestNotSentOnlyWithoutConnection(t *testing.T) {
	invoker := New(Config{Address: reserver.Address(), Clock: fixedClock{now: now}})
	if _, err := invoker.Serve(t.Context(), newRequest(http.MethodPost), lagoonlanding.Fence{}); !errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("without a listener: got %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	started := newInvoker(func(_ http.ResponseWriter, request *http.Request) {
		// The server detects a closed client connection only after the body has been read.
		_, _ = io.Copy(io.Discard, request.Body)
		cancel()
		<-request.Context().Done()
	}, t)
	if _, err := started.Serve(ctx, newRequest(http.MethodGet), lagoonlanding.Fence{}); err == nil || errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("cancelled during execution: got %v", err)
	}
}

// The HTTP transport resends requests with an idempotent method such as GET if the server closes a pooled connection.
func TestNoRequestIsSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var runs atomic.Int64
		invoker := newInvoker(func(writer http.ResponseWriter, _ *http.Request) {
			if runs.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			writer.Header().Set(HeaderRequestID, "r-1")
		}, t)
		for range 2 {
			_, _ = invoker.Serve(t.Context(), newRequest(method), lagoonlanding.Fence{})
		}
		if runs.Load() != 2 {
			t.Errorf("%s: two requests ran %d times, want 2", method, runs.Load())
		}
	}
}

func FuzzParseFence(f *testing.F) {
	for _, seed := range []string{"status-app/all;3;9", ";;", "a/b;1", "a;1;2", "a/b;-1;2", "a/b;1;18446744073709551616"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		fence, err := ParseFence(value)
		if err != nil {
			return
		}
		again, err := ParseFence(FormatFence(fence))
		if err != nil || again != fence {
			t.Errorf("%q: %v became %v, %v", value, fence, again, err)
		}
	})
}

func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(`{"ready":true,"in-flight":3,"slots":6}`))
	f.Add([]byte(`{"ready":1}`))
	f.Add([]byte(`{"slots":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		report, err := DecodeReport(data)
		if err != nil {
			return
		}
		encoded, err := EncodeReport(report)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := DecodeReport(encoded); err != nil || again != report {
			t.Errorf("%v became %v, %v", report, again, err)
		}
	})
}
