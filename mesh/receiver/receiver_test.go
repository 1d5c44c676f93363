package receiver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
	"lagoonlanding.example/lagoonlanding/mesh/drainer"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

// countingMeter counts what a server records.
type countingMeter struct {
	readAhead, held, panicked atomic.Int64
}

func (countingmeter *countingMeter) ReadAhead()         { countingmeter.readAhead.Add(1) }
func (countingmeter *countingMeter) Held(time.Duration) { countingmeter.held.Add(1) }
func (countingmeter *countingMeter) Panicked()          { countingmeter.panicked.Add(1) }

// testServer is a server on a loopback address; requests whose path starts with /safe overlap.
type testServer struct {
	address string
	drain   *drainer.Drain
	meter   *countingMeter
}

func startServer(t testing.TB, handler http.HandlerFunc) *testServer {
	return startLimitedServer(t, handler, nil)
}

func startLimitedServer(t testing.TB, handler http.HandlerFunc, memory *budgeter.Budget) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	started := &testServer{address: listener.Addr().String(), drain: drainer.New(drainer.Config{Clock: timekeeper.Clock{}}), meter: &countingMeter{}}
	server := New(Config{
		Handler: handler, Refuse: func(writer http.ResponseWriter) { writer.WriteHeader(http.StatusServiceUnavailable) },
		Overlaps: func(request *http.Request) bool { return strings.HasPrefix(request.URL.Path, "/safe") },
		Drain:    started.drain, Memory: memory, Meter: started.meter, Log: logrus.NewEntry(log),
		HeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	})
	var serving sync.WaitGroup
	serving.Go(func() { server.Serve(listener) })
	t.Cleanup(func() { listener.Close(); serving.Wait() })
	return started
}

// testClient is a connection to a test server.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func (testserver *testServer) connect(t testing.TB) *testClient {
	t.Helper()
	connection, err := net.Dial("tcp4", testserver.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	if err := connection.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &testClient{Conn: connection, reader: bufio.NewReader(connection)}
}

func (testclient *testClient) send(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(testclient, text); err != nil {
		t.Fatal(err)
	}
}

// receive returns the next response and its body, or the error that ended it.
func (testclient *testClient) receive() (*http.Response, string, error) {
	response, err := http.ReadResponse(testclient.reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func TestRequestsSentAheadRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	var running sync.WaitGroup
	running.Add(4)
	server := startServer(t, func(writer http.ResponseWriter, request *http.Request) {
		running.Done()
		// Blocks until all four run.
		running.Wait()
		if request.URL.Path == "/safe/0" {
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Fprint(writer, request.URL.Path)
	})
	client := server.connect(t)
	client.send(t, get("/safe/0")+get("/safe/1")+get("/safe/2")+get("/safe/3"))
	for number := range 4 {
		response, body, err := client.receive()
		if err != nil || body != fmt.Sprintf("/safe/%d", number) || response.Close {
			t.Fatalf("response %d is %q, %v", number, body, err)
		}
	}
	if server.meter.readAhead.Load() != 3 || server.meter.held.Load() == 0 {
		t.Errorf("counted %d requests read ahead and %d held responses", server.meter.readAhead.Load(), server.meter.held.Load())
	}
}

func TestUnsafeRequestRunsAlone(t *testing.T) {
	var running, most atomic.Int64
	var order []string
	var mutex sync.Mutex
	server := startServer(t, func(writer http.ResponseWriter, request *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		mutex.Lock()
		order = append(order, request.URL.Path)
		mutex.Unlock()
		if request.URL.Path == "/unsafe" {
			most.Store(max(most.Load(), now))
		}
		time.Sleep(20 * time.Millisecond)
		body, err := io.ReadAll(request.Body)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprint(writer, request.URL.Path, string(body))
	})
	client := server.connect(t)
	client.send(t, get("/safe/0")+"POST /unsafe HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"+get("/safe/1"))
	for _, expected := range []string{"/safe/0", "/unsafebody", "/safe/1"} {
		if _, body, err := client.receive(); err != nil || body != expected {
			t.Fatalf("got %q, %v instead of %q", body, err, expected)
		}
	}
	if most.Load() != 1 || order[1] != "/unsafe" {
		t.Errorf("the unsafe request ran beside %d others; the order was %v", most.Load()-1, order)
	}
}

func TestRequestsBehindAClosingResponseAreNotPassedOn(t *testing.T) {
	var unsafe atomic.Int64
	cancelled := make(chan struct{})
	server := startServer(t, func(writer http.ResponseWriter, request *http.Request) {
		switch request.URL.Path {
		case "/safe/closing":
			time.Sleep(50 * time.Millisecond)
			writer.Header().Set("Connection", "close")
		case "/safe/behind":
			<-request.Context().Done()
			close(cancelled)
		default:
			unsafe.Add(1)
		}
	})
	client := server.connect(t)
	client.send(t, get("/safe/closing")+get("/safe/behind")+get("/unsafe"))
	if response, _, err := client.receive(); err != nil || !response.Close {
		t.Fatalf("the first response does not close the connection: %v", err)
	}
	if _, _, err := client.receive(); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v after a closing response", err)
	}
	<-cancelled
	if unsafe.Load() != 0 {
		t.Error("a request behind a closing response was passed on")
	}
}

func TestDepartedClientCancelsAllItsRequests(t *testing.T) {
	var cancelled sync.WaitGroup
	cancelled.Add(maxRequests)
	var started atomic.Int64
	server := startServer(t, func(_ http.ResponseWriter, request *http.Request) {
		started.Add(1)
		<-request.Context().Done()
		cancelled.Done()
	})
	client := server.connect(t)
	// The last two may not be read yet when the client leaves.
	for number := range maxRequests + 2 {
		client.send(t, get(fmt.Sprintf("/safe/%d", number)))
	}
	for started.Load() < maxRequests {
		time.Sleep(time.Millisecond)
	}
	client.Close()
	cancelled.Wait()
	if started.Load() != maxRequests {
		t.Errorf("%d requests were passed on", started.Load())
	}
}

func TestPanicEndsOnlyItsConnection(t *testing.T) {
	server := startServer(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/safe/panic" {
			panic("unexpected")
		}
		fmt.Fprint(writer, "fine")
	})
	client, other := server.connect(t), server.connect(t)
	client.send(t, get("/safe/panic"))
	if _, _, err := client.receive(); err == nil {
		t.Error("a request whose handler panicked is answered")
	}
	other.send(t, get("/safe/0"))
	if _, body, err := other.receive(); err != nil || body != "fine" {
		t.Errorf("another connection got %q, %v", body, err)
	}
	if server.meter.panicked.Load() != 1 {
		t.Errorf("%d panics were counted", server.meter.panicked.Load())
	}
}

// TestBodyReaderLeftBehind plays a backend server that answers before it has read the request, while a goroutine still sends the body on.
func TestBodyReaderLeftBehind(t *testing.T) {
	for _, head := range []string{"Content-Length: 100000", "Transfer-Encoding: chunked"} {
		var left sync.WaitGroup
		server := startServer(t, func(writer http.ResponseWriter, request *http.Request) {
			left.Go(func() {
				if _, err := io.Copy(io.Discard, request.Body); err == nil {
					t.Error("a body that was not sent to its end was read as a complete one")
				}
			})
			time.Sleep(5 * time.Millisecond)
			fmt.Fprint(writer, "early")
		})
		client := server.connect(t)
		client.send(t, "POST / HTTP/1.1\r\nHost: h\r\n"+head+"\r\n\r\n5\r\nbegin\r\n")
		if _, body, err := client.receive(); err != nil || body != "early" {
			t.Fatalf("got %q, %v", body, err)
		}
		// The goroutine ends although the client neither sends the rest nor leaves.
		left.Wait()
		if _, _, err := client.receive(); err == nil {
			t.Error("the connection goes on behind a body that was not read")
		}
	}
}

func TestUnreadBodyIsDiscarded(t *testing.T) {
	server := startServer(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPost {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(writer, "next")
	})
	client := server.connect(t)
	client.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("x", 9000)+get("/"))
	if response, _, err := client.receive(); err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Close {
		t.Fatalf("got %v, %v", response, err)
	}
	if _, body, err := client.receive(); err != nil || body != "next" {
		t.Errorf("got %q, %v behind an unread body", body, err)
	}
}

func TestContinueIsSentBeforeTheBodyIsRead(t *testing.T) {
	server := startServer(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/refused" {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.Copy(writer, request.Body)
	})
	client := server.connect(t)
	client.send(t, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	if response, _, err := client.receive(); err != nil || response.StatusCode != http.StatusContinue {
		t.Fatalf("got %v, %v", response, err)
	}
	client.send(t, "body")
	if _, body, err := client.receive(); err != nil || body != "body" {
		t.Errorf("got %q, %v", body, err)
	}
	client.send(t, "POST /refused HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	if response, _, err := client.receive(); err != nil || response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("got %v, %v for a body that was never asked for", response, err)
	}
}

func TestIncompleteResponseDoesNotLookComplete(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, length := range []string{"", "100000"} {
			server := startServer(t, func(writer http.ResponseWriter, _ *http.Request) {
				if length != "" {
					writer.Header().Set("Content-Length", length)
				}
				fmt.Fprint(writer, strings.Repeat("x", 50000))
				panic(http.ErrAbortHandler)
			})
			client := server.connect(t)
			client.send(t, "GET / "+version+"\r\nHost: h\r\n\r\n")
			if _, body, err := client.receive(); err == nil {
				t.Errorf("%s with length %q: %d bytes look like a complete response", version, length, len(body))
			}
		}
	}
}

func TestShorterBodyThanDeclaredDoesNotLookComplete(t *testing.T) {
	server := startServer(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Length", "10")
		fmt.Fprint(writer, "short")
	})
	client := server.connect(t)
	client.send(t, get("/"))
	if _, body, err := client.receive(); err == nil {
		t.Errorf("%q looks like a complete response", body)
	}
}

func TestMalformedHeads(t *testing.T) {
	server := startServer(t, func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "passed on") })
	for text, status := range map[string]int{
		"GET / HTTP/1.1\r\n\r\n":                                                             http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n":                                       http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n":                                     http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":        http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n":                            http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost : h\r\n\r\n":                                                 http.StatusBadRequest,
		"nonsense\r\n\r\n":                                                                   http.StatusBadRequest,
		"GET / HTTP/2.0\r\nHost: h\r\n\r\n":                                                  http.StatusHTTPVersionNotSupported,
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n":        http.StatusRequestHeaderFieldsTooLarge,
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: y\r\n", 5000):                   http.StatusRequestHeaderFieldsTooLarge,
		strings.Repeat("\r\n", 10000):                                                        http.StatusRequestHeaderFieldsTooLarge,
		"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n":                                              http.StatusOK,
		"GET / HTTP/1.1\nHost: h\n\n":                                                        http.StatusOK,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n": http.StatusBadRequest,
	} {
		client := server.connect(t)
		client.send(t, text)
		response, _, err := client.receive()
		if err != nil || response.StatusCode != status || response.Close != (status != http.StatusOK) {
			t.Errorf("%.60q: got %v, %v instead of status %d", text, response, err, status)
		}
	}
}

// TestHeadWithoutEnd plays clients that never end a head: each is bounded in memory and time, and others are served.
func TestHeadWithoutEnd(t *testing.T) {
	server := startServer(t, func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "fine") })
	before := heapBytes()
	var clients []*testClient
	for range 200 {
		client := server.connect(t)
		client.send(t, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 8<<10))
		clients = append(clients, client)
	}
	time.Sleep(100 * time.Millisecond)
	if grown := heapBytes() - before; grown > 200*(32<<10) {
		t.Errorf("200 connections hold %d bytes", grown)
	}
	other := server.connect(t)
	other.send(t, get("/"))
	if _, body, err := other.receive(); err != nil || body != "fine" {
		t.Errorf("another client got %q, %v", body, err)
	}
	started := time.Now()
	for _, client := range clients {
		if _, _, err := client.receive(); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("got %v instead of a closed connection", err)
		}
	}
	if took := time.Since(started); took > 4*time.Second {
		t.Errorf("the connections were closed after %v", took)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func TestResponsesBehindASlowOneAreBounded(t *testing.T) {
	release := make(chan struct{})
	var written atomic.Int64
	server := startServer(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/safe/slow" {
			<-release
			return
		}
		for range 100 {
			if _, err := writer.Write(make([]byte, 8<<10)); err != nil {
				return
			}
			written.Add(8 << 10)
		}
	})
	client := server.connect(t)
	client.send(t, get("/safe/slow")+get("/safe/1")+get("/safe/2"))
	time.Sleep(50 * time.Millisecond)
	if got := written.Load(); got > 2*maxHeldBody {
		t.Errorf("%d bytes are held behind a slow response", got)
	}
	close(release)
	for range 3 {
		if _, _, err := client.receive(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStopUnderLoad stops a server whose clients go on sending: every request that was passed on is answered.
func TestStopUnderLoad(t *testing.T) {
	var passedOn, answered atomic.Int64
	server := startServer(t, func(writer http.ResponseWriter, request *http.Request) {
		passedOn.Add(1)
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(writer, request.URL.Path)
	})
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for range 20 {
		clients.Go(func() {
			for ctx.Err() == nil {
				sendAhead(t, server, &answered)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	// The clients leave after two seconds, when they notice that the daemon is not ready.
	time.AfterFunc(2*time.Second, cancel)
	server.drain.Stop(time.Now().Add(5 * time.Second))
	if count := server.drain.Wait(); count != 0 {
		t.Errorf("%d requests were ended", count)
	}
	clients.Wait()
	if passedOn.Load() != answered.Load() {
		t.Errorf("%d requests were passed on, %d were answered", passedOn.Load(), answered.Load())
	}
	if server.drain.Begin() != drainer.Unread {
		t.Error("a request is passed on after the last check")
	}
}

// sendAhead sends three requests at once and counts the answers until the connection closes.
func sendAhead(t *testing.T, server *testServer, answered *atomic.Int64) {
	client := server.connect(t)
	defer client.Close()
	client.send(t, get("/safe/0")+get("/safe/1")+get("/safe/2"))
	for range 3 {
		response, _, err := client.receive()
		if err != nil {
			t.Errorf("a connection ended without a closing response: %v", err)
			return
		}
		answered.Add(1)
		if response.Close {
			return
		}
	}
}

func FuzzConnection(f *testing.F) {
	for _, seed := range []string{
		get("/safe/0") + get("/safe/1"), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n" + get("/"),
		"POST /safe HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab", "HEAD /safe HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "\r\n\r\nGET", "GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
	} {
		f.Add([]byte(seed), uint16(7))
	}
	server := startServer(f, func(writer http.ResponseWriter, request *http.Request) { _, _ = io.Copy(writer, request.Body) })
	f.Fuzz(func(t *testing.T, text []byte, cut uint16) {
		client := server.connect(t)
		at := min(int(cut), len(text))
		client.send(t, string(text[:at]))
		if _, err := client.Write(text[at:]); err != nil {
			// The server has closed the connection after the first part.
			return
		}
		if half, ok := client.Conn.(*net.TCPConn); ok && half.CloseWrite() != nil {
			return
		}
		if _, err := io.Copy(io.Discard, client); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("the connection does not end")
		}
		if server.meter.panicked.Load() > 0 {
			t.Error("a handler panicked")
		}
	})
}
