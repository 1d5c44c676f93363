package receiver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
)

const testLimit = 4 << 20

// TestHeadWithoutMemoryIsRefused guards against long heads that exceed the budget, and against a refusal without a time or of heads that need no memory.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	budget := budgeter.New(budgeter.Config{Limit: testLimit})
	server := startLimitedServer(t, func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "ok") }, budget)
	budget.Count(budgeter.Answers, testLimit-60<<10)
	for size, want := range map[int]int{100: http.StatusOK, 12 << 10: http.StatusServiceUnavailable} {
		client := server.connect(t)
		fmt.Fprintf(client, "GET /x HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", size))
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil || response.StatusCode != want || (want != http.StatusOK) != (response.Header.Get("Retry-After") != "") {
			t.Errorf("%d bytes: got %v, %v", size, response, err)
		}
		client.Close()
	}
	waitForHeld(t, budget, testLimit-60<<10)
}

// waitForHeld fails unless the budget comes to hold the bytes.
func waitForHeld(t *testing.T, budget *budgeter.Budget, want int64) {
	t.Helper()
	for range 200 {
		if budget.Usage().Total == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%+v is held, want %d bytes", budget.Usage(), want)
}

// TestSlowReaderIsReset guards against the answer of a client that is ended, in any framing, looking complete, and against what it held staying counted.
func TestSlowReaderIsReset(t *testing.T) {
	for name, text := range map[string]string{
		"chunked":  "GET /chunked HTTP/1.1\r\nHost: h\r\n\r\n",
		"declared": "GET /declared HTTP/1.1\r\nHost: h\r\n\r\n",
		"old":      "GET /chunked HTTP/1.0\r\nHost: h\r\n\r\n",
	} {
		budget := budgeter.New(budgeter.Config{Limit: testLimit})
		server := startLimitedServer(t, func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/declared" {
				writer.Header().Set("Content-Length", fmt.Sprint(64<<20))
			}
			for part := make([]byte, 32<<10); ; {
				if _, err := writer.Write(part); err != nil {
					panic(http.ErrAbortHandler)
				}
			}
		}, budget)
		client := server.connect(t)
		if err := client.Conn.(*net.TCPConn).SetReadBuffer(8 << 10); err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(client, text)
		time.Sleep(700 * time.Millisecond)
		budget.Count(budgeter.Requests, testLimit)
		if _, ok := budget.Admit(time.Now()); ok {
			t.Errorf("%s: a request is admitted beyond the limit", name)
		}
		response, err := http.ReadResponse(client.reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err == nil {
			t.Errorf("%s: the answer looks complete", name)
		}
		waitForHeld(t, budget, testLimit)
	}
}

// TestConnectionBeyondTheBudgetIsClosed guards against connections that take the memory of those that are served, and against idle ones that keep it.
func TestConnectionBeyondTheBudgetIsClosed(t *testing.T) {
	budget := budgeter.New(budgeter.Config{Limit: testLimit})
	server := startLimitedServer(t, func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "ok") }, budget)
	idle := server.connect(t)
	fmt.Fprint(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := http.ReadResponse(idle.reader, nil); err != nil {
		t.Fatal(err)
	}
	budget.Count(budgeter.Answers, testLimit)
	// The reset may arrive before the connection is reported as open.
	if refused, err := net.Dial("tcp4", server.address); err == nil {
		if _, err := refused.Read(make([]byte, 1)); err == nil {
			t.Error("a connection beyond the budget is answered")
		}
		refused.Close()
	}
	budget.Admit(time.Now().Add(10 * time.Second))
	if text, err := io.ReadAll(idle.reader); err != nil || string(text) != "ok" {
		t.Errorf("the idle connection ended with %q, %v", text, err)
	}
}
