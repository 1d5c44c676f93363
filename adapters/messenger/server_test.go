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

func TestNewerDaemonIsRefusedWithItsVersion(t *testing.T) {
	near, far := net.Pipe()
	refused := make(chan error, 1)
	go func() {
		_, err := receive(far)
		refused <- err
	}()
	if _, err := near.Write(preamble(ProtocolVersion+1, uint8(LaneControl))); err != nil {
		t.Fatal(err)
	}
	version, answer, err := readPreamble(near)
	if err != nil || version != ProtocolVersion || verdict(answer) != verdictUnsupported {
		t.Errorf("got version %d, verdict %d, %v", version, answer, err)
	}
	var mismatch *VersionError
	if err := <-refused; !errors.As(err, &mismatch) || mismatch.Theirs() != ProtocolVersion+1 {
		t.Errorf("got %v", err)
	}
}

func TestRefusalByAnOlderDaemonIsClearAndNotSent(t *testing.T) {
	listener := listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _, _ = readPreamble(conn)
		_, _ = conn.Write(preamble(7, uint8(verdictUnsupported)))
	}()
	messenger := New(Config{Clock: wallClock{}})
	_, err := messenger.Forward(patience(t), peerAt(listener.Addr().String()), request(nil))
	var mismatch *VersionError
	if !errors.As(err, &mismatch) || mismatch.Theirs() != 7 || !errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

func TestStrangersAreRefused(t *testing.T) {
	for _, greeting := range []string{"GET / HTTP/1.1\r\n\r\n", "lagoon\x01\x09", "lagoon\x00\x01"} {
		near, far := net.Pipe()
		go func() { _, _ = near.Write([]byte(greeting)) }()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		if _, err := receive(far); err == nil {
			t.Errorf("%q was taken", greeting)
		}
		_ = near.Close()
	}
}

func TestLargeForwardDoesNotDelayRenewals(t *testing.T) {
	listener := listen(t)
	server := NewServer(ServerConfig{Handler: &handler{}, Clock: wallClock{}, Log: quiet()})
	stalled := make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			lane, err := receive(conn)
			if err == nil && lane == LaneBulk {
				_, _ = conn.Read(make([]byte, 1))
				close(stalled) // Nothing more of the body is read.
				continue
			}
			session := &session{server: server, running: make(map[uint64]forwarded)}
			go func() { _ = session.serve(conn) }()
		}
	}()
	messenger := New(Config{Clock: wallClock{}})
	defer messenger.Close()
	to := peerAt(listener.Addr().String())
	ctx, cancel := context.WithCancel(patience(t))
	forwarded := make(chan error, 1)
	go func() {
		_, err := messenger.Forward(ctx, to, request(make([]byte, maxMessage)))
		forwarded <- err
	}()
	<-stalled
	if _, err := messenger.Renew(ctx, to, lagoonlanding.NewRenewRequest(lagoonlanding.RenewRequestConfig{
		Group: lagoonlanding.NewGroupID("s", "p"),
	})); err != nil {
		t.Error(err)
	}
	cancel()
	if err := <-forwarded; err == nil || errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("a request of which a part was written gave %v", err)
	}
}

func TestShutdownCutsNoRequestAndRefusesFurtherOnes(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	handler := &handler{forward: func(_ context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
		close(started)
		<-finish
		return answered(request)
	}}
	messenger, to, server := start(t, handler)
	type outcome struct {
		reply lagoonlanding.Reply
		err   error
	}
	first := make(chan outcome, 1)
	go func() {
		reply, err := messenger.Forward(patience(t), to, request(nil))
		first <- outcome{reply, err}
	}()
	<-started
	server.stopAccepting()
	// The first request took connection 1 of the forward lane; the next but one takes it again.
	messenger.number.Add(1)
	refused, err := messenger.Forward(patience(t), to, request(nil))
	if err != nil || refused.Reason() != lagoonlanding.ReasonShuttingDown || refused.Outcome() != lagoonlanding.OutcomeNotRun {
		t.Errorf("got %v, %v", refused.Reason(), err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(patience(t)) }()
	close(finish)
	if got := <-first; got.err != nil || got.reply.Outcome() != lagoonlanding.OutcomeAnswered {
		t.Errorf("got %v, %v", got.reply.Outcome(), got.err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	handler := &handler{forward: func(_ context.Context, request lagoonlanding.Request) lagoonlanding.Reply { return answered(request) }}
	_, first, _ := start(t, handler)
	_, second, _ := start(t, handler)
	_, third, _ := start(t, handler)
	messenger := New(Config{Clock: wallClock{}, MaxConnections: 2})
	defer messenger.Close()
	for range 5 {
		for _, to := range []lagoonlanding.Instance{first, second, third} {
			if _, err := messenger.Forward(patience(t), to, request(nil)); err != nil {
				t.Fatal(err)
			}
			if messenger.pool.used > 2 {
				t.Fatalf("%d connections are open", messenger.pool.used)
			}
		}
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	handler := &handler{forward: func(_ context.Context, request lagoonlanding.Request) lagoonlanding.Reply { return answered(request) }}
	_, first, _ := start(t, handler)
	_, second, _ := start(t, handler)
	messenger := New(Config{Clock: wallClock{}})
	defer messenger.Close()
	if _, err := messenger.Forward(patience(t), first, request(nil)); err != nil {
		t.Fatal(err)
	}
	messenger.pool.mutex.Lock()
	messenger.pool.nextSweep = time.Time{}
	for _, slot := range messenger.pool.places {
		slot.link.codec.mutex.Lock()
		slot.link.codec.lastUse = time.Now().Add(-idleLimit)
		slot.link.codec.mutex.Unlock()
	}
	messenger.pool.mutex.Unlock()
	if _, err := messenger.Forward(patience(t), second, request(nil)); err != nil {
		t.Fatal(err)
	}
	messenger.pool.mutex.Lock()
	defer messenger.pool.mutex.Unlock()
	if messenger.pool.used != 1 || len(messenger.pool.places) != 1 {
		t.Errorf("%d connections of %d places are open", messenger.pool.used, len(messenger.pool.places))
	}
}
