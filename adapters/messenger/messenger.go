package messenger

import (
	"context"
	"fmt"
	"sync/atomic"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
)

const (
	// defaultConnections bounds the connections to peers if the configuration names no bound.
	defaultConnections = 512
	// forwardConnections is the number of connections to a peer for forwarded requests with small bodies.
	forwardConnections = 2
	// bulkBody is the size from which a body travels on a connection of its own.
	bulkBody = 32 << 10
)

// Config holds what a Messenger needs.
type Config struct {
	// Clock gives the time for the deadlines in messages.
	Clock lagoonlanding.Clock
	// MaxConnections bounds the connections to all peers together; zero for the default.
	MaxConnections int
	// Traffic counts the bytes; nil for none.
	Traffic *Traffic
}

// Messenger sends messages to other daemons.
type Messenger struct {
	clock  lagoonlanding.Clock
	pool   *pool
	number atomic.Uint64
}

var _ lagoonlanding.Peers = (*Messenger)(nil)

// New returns a messenger that opens connections as they are needed.
func New(config Config) *Messenger {
	if config.MaxConnections == 0 {
		config.MaxConnections = defaultConnections
	}
	if config.Traffic == nil {
		config.Traffic = &Traffic{}
	}
	return &Messenger{clock: config.Clock, pool: newPool(config.MaxConnections, config.Traffic)}
}

// Close ends all connections; the outcome of calls under way is unknown to their callers.
func (messenger *Messenger) Close() { messenger.pool.close() }

// Renew asks a witness to keep a lease.
func (messenger *Messenger) Renew(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.RenewRequest) (lagoonlanding.RenewReply, error) {
	form := encoder.FromRenewRequest(request)
	return ask[lagoonlanding.RenewReply, encoder.RenewReply](ctx, messenger, to, LaneControl, methodRenew, form)
}

// Clear asks a prior witness which members can no longer serve.
func (messenger *Messenger) Clear(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.ClearanceRequest) (lagoonlanding.ClearanceReply, error) {
	form := encoder.FromClearanceRequest(request)
	return ask[lagoonlanding.ClearanceReply, encoder.ClearanceReply](ctx, messenger, to, LaneControl, methodClear, form)
}

// Join asks a coordinator to add an instance or to let it leave.
func (messenger *Messenger) Join(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.JoinRequest) (lagoonlanding.JoinReply, error) {
	form := encoder.FromJoinRequest(request)
	return ask[lagoonlanding.JoinReply, encoder.JoinReply](ctx, messenger, to, LaneControl, methodJoin, form)
}

// Directory asks for newer entries of the store.
func (messenger *Messenger) Directory(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.DirectoryRequest) (lagoonlanding.DirectoryReply, error) {
	form := encoder.FromDirectoryRequest(request)
	return ask[lagoonlanding.DirectoryReply, encoder.DirectoryReply](ctx, messenger, to, LaneTransfer, methodDirectory, form)
}

// Notify tells of a newer record.
func (messenger *Messenger) Notify(ctx context.Context, to lagoonlanding.Instance, notice lagoonlanding.RecordNotice) error {
	form, err := encoder.FromRecordNotice(notice)
	if err != nil {
		return notSent(err)
	}
	link, err := messenger.pool.link(ctx, place{address: to.PeerAddress(), lane: LaneControl})
	if err == nil {
		err = link.call(ctx, methodNotify, form, &encoder.Empty{})
	}
	return explain(err, methodNotify, to)
}

// HandOver gives a shard to its new owner.
func (messenger *Messenger) HandOver(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.HandoverRequest) (lagoonlanding.HandoverReply, error) {
	form := encoder.FromHandoverRequest(request, messenger.clock.Now())
	return ask[lagoonlanding.HandoverReply, encoder.HandoverReply](ctx, messenger, to, LaneTransfer, methodHandOver, form)
}

// Status asks for what the instance knows of a group.
func (messenger *Messenger) Status(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.StatusRequest) (lagoonlanding.GroupStatus, error) {
	form := encoder.FromStatusRequest(request)
	return ask[lagoonlanding.GroupStatus, encoder.GroupStatus](ctx, messenger, to, LaneTransfer, methodStatus, form)
}

// Accuse tells the instance of suspects and returns those that it knows.
func (messenger *Messenger) Accuse(ctx context.Context, to lagoonlanding.Instance, notice lagoonlanding.SuspectNotice) (lagoonlanding.SuspectNotice, error) {
	form := encoder.FromSuspectNotice(notice, messenger.clock.Now())
	return ask[lagoonlanding.SuspectNotice, encoder.SuspectNotice](ctx, messenger, to, LaneTransfer, methodAccuse, form)
}

// Forward passes a caller's request on and cancels it at the peer once ctx ends.
func (messenger *Messenger) Forward(ctx context.Context, to lagoonlanding.Instance, request lagoonlanding.Request) (lagoonlanding.Reply, error) {
	number := messenger.number.Add(1)
	link, err := messenger.pool.link(ctx, forwardPlace(to, request, number))
	if err != nil {
		return lagoonlanding.Reply{}, explain(err, methodForward, to)
	}
	form := encoder.ForwardCall{Number: number, Request: encoder.FromRequest(request, messenger.clock.Now())}
	answer := &encoder.Reply{}
	if err := link.call(ctx, methodForward, form, answer); err != nil {
		if ctx.Err() != nil && !isNotSent(err) {
			go link.cancel(number)
		}
		return lagoonlanding.Reply{}, explain(err, methodForward, to)
	}
	reply, err := answer.Value(messenger.clock.Now())
	if err == nil && reply.RequestID() != request.ID() {
		err = lagoonlanding.ErrMismatched
	}
	return reply, explain(err, methodForward, to)
}

func forwardPlace(to lagoonlanding.Instance, request lagoonlanding.Request, number uint64) place {
	if len(request.Body()) >= bulkBody {
		return place{address: to.PeerAddress(), lane: LaneBulk}
	}
	return place{address: to.PeerAddress(), lane: LaneForward, number: int(number % forwardConnections)}
}

// ask sends a message whose answer of form M stands for a value of type A.
func ask[A any, M lagoonlanding.Message[A]](
	ctx context.Context, messenger *Messenger, to lagoonlanding.Instance, lane Lane, method string, form any,
) (A, error) {
	var none A
	link, err := messenger.pool.link(ctx, place{address: to.PeerAddress(), lane: lane})
	if err != nil {
		return none, explain(err, method, to)
	}
	answer := new(M)
	if err := link.call(ctx, method, form, answer); err != nil {
		return none, explain(err, method, to)
	}
	value, err := (*answer).Value(messenger.clock.Now())
	return value, explain(err, method, to)
}

func explain(err error, method string, to lagoonlanding.Instance) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s to %s at %s: %w", method, to.ID().Name(), to.PeerAddress(), err)
}
