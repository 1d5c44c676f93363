package messenger

import (
	"context"
	"errors"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/runtime/reserver"
)

var exported = cmp.Exporter(func(reflect.Type) bool { return true })

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func (wallClock) Until(deadline time.Time) <-chan time.Time { return time.After(time.Until(deadline)) }

// handler returns fixed replies; forward handles forwarded requests.
type handler struct {
	notices chan lagoonlanding.RecordNotice
	forward func(ctx context.Context, request lagoonlanding.Request) lagoonlanding.Reply
}

func (handler *handler) OnRenew(request lagoonlanding.RenewRequest) lagoonlanding.RenewReply {
	return lagoonlanding.NewRenewReply(lagoonlanding.RenewGranted, request.Adopted(), 9)
}

func (handler *handler) OnClear(request lagoonlanding.ClearanceRequest) lagoonlanding.ClearanceReply {
	return lagoonlanding.NewClearanceReply(lagoonlanding.ClearanceGranted, request.Version(), []lagoonlanding.InstanceID{request.Witness()})
}

func (handler *handler) OnJoin(request lagoonlanding.JoinRequest) lagoonlanding.JoinReply {
	return lagoonlanding.NewJoinReply(request.IsLeaving())
}

func (handler *handler) OnStatus(request lagoonlanding.StatusRequest) lagoonlanding.GroupStatus {
	return lagoonlanding.NewGroupStatus(lagoonlanding.GroupStatusConfig{Group: request.Group(), Version: 4, Coordinating: true})
}

func (handler *handler) OnSuspects(notice lagoonlanding.SuspectNotice) lagoonlanding.SuspectNotice {
	return lagoonlanding.NewSuspectNotice(notice.Service(), "doto", nil)
}

func (handler *handler) OnDirectory(request lagoonlanding.DirectoryRequest) lagoonlanding.DirectoryReply {
	return lagoonlanding.NewDirectoryReply(lagoonlanding.NewListing(nil, request.After()+1))
}

func (handler *handler) OnNotice(notice lagoonlanding.RecordNotice) { handler.notices <- notice }

func (handler *handler) OnHandover(lagoonlanding.HandoverRequest) lagoonlanding.HandoverReply {
	return lagoonlanding.NewHandoverReply(lagoonlanding.HandoverAccepted)
}

func (handler *handler) OnForward(ctx context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
	return handler.forward(ctx, request)
}

// echo returns an answered reply with the body of the request.
func echo(request lagoonlanding.Request) lagoonlanding.Reply {
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: request.ID(), Outcome: lagoonlanding.OutcomeAnswered, Status: 200, Body: request.Body(),
	})
}

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func peerAt(address string) lagoonlanding.Instance {
	return lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID: lagoonlanding.NewInstanceID("b", 1), PeerAddress: address,
	})
}

// start serves the handler and returns a messenger, the instance to send to and the server.
func start(t testing.TB, handler *handler) (*Messenger, lagoonlanding.Instance, *Server) {
	t.Helper()
	listener := listen(t)
	server := NewServer(ServerConfig{Handler: handler, Clock: wallClock{}, Log: discardLog()})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	messenger := New(Config{Clock: wallClock{}})
	t.Cleanup(func() {
		messenger.Close()
		_ = server.Shutdown(context.Background())
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return messenger, peerAt(listener.Addr().String()), server
}

func request(body []byte) lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: "r1", Key: lagoonlanding.NewKey("status-app", "w", "k"), Method: "POST", Path: "/tags/k", Body: body,
	})
}

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestEachMethodRoundTrips(t *testing.T) {
	handler := &handler{notices: make(chan lagoonlanding.RecordNotice, 1)}
	handler.forward = func(_ context.Context, request lagoonlanding.Request) lagoonlanding.Reply { return echo(request) }
	messenger, to, _ := start(t, handler)
	ctx := testContext(t)
	group := lagoonlanding.NewGroupID("s", "p")
	id := lagoonlanding.NewInstanceID("a", 1)

	renewed, err := messenger.Renew(ctx, to, lagoonlanding.NewRenewRequest(lagoonlanding.RenewRequestConfig{Group: group, Adopted: 4}))
	expectEqual(t, renewed, lagoonlanding.NewRenewReply(lagoonlanding.RenewGranted, 4, 9), err)
	cleared, err := messenger.Clear(ctx, to, lagoonlanding.NewClearanceRequest(group, 3, id))
	expectEqual(t, cleared, lagoonlanding.NewClearanceReply(lagoonlanding.ClearanceGranted, 3, []lagoonlanding.InstanceID{id}), err)
	joined, err := messenger.Join(ctx, to, lagoonlanding.NewJoinRequest(group, to, true))
	expectEqual(t, joined, lagoonlanding.NewJoinReply(true), err)
	status, err := messenger.Status(ctx, to, lagoonlanding.NewStatusRequest(group))
	expectEqual(t, status, lagoonlanding.NewGroupStatus(lagoonlanding.GroupStatusConfig{Group: group, Version: 4, Coordinating: true}), err)
	suspects, err := messenger.Accuse(ctx, to, lagoonlanding.NewSuspectNotice("s", "dohoku", nil))
	expectEqual(t, suspects, lagoonlanding.NewSuspectNotice("s", "doto", nil), err)
	directory, err := messenger.Directory(ctx, to, lagoonlanding.NewDirectoryRequest(6))
	expectEqual(t, directory, lagoonlanding.NewDirectoryReply(lagoonlanding.NewListing(nil, 7)), err)
	accepted, err := messenger.HandOver(ctx, to, lagoonlanding.NewHandoverRequest(lagoonlanding.HandoverConfig{Group: group}))
	expectEqual(t, accepted, lagoonlanding.NewHandoverReply(lagoonlanding.HandoverAccepted), err)
	layout := lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{Version: 1})
	notice := lagoonlanding.NewRecordNotice(lagoonlanding.NewRecord(group, layout, lagoonlanding.Layout{}, 5))
	err = messenger.Notify(ctx, to, notice)
	expectEqual(t, <-handler.notices, notice, err)
	for _, size := range []int{1, bulkBodySize + 1} {
		body := make([]byte, size)
		reply, err := messenger.Forward(ctx, to, request(body))
		expectEqual(t, reply, echo(request(body)), err)
	}
	for lane := LaneControl; lane <= LaneBulk; lane++ {
		if messenger.pool.traffic.Sent(lane) == 0 || messenger.pool.traffic.Received(lane) == 0 {
			t.Errorf("no bytes counted on the %s lane", lane)
		}
	}
}

func expectEqual[T any](t *testing.T, got, want T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, exported); diff != "" {
		t.Error(diff)
	}
}

func TestCancelledForwardIsCancelledAtTheOwner(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	handler := &handler{forward: func(ctx context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonDeadline)
	}}
	messenger, to, _ := start(t, handler)
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-started
		cancel()
	}()
	_, err := messenger.Forward(ctx, to, request(nil))
	if !errors.Is(err, context.Canceled) || errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("got %v", err)
	}
	<-cancelled
}

func TestClosedConnectionCancelsAtTheOwnerAndIsNotReportedAsNotSent(t *testing.T) {
	cancelled := make(chan struct{})
	var messenger *Messenger
	handler := &handler{forward: func(ctx context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
		go messenger.Close()
		<-ctx.Done()
		close(cancelled)
		return lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonDeadline)
	}}
	var to lagoonlanding.Instance
	messenger, to, _ = start(t, handler)
	if _, err := messenger.Forward(testContext(t), to, request(nil)); err == nil || errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("got %v", err)
	}
	<-cancelled
}

func TestForwardThatCannotConnectIsNotSent(t *testing.T) {
	messenger := New(Config{Clock: wallClock{}})
	address := reserver.Address()
	for range 2 {
		_, err := messenger.Forward(testContext(t), peerAt(address), request(nil))
		if !errors.Is(err, lagoonlanding.ErrNotSent) {
			t.Errorf("got %v", err)
		}
	}
}

func TestForwardOverAClosedConnectionIsNotSent(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	connection := newConnection(near, LaneForward)
	connection.close()
	if err := connection.call(testContext(t), methodForward, struct{}{}, nil); !errors.Is(err, lagoonlanding.ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

func TestReplyWithAnotherRequestIDIsAnError(t *testing.T) {
	handler := &handler{forward: func(context.Context, lagoonlanding.Request) lagoonlanding.Reply {
		return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{RequestID: "r2", Outcome: lagoonlanding.OutcomeAnswered, Status: 200})
	}}
	messenger, to, _ := start(t, handler)
	if _, err := messenger.Forward(testContext(t), to, request(nil)); !errors.Is(err, lagoonlanding.ErrMismatched) {
		t.Errorf("got %v", err)
	}
}

func TestDeadlineIsEnforcedAtTheOwner(t *testing.T) {
	handler := &handler{forward: func(ctx context.Context, request lagoonlanding.Request) lagoonlanding.Reply {
		<-ctx.Done()
		return lagoonlanding.Refuse(request, lagoonlanding.ReasonDeadline)
	}}
	messenger, to, _ := start(t, handler)
	config := lagoonlanding.RequestConfig{
		ID: "r1", Key: lagoonlanding.NewKey("s", "w", "k"), Method: "GET", Deadline: time.Now().Add(time.Millisecond),
	}
	reply, err := messenger.Forward(testContext(t), to, lagoonlanding.NewRequest(config))
	if err != nil || reply.Reason() != lagoonlanding.ReasonDeadline {
		t.Errorf("got %v, %v", reply.Reason(), err)
	}
}
