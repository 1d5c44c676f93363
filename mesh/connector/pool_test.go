package connector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/runtime/reserver"
)

func newPool() *Pool {
	return NewPool(Config{DialTimeout: time.Second, IdleTimeout: time.Minute, SilenceTimeout: 3 * time.Second, MaxIdle: 4})
}

// serve runs the script on each accepted connection and returns the address.
func serve(t *testing.T, script func(connection net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				script(connection, bufio.NewReader(connection))
			}()
		}
	}()
	return listener.Addr().String()
}

func get(t *testing.T, pool *Pool, address string) (string, error) {
	t.Helper()
	task := lagoonlanding.NewTask(lagoonlanding.TaskConfig{ID: "1", Method: "GET", Host: "h", Target: "/p?q=%2F", Header: http.Header{}})
	response, err := pool.Exchange(t.Context(), address, NewRequest(address, task))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionIsReused(t *testing.T) {
	connections := make(chan int, 10)
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		connections <- 1
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if request.RequestURI != "/p?q=%2F" {
				t.Errorf("got target %q", request.RequestURI)
			}
			io.WriteString(connection, okResponse)
		}
	})
	pool := newPool()
	for range 3 {
		if text, err := get(t, pool, address); err != nil || text != "ok" {
			t.Fatal(text, err)
		}
	}
	if len(connections) != 1 {
		t.Errorf("got %d connections, want 1", len(connections))
	}
}

func TestExtraBytesAfterAResponseAreDiscarded(t *testing.T) {
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(connection, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		time.Sleep(100 * time.Millisecond)
	})
	pool := newPool()
	for range 3 {
		if text, err := get(t, pool, address); err != nil || text != "ok" {
			t.Fatal(text, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			io.WriteString(connection, okResponse)
		}
	})
	pool := newPool()
	for range 3 {
		if _, err := get(t, pool, address); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	if _, err := get(t, newPool(), reserver.Address()); !errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

func TestLostResponseIsErrBroken(t *testing.T) {
	address := serve(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = http.ReadRequest(reader) })
	if _, err := get(t, newPool(), address); !errors.Is(err, ErrBroken) || errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		}
	})
	if text, err := get(t, newPool(), address); err == nil {
		t.Errorf("got %q", text)
	}
}

func TestCancellationClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = connection.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	task := lagoonlanding.NewTask(lagoonlanding.TaskConfig{ID: "1", Method: "POST", Host: "h", Target: "/", Header: http.Header{}, Body: strings.NewReader("x"), BodyLength: 1})
	if _, err := newPool().Exchange(ctx, address, NewRequest(address, task)); !errors.Is(err, ErrBroken) {
		t.Errorf("got %v", err)
	}
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection is still open half a second after the cancellation")
	}
}

func TestEarlyResponseToALongBodyClosesTheConnection(t *testing.T) {
	requests := make(chan int, 10)
	address := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		requests <- 1
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(connection, okResponse)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, reader)
	})
	pool := newPool()
	for range 2 {
		task := lagoonlanding.NewTask(lagoonlanding.TaskConfig{
			ID: "1", Method: "POST", Host: "h", Target: "/", Header: http.Header{}, Body: io.LimitReader(zeroReader{}, 64<<20), BodyLength: 64 << 20,
		})
		response, err := pool.Exchange(t.Context(), address, NewRequest(address, task))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Fatal(err)
		}
	}
	if len(requests) != 2 {
		t.Errorf("%d connections for two requests with partly sent bodies, want 2", len(requests))
	}
}

type zeroReader struct{}

func (zeroReader) Read(data []byte) (int, error) { return len(data), nil }
