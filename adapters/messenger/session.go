package messenger

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
)

// The names under which net/rpc knows the messages.
const (
	serviceName     = "Daemon"
	methodRenew     = "Renew"
	methodClear     = "Clear"
	methodJoin      = "Join"
	methodStatus    = "Status"
	methodDirectory = "Directory"
	methodNotify    = "Notify"
	methodHandOver  = "HandOver"
	methodAccuse    = "Accuse"
	methodForward   = "Forward"
	methodCancel    = "Cancel"
)

// session serves one connection of a peer; net/rpc calls its exported methods.
type session struct {
	server *Server
	ctx    context.Context
	mutex  sync.Mutex
	// running holds the forwarded requests by their number on this connection.
	running map[uint64]forwarded
}

// forwarded is a request that runs for a peer.
type forwarded struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// serve answers the peer until the connection ends, and then cancels what it has asked for.
func (session *session) serve(conn net.Conn) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	session.ctx = ctx
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, session); err != nil {
		return err
	}
	server.ServeCodec(&serverCodec{gobConn: newGobConn(conn), arrived: session.arrived, ended: cancel})
	return nil
}

// arrived notes forwarded requests in the order of arrival, so that a cancellation always finds what it cancels.
func (session *session) arrived(body any) {
	call, ok := body.(*encoder.ForwardCall)
	if !ok {
		return
	}
	var one forwarded
	if left := call.Request.Left; left > 0 {
		one.ctx, one.cancel = context.WithTimeout(session.ctx, left)
	} else {
		one.ctx, one.cancel = context.WithCancel(session.ctx)
	}
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.running[call.Number] = one
}

func (session *session) find(number uint64) (forwarded, bool) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	one, ok := session.running[number]
	return one, ok
}

func (session *session) finish(number uint64) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if one, ok := session.running[number]; ok {
		one.cancel()
		delete(session.running, number)
	}
}

// Renew answers a renewal.
func (session *session) Renew(form encoder.RenewRequest, answer *encoder.RenewReply) error {
	return respond(session.now(), form, answer, session.server.handler.OnRenew, encoder.FromRenewReply)
}

// Clear answers a question about the prior layout.
func (session *session) Clear(form encoder.ClearanceRequest, answer *encoder.ClearanceReply) error {
	return respond(session.now(), form, answer, session.server.handler.OnClear, encoder.FromClearanceReply)
}

// Join answers an instance that joins or leaves.
func (session *session) Join(form encoder.JoinRequest, answer *encoder.JoinReply) error {
	return respond(session.now(), form, answer, session.server.handler.OnJoin, encoder.FromJoinReply)
}

// Status answers with what this instance knows of a group.
func (session *session) Status(form encoder.StatusRequest, answer *encoder.GroupStatus) error {
	now := session.now()
	return respond(now, form, answer, session.server.handler.OnStatus, func(status lagoonlanding.GroupStatus) encoder.GroupStatus {
		return encoder.FromGroupStatus(status, now)
	})
}

// Directory answers with newer entries of the store.
func (session *session) Directory(form encoder.DirectoryRequest, answer *encoder.DirectoryReply) error {
	return respond(session.now(), form, answer, session.server.handler.OnDirectory, encoder.FromDirectoryReply)
}

// HandOver answers the prior owner of a shard.
func (session *session) HandOver(form encoder.HandoverRequest, answer *encoder.HandoverReply) error {
	return respond(session.now(), form, answer, session.server.handler.OnHandover, encoder.FromHandoverReply)
}

// Notify takes a newer record.
func (session *session) Notify(form encoder.RecordNotice, _ *encoder.Empty) error {
	notice, err := form.Value(session.now())
	if err != nil {
		return err
	}
	session.server.handler.OnNotice(notice)
	return nil
}

// Accuse takes suspects and answers with those that this instance knows.
func (session *session) Accuse(form encoder.SuspectNotice, answer *encoder.SuspectNotice) error {
	handler, ok := session.server.handler.(lagoonlanding.SuspectHandler)
	if !ok {
		return nil
	}
	now := session.now()
	return respond(now, form, answer, handler.OnSuspects, func(notice lagoonlanding.SuspectNotice) encoder.SuspectNotice {
		return encoder.FromSuspectNotice(notice, now)
	})
}

// Forward serves a forwarded request; what cannot be decoded is refused, as it was not run.
func (session *session) Forward(form encoder.ForwardCall, answer *encoder.Reply) error {
	defer session.finish(form.Number)
	request, err := form.Request.Value(session.now())
	if err != nil {
		*answer = encoder.Reply{
			RequestID: form.Request.ID, Outcome: uint8(lagoonlanding.OutcomeNotRun), Reason: string(lagoonlanding.ReasonMalformed),
		}
		return nil
	}
	one, ok := session.find(form.Number)
	if !ok || !session.server.enter() {
		*answer = encoder.FromReply(lagoonlanding.Refuse(request, lagoonlanding.ReasonShuttingDown), session.now())
		return nil
	}
	defer session.server.leave()
	reply := session.server.handler.OnForward(one.ctx, request)
	*answer = encoder.FromReply(reply, session.now())
	return nil
}

// Cancel ends a forwarded request that nobody waits for any more.
func (session *session) Cancel(form encoder.Cancellation, _ *encoder.Empty) error {
	if one, ok := session.find(form.Number); ok {
		one.cancel()
	}
	return nil
}

func (session *session) now() time.Time { return session.server.clock.Now() }

// respond turns the form into a value, lets the handler answer, and turns the answer into its form.
func respond[Q, A, R any](now time.Time, form lagoonlanding.Message[Q], answer *R, handle func(Q) A, encode func(A) R) error {
	value, err := form.Value(now)
	if err != nil {
		return err
	}
	*answer = encode(handle(value))
	return nil
}
