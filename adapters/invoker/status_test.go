package invoker

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"lagoonlanding.example/lagoonlanding"
)

// TestInvalidStatusIsNoAnswer guards against a status outside 200 to 599 that is returned as an answer, which the caller's connection cannot carry.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			defer connection.Close()
			if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				fmt.Fprintf(connection, "HTTP/1.1 %s X\r\n%s: r-1\r\nContent-Length: 2\r\n\r\nok", status, HeaderRequestID)
			}
		}()
		invoker := New(Config{Address: listener.Addr().String(), MaxConnections: 1, MaxAnswerBytes: 64, Clock: fixedClock{now: now}})
		reply, err := invoker.Serve(t.Context(), newRequest(http.MethodPost), lagoonlanding.Fence{})
		if !errors.Is(err, ErrAnswerStatus) || errors.Is(err, lagoonlanding.ErrNotSent) {
			t.Errorf("status %s: got %v with status %d, %v", status, reply.Outcome(), reply.Status(), err)
		}
	}
}
