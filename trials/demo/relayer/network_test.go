package relayer

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding/runtime/reserver"
)

// echo serves one connection and sends back the bytes that it receives.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		_, _ = io.Copy(connection, connection)
	}()
	return listener.Addr().String()
}

func TestCutBlocksBytesUntilHealed(t *testing.T) {
	network := New(func() map[string]int { return map[string]int{"a": os.Getpid()} })
	listen := reserver.Address()
	if err := network.Relay(t.Context(), RouteConfig{Listen: listen, Target: echo(t), To: "b"}); err != nil {
		t.Fatal(err)
	}
	connection, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	exchange := func(text string) string {
		got := make([]byte, len(text))
		_, _ = connection.Write([]byte(text))
		_, _ = io.ReadFull(connection, got)
		return string(got)
	}
	if got := exchange("one"); got != "one" {
		t.Fatalf("before the cut: %q", got)
	}
	queried := make(chan struct{})
	healed := make(chan struct{})
	queries := 0
	network.Cut(func(from, to string) bool {
		if from != "b" || to != "a" {
			return false
		}
		if queries++; queries == 1 {
			close(queried)
		}
		return true
	})
	go func() {
		<-queried
		close(healed)
		network.Heal()
	}()
	if got := exchange("two"); got != "two" {
		t.Fatalf("after the cut: %q", got)
	}
	select {
	case <-healed:
	default:
		t.Error("bytes were forwarded during the cut")
	}
}

func TestSilentConnectionDeliversNothingAndNewOnesWork(t *testing.T) {
	network := New(func() map[string]int { return map[string]int{"a": os.Getpid()} })
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	go func() {
		for {
			connection, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(connection, connection) }()
		}
	}()
	listen := reserver.Address()
	if err := network.Relay(t.Context(), RouteConfig{Listen: listen, Target: target.Addr().String(), To: "b"}); err != nil {
		t.Fatal(err)
	}
	// exchange reports whether the text comes back, and fails if the connection ends.
	exchange := func(connection net.Conn, text string) bool {
		if _, err := connection.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		_ = connection.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := io.ReadFull(connection, make([]byte, len(text)))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
		return err == nil
	}
	dial := func() net.Conn {
		connection, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() })
		return connection
	}
	first := dial()
	if !exchange(first, "one") {
		t.Fatal("nothing came back before the silence")
	}
	if err := network.Silence(func(string, string) bool { return true }); err != nil {
		t.Fatal(err)
	}
	if exchange(first, "two") {
		t.Error("a silent connection delivered bytes")
	}
	if !exchange(dial(), "three") {
		t.Error("a new connection delivers nothing")
	}
}
