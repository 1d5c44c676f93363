package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
)

const (
	// silenceLimit is how long a control connection may leave calls unanswered before it is replaced.
	silenceLimit = 700 * time.Millisecond
	// maxPending bounds the unanswered calls of one connection, among them those that nobody waits for any more.
	maxPending = 4096
	// cancelTimeout bounds the wait to send a cancellation.
	cancelTimeout = time.Second
)

// link is one connection to a peer.
type link struct {
	lane   Lane
	client *rpc.Client
	codec  *clientCodec
	// turn is held while a call is written, so that one who waits for it can give up.
	turn chan struct{}
}

func newLink(conn net.Conn, lane Lane) *link {
	codec := &clientCodec{gobConn: newGobConn(conn), lastUse: time.Now()}
	return &link{lane: lane, client: rpc.NewClientWithCodec(codec), codec: codec, turn: make(chan struct{}, 1)}
}

// isUsable reports whether further calls may be sent.
func (link *link) isUsable(now time.Time) bool {
	link.codec.mutex.Lock()
	defer link.codec.mutex.Unlock()
	if link.codec.closed || link.codec.pending >= maxPending {
		return false
	}
	isSilent := link.codec.pending > 0 && now.Sub(link.codec.waitStart) >= silenceLimit
	return !link.lane.IsControl() || !isSilent
}

// isIdle reports whether no call waits for its answer.
func (link *link) isIdle() bool {
	link.codec.mutex.Lock()
	defer link.codec.mutex.Unlock()
	return link.codec.closed || link.codec.pending == 0
}

// isSpent reports whether the connection has ended or has carried nothing for long.
func (link *link) isSpent(now time.Time) bool {
	link.codec.mutex.Lock()
	defer link.codec.mutex.Unlock()
	return link.codec.closed || link.codec.pending == 0 && now.Sub(link.codec.lastUse) >= idleLimit
}

func (link *link) lastUse() time.Time {
	link.codec.mutex.Lock()
	defer link.codec.mutex.Unlock()
	return link.codec.lastUse
}

func (link *link) close() { _ = link.client.Close() }

// call sends the message and waits for its answer; the error wraps ErrNotSent if nothing of the message was written.
func (link *link) call(ctx context.Context, method string, args, answer any) error {
	call, err := link.send(ctx, method, args, answer)
	if err != nil {
		return err
	}
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return fmt.Errorf("wait for the answer to %s: %w", method, ctx.Err())
	}
}

func (link *link) send(ctx context.Context, method string, args, answer any) (*rpc.Call, error) {
	if ctx.Err() != nil {
		return nil, notSent(ctx.Err())
	}
	select {
	case link.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, notSent(ctx.Err())
	}
	defer func() { <-link.turn }()
	// Only the holder of the turn makes the codec write, so an unchanged count proves that this call was not written.
	before := link.codec.writes
	call := link.client.Go(serviceName+"."+method, args, answer, make(chan *rpc.Call, 1))
	if link.codec.writes == before {
		<-call.Done
		return nil, notSent(call.Error)
	}
	return call, nil
}

// cancel tells the peer that nobody waits for the forwarded request any more.
func (link *link) cancel(number uint64) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = link.call(ctx, methodCancel, encoder.Cancellation{Number: number}, &encoder.Empty{})
}

func notSent(cause error) error { return fmt.Errorf("%w: %w", lagoonlanding.ErrNotSent, cause) }

// isNotSent reports whether the error proves that the message did not leave this process.
func isNotSent(err error) bool { return errors.Is(err, lagoonlanding.ErrNotSent) }
