package messenger

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

func TestNewerProtocolVersionIsRefused(t *testing.T) {
	near, far := net.Pipe()
	refused := make(chan error, 1)
	go func() {
		_, err := serverHandshake(far)
		refused <- err
	}()
	if _, err := near.Write(preamble(ProtocolVersion+1, uint8(LaneControl))); err != nil {
		t.Fatal(err)
	}
	version, code, err := readPreamble(near)
	if err != nil || version != ProtocolVersion || handshakeResult(code) != resultUnsupported {
		t.Errorf("got version %d, result %d, %v", version, code, err)
	}
	var versionError *VersionError
	if err := <-refused; !errors.As(err, &versionError) || versionError.Theirs() != ProtocolVersion+1 {
		t.Errorf("got %v", err)
	}
}

func TestRefusalByAnOlderDaemonIsAVersionErrorAndNotSent(t *testing.T) {
	listener := listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _, _ = readPreamble(conn)
		_, _ = conn.Write(preamble(7, uint8(resultUnsupported)))
	}()
	messenger := New(Config{Clock: wallClock{}})
	_, err := messenger.Forward(testContext(t), peerAt(listener.Addr().String()), request(nil))
	var versionError *VersionError
	if !errors.As(err, &versionError) || versionError.Theirs() != 7 || !errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

func TestInvalidPreambleIsRefused(t *testing.T) {
	for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", "lagoon\x01\x09", "lagoon\x00\x01"} {
		near, far := net.Pipe()
		go func() { _, _ = near.Write([]byte(data)) }()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		if _, err := serverHandshake(far); err == nil {
			t.Errorf("%q was accepted", data)
		}
		_ = near.Close()
	}
}

func TestLargeForwardDoesNotDelayRenewals(t *testing.T) {
	listener := listen(t)
	server := NewServer(ServerConfig{Handler: &handler{}, Clock: wallClock{}, Log: discardLog()})
	stalled := make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			lane, err := serverHandshake(conn)
			if err == nil && lane == LaneBulk {
				_, _ = conn.Read(make([]byte, 1))
				close(stalled) // The rest of the body is never read.
				continue
			}
			session := &session{server: server, inFlight: make(map[uint64]inFlightRequest)}
			go func() { _ = session.serve(conn) }()
		}
	}()
	messenger := New(Config{Clock: wallClock{}})
	defer messenger.Close()
	to := peerAt(listener.Addr().String())
	ctx, cancel := context.WithCancel(testContext(t))
	result := make(chan error, 1)
	go func() {
		_, err := messenger.Forward(ctx, to, request(make([]byte, maxMessageSize)))
		result <- err
	}()
	<-stalled
	if _, err := messenger.Renew(ctx, to, lagoonlanding.NewRenewRequest(lagoonlanding.RenewRequestConfig{
		Group: lagoonlanding.NewGroupID("s", "p"),
	})); err != nil {
		t.Error(err)
	}
	cancel()
	if err := <-result; err == nil || errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("a partly written request gave %v", err)
	}
}

func TestShutdownWaitsForRunningRequestsAndRefusesNewOnes(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	handler := &handler{forward: func(_ context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
		close(started)
		<-finish
		return echo(request)
	}}
	messenger, to, server := start(t, handler)
	type outcome struct {
		reply lagoonlanding.Reply
		err   error
	}
	first := make(chan outcome, 1)
	go func() {
		reply, err := messenger.Forward(testContext(t), to, request(nil))
		first <- outcome{reply, err}
	}()
	<-started
	server.stopAccepting()
	// Skips the second connection of the forward lane, so that the next request uses the same connection as the first.
	messenger.lastNumber.Add(1)
	refused, err := messenger.Forward(testContext(t), to, request(nil))
	if err != nil || refused.Reason() != lagoonlanding.ReasonShuttingDown || refused.Outcome() != lagoonlanding.OutcomeNotRun {
		t.Errorf("got %v, %v", refused.Reason(), err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(testContext(t)) }()
	close(finish)
	if got := <-first; got.err != nil || got.reply.Outcome() != lagoonlanding.OutcomeAnswered {
		t.Errorf("got %v, %v", got.reply.Outcome(), got.err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func TestConnectionsAreLimited(t *testing.T) {
	handler := &handler{forward: func(_ context.Context, request lagoonlanding.Request) lagoonlanding.Reply { return echo(request) }}
	_, first, _ := start(t, handler)
	_, second, _ := start(t, handler)
	_, third, _ := start(t, handler)
	messenger := New(Config{Clock: wallClock{}, MaxConnections: 2})
	defer messenger.Close()
	for range 5 {
		for _, to := range []lagoonlanding.Instance{first, second, third} {
			if _, err := messenger.Forward(testContext(t), to, request(nil)); err != nil {
				t.Fatal(err)
			}
			if messenger.pool.openCount > 2 {
				t.Fatalf("%d connections are open", messenger.pool.openCount)
			}
		}
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	handler := &handler{forward: func(_ context.Context, request lagoonlanding.Request) lagoonlanding.Reply { return echo(request) }}
	_, first, _ := start(t, handler)
	_, second, _ := start(t, handler)
	messenger := New(Config{Clock: wallClock{}})
	defer messenger.Close()
	if _, err := messenger.Forward(testContext(t), first, request(nil)); err != nil {
		t.Fatal(err)
	}
	messenger.pool.mutex.Lock()
	messenger.pool.nextSweep = time.Time{}
	for _, slot := range messenger.pool.slots {
		slot.connection.codec.mutex.Lock()
		slot.connection.codec.lastUse = time.Now().Add(-idleTimeout)
		slot.connection.codec.mutex.Unlock()
	}
	messenger.pool.mutex.Unlock()
	if _, err := messenger.Forward(testContext(t), second, request(nil)); err != nil {
		t.Fatal(err)
	}
	messenger.pool.mutex.Lock()
	defer messenger.pool.mutex.Unlock()
	if messenger.pool.openCount != 1 || len(messenger.pool.slots) != 1 {
		t.Errorf("%d connections are open in %d slots", messenger.pool.openCount, len(messenger.pool.slots))
	}
}
