package relayer

import (
	"io"
	"net"
	"os"
	"testing"

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
