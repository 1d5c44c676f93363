package messenger

import (
	"context"
	"fmt"
	"sync/atomic"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
)

const (
	// defaultMaxConnections is the limit on connections to peers if the configuration sets none.
	defaultMaxConnections = 512
	// forwardConnections is the number of connections to a peer for forwarded requests with small bodies.
	forwardConnections = 2
	// bulkBodySize is the body size in bytes from which a request is sent on the bulk lane.
	bulkBodySize = 32 << 10
)

// Config holds the dependencies and limits of a Messenger.
type Config struct {
	// Clock returns the current time, from which the deadlines in messages are computed.
	Clock lagoonlanding.Clock
	// MaxConnections limits the connections to all peers in total; zero selects the default.
	MaxConnections int
	// Traffic counts the bytes sent and received; nil disables the counting.
	Traffic *Traffic
}

// Messenger sends messages to other daemons.
type Messenger struct {
	clock      lagoonlanding.Clock
	pool       *pool
	lastNumber atomic.Uint64
}

var _ lagoonlanding.Peers = (*Messenger)(nil)

// New returns a messenger that opens connections on demand.
func New(config Config) *Messenger {
	if config.MaxConnections == 0 {
		config.MaxConnections = defaultMaxConnections
	}
	if config.Traffic == nil {
		config.Traffic = &Traffic{}
	}
	return &Messenger{clock: config.Clock, pool: newPool(config.MaxConnections, config.Traffic)}
}

// Close closes all connections; callers of calls in flight get an error that leaves the outcome unknown.
func (messenger *Messenger) Close() { messenger.pool.close() }

// Renew asks a witness to renew a lease.
func (messenger *Messenger) Renew(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.RenewRequest) (lagoonlanding.RenewReply, error) {
	message := encoder.FromRenewRequest(request)
	return callPeer[lagoonlanding.RenewReply, encoder.RenewReply](ctx, messenger, to, LaneControl, methodRenew, message)
}

// Clear asks a witness of the previous layout which members can no longer serve.
func (messenger *Messenger) Clear(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.ClearanceRequest) (lagoonlanding.ClearanceReply, error) {
	message := encoder.FromClearanceRequest(request)
	return callPeer[lagoonlanding.ClearanceReply, encoder.ClearanceReply](ctx, messenger, to, LaneControl, methodClear, message)
}

// Join asks a coordinator to add an instance to a group or to remove it.
func (messenger *Messenger) Join(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.JoinRequest) (lagoonlanding.JoinReply, error) {
	message := encoder.FromJoinRequest(request)
	return callPeer[lagoonlanding.JoinReply, encoder.JoinReply](ctx, messenger, to, LaneControl, methodJoin, message)
}

// Directory requests the entries of the store that are newer than a revision.
func (messenger *Messenger) Directory(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.DirectoryRequest) (lagoonlanding.DirectoryReply, error) {
	message := encoder.FromDirectoryRequest(request)
	return callPeer[lagoonlanding.DirectoryReply, encoder.DirectoryReply](ctx, messenger, to, LaneTransfer, methodDirectory, message)
}

// Notify sends a newer record of a group.
func (messenger *Messenger) Notify(ctx context.Context, to lagoonlanding.Instance, notice lagoonlanding.RecordNotice) error {
	message, err := encoder.FromRecordNotice(notice)
	if err != nil {
		return notSent(err)
	}
	connection, err := messenger.pool.connection(ctx, connectionKey{address: to.PeerAddress(), lane: LaneControl})
	if err == nil {
		err = connection.call(ctx, methodNotify, message, &encoder.Empty{})
	}
	return wrapError(err, methodNotify, to)
}

// HandOver hands a shard over to its new owner.
func (messenger *Messenger) HandOver(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.HandoverRequest) (lagoonlanding.HandoverReply, error) {
	message := encoder.FromHandoverRequest(request, messenger.clock.Now())
	return callPeer[lagoonlanding.HandoverReply, encoder.HandoverReply](ctx, messenger, to, LaneTransfer, methodHandOver, message)
}

// Status requests the status of a group as the instance sees it.
func (messenger *Messenger) Status(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.StatusRequest) (lagoonlanding.GroupStatus, error) {
	message := encoder.FromStatusRequest(request)
	return callPeer[lagoonlanding.GroupStatus, encoder.GroupStatus](ctx, messenger, to, LaneTransfer, methodStatus, message)
}

// Accuse sends suspects to the instance and returns the suspects that it knows.
func (messenger *Messenger) Accuse(ctx context.Context, to lagoonlanding.Instance, notice lagoonlanding.SuspectNotice) (lagoonlanding.SuspectNotice, error) {
	message := encoder.FromSuspectNotice(notice, messenger.clock.Now())
	return callPeer[lagoonlanding.SuspectNotice, encoder.SuspectNotice](ctx, messenger, to, LaneTransfer, methodAccuse, message)
}

// Forward sends a caller's request to the peer and cancels it there when ctx is done.
func (messenger *Messenger) Forward(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.Request) (lagoonlanding.Reply, error) {
	number := messenger.lastNumber.Add(1)
	connection, err := messenger.pool.connection(ctx, forwardKey(to, request, number))
	if err != nil {
		return lagoonlanding.Reply{}, wrapError(err, methodForward, to)
	}
	message := encoder.ForwardCall{Number: number, Request: encoder.FromRequest(request, messenger.clock.Now())}
	response := &encoder.Reply{}
	if err := connection.call(ctx, methodForward, message, response); err != nil {
		if ctx.Err() != nil && !isNotSent(err) {
			go connection.cancel(number)
		}
		return lagoonlanding.Reply{}, wrapError(err, methodForward, to)
	}
	reply, err := response.Value(messenger.clock.Now())
	if err == nil && reply.RequestID() != request.ID() {
		err = lagoonlanding.ErrMismatched
	}
	return reply, wrapError(err, methodForward, to)
}

func forwardKey(to lagoonlanding.Instance, request lagoonlanding.Request, number uint64) connectionKey {
	if len(request.Body()) >= bulkBodySize {
		return connectionKey{address: to.PeerAddress(), lane: LaneBulk}
	}
	return connectionKey{address: to.PeerAddress(), lane: LaneForward, index: int(number % forwardConnections)}
}

// callPeer sends a message and decodes the response of wire type M into a value of type A.
func callPeer[A any, M lagoonlanding.Message[A]](
	ctx context.Context, messenger *Messenger, to lagoonlanding.Instance, lane Lane, method string, message any,
) (A, error) {
	var zero A
	connection, err := messenger.pool.connection(ctx, connectionKey{address: to.PeerAddress(), lane: lane})
	if err != nil {
		return zero, wrapError(err, method, to)
	}
	response := new(M)
	if err := connection.call(ctx, method, message, response); err != nil {
		return zero, wrapError(err, method, to)
	}
	value, err := (*response).Value(messenger.clock.Now())
	return value, wrapError(err, method, to)
}

// wrapError adds the method and the peer to the error.
func wrapError(err error, method string, to lagoonlanding.Instance) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s to %s at %s: %w", method, to.ID().Name(), to.PeerAddress(), err)
}
