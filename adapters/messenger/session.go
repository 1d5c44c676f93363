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

// The service and method names of net/rpc.
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

// session serves one connection from a peer; its exported methods are the RPC methods.
type session struct {
	server *Server
	ctx    context.Context
	mutex  sync.Mutex
	// inFlight maps the number of a forwarded request on this connection to the request.
	inFlight map[uint64]inFlightRequest
}

// inFlightRequest is a forwarded request that is being processed.
type inFlightRequest struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// serve handles calls until the connection closes, and then cancels the peer's requests in flight.
func (session *session) serve(conn net.Conn) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	session.ctx = ctx
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, session); err != nil {
		return err
	}
	server.ServeCodec(&serverCodec{gobConn: newGobConn(conn), onRequest: session.register, onClose: cancel})
	return nil
}

// register records a forwarded request before the next message is read, so that a later cancellation always finds it.
func (session *session) register(body any) {
	call, ok := body.(*encoder.ForwardCall)
	if !ok {
		return
	}
	var inflightrequest inFlightRequest
	if timeout := call.Request.Left; timeout > 0 {
		inflightrequest.ctx, inflightrequest.cancel = context.WithTimeout(session.ctx, timeout)
	} else {
		inflightrequest.ctx, inflightrequest.cancel = context.WithCancel(session.ctx)
	}
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.inFlight[call.Number] = inflightrequest
}

func (session *session) find(number uint64) (inFlightRequest, bool) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	inflightrequest, ok := session.inFlight[number]
	return inflightrequest, ok
}

func (session *session) finish(number uint64) {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if inflightrequest, ok := session.inFlight[number]; ok {
		inflightrequest.cancel()
		delete(session.inFlight, number)
	}
}

// Renew handles a lease renewal.
func (session *session) Renew(message encoder.RenewRequest, response *encoder.RenewReply) error {
	return respond(session.now(), message, response, session.server.handler.OnRenew, encoder.FromRenewReply)
}

// Clear handles a clearance request about the previous layout.
func (session *session) Clear(message encoder.ClearanceRequest, response *encoder.ClearanceReply) error {
	return respond(session.now(), message, response, session.server.handler.OnClear, encoder.FromClearanceReply)
}

// Join handles a request to join or leave a group.
func (session *session) Join(message encoder.JoinRequest, response *encoder.JoinReply) error {
	return respond(session.now(), message, response, session.server.handler.OnJoin, encoder.FromJoinReply)
}

// Status returns the status of a group as this instance sees it.
func (session *session) Status(message encoder.StatusRequest, response *encoder.GroupStatus) error {
	now := session.now()
	return respond(now, message, response, session.server.handler.OnStatus, func(status lagoonlanding.GroupStatus) encoder.GroupStatus {
		return encoder.FromGroupStatus(status, now)
	})
}

// Directory returns the entries of the store that are newer than a revision.
func (session *session) Directory(message encoder.DirectoryRequest, response *encoder.DirectoryReply) error {
	return respond(session.now(), message, response, session.server.handler.OnDirectory, encoder.FromDirectoryReply)
}

// HandOver handles the handover of a shard from its previous owner.
func (session *session) HandOver(message encoder.HandoverRequest, response *encoder.HandoverReply) error {
	return respond(session.now(), message, response, session.server.handler.OnHandover, encoder.FromHandoverReply)
}

// Notify handles a notice of a newer record.
func (session *session) Notify(message encoder.RecordNotice, _ *encoder.Empty) error {
	notice, err := message.Value(session.now())
	if err != nil {
		return err
	}
	session.server.handler.OnNotice(notice)
	return nil
}

// Accuse handles a notice of suspects and returns the suspects that this instance knows.
func (session *session) Accuse(message encoder.SuspectNotice, response *encoder.SuspectNotice) error {
	handler, ok := session.server.handler.(lagoonlanding.SuspectHandler)
	if !ok {
		return nil
	}
	now := session.now()
	return respond(now, message, response, handler.OnSuspects, func(notice lagoonlanding.SuspectNotice) encoder.SuspectNotice {
		return encoder.FromSuspectNotice(notice, now)
	})
}

// Forward handles a forwarded request; a malformed request gets the outcome not run.
func (session *session) Forward(message encoder.ForwardCall, response *encoder.Reply) error {
	defer session.finish(message.Number)
	request, err := message.Request.Value(session.now())
	if err != nil {
		*response = encoder.Reply{
			RequestID: message.Request.ID, Outcome: uint8(lagoonlanding.OutcomeNotRun), Reason: string(lagoonlanding.ReasonMalformed),
		}
		return nil
	}
	inflightrequest, ok := session.find(message.Number)
	if !ok || !session.server.beginRequest() {
		*response = encoder.FromReply(lagoonlanding.Refuse(request, lagoonlanding.ReasonShuttingDown), session.now())
		return nil
	}
	defer session.server.endRequest()
	reply := session.server.handler.OnForward(inflightrequest.ctx, request)
	*response = encoder.FromReply(reply, session.now())
	return nil
}

// Cancel cancels a forwarded request that its sender has abandoned.
func (session *session) Cancel(message encoder.Cancellation, _ *encoder.Empty) error {
	if inflightrequest, ok := session.find(message.Number); ok {
		inflightrequest.cancel()
	}
	return nil
}

func (session *session) now() time.Time { return session.server.clock.Now() }

// respond decodes the message, calls the handler and encodes its reply.
func respond[Q, A, R any](now time.Time, message lagoonlanding.Message[Q], response *R, handle func(Q) A, encode func(A) R) error {
	value, err := message.Value(now)
	if err != nil {
		return err
	}
	*response = encode(handle(value))
	return nil
}
