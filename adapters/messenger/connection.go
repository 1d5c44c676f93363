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
	// responseTimeout is how long a control connection with pending calls may go without a response before it is replaced.
	responseTimeout = 700 * time.Millisecond
	// maxPending limits the pending calls of one connection, abandoned calls included.
	maxPending = 4096
	// cancelTimeout limits a cancellation call.
	cancelTimeout = time.Second
)

// connection is an RPC connection to a peer.
type connection struct {
	lane   Lane
	client *rpc.Client
	codec  *clientCodec
	// semaphore is held while a call is written; unlike a mutex, waiting for it can be cancelled.
	semaphore chan struct{}
}

func newConnection(conn net.Conn, lane Lane) *connection {
	codec := &clientCodec{gobConn: newGobConn(conn), lastUse: time.Now()}
	return &connection{lane: lane, client: rpc.NewClientWithCodec(codec), codec: codec, semaphore: make(chan struct{}, 1)}
}

// isUsable reports whether the connection accepts further calls.
func (connection *connection) isUsable(now time.Time) bool {
	connection.codec.mutex.Lock()
	defer connection.codec.mutex.Unlock()
	if connection.codec.closed || connection.codec.pending >= maxPending {
		return false
	}
	isUnresponsive := connection.codec.pending > 0 && now.Sub(connection.codec.waitStart) >= responseTimeout
	return !connection.lane.IsControl() || !isUnresponsive
}

// isIdle reports whether no call is pending.
func (connection *connection) isIdle() bool {
	connection.codec.mutex.Lock()
	defer connection.codec.mutex.Unlock()
	return connection.codec.closed || connection.codec.pending == 0
}

// isExpired reports whether the connection is closed or has been idle for idleTimeout.
func (connection *connection) isExpired(now time.Time) bool {
	connection.codec.mutex.Lock()
	defer connection.codec.mutex.Unlock()
	return connection.codec.closed || connection.codec.pending == 0 && now.Sub(connection.codec.lastUse) >= idleTimeout
}

func (connection *connection) lastUse() time.Time {
	connection.codec.mutex.Lock()
	defer connection.codec.mutex.Unlock()
	return connection.codec.lastUse
}

func (connection *connection) close() { _ = connection.client.Close() }

// call sends the message and waits for its response; the error wraps ErrNotSent if no part of the message was written.
func (connection *connection) call(ctx context.Context, method string, args, response any) error {
	call, err := connection.send(ctx, method, args, response)
	if err != nil {
		return err
	}
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return fmt.Errorf("wait for the response to %s: %w", method, ctx.Err())
	}
}

func (connection *connection) send(ctx context.Context, method string, args, response any) (*rpc.Call, error) {
	if ctx.Err() != nil {
		return nil, notSent(ctx.Err())
	}
	select {
	case connection.semaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, notSent(ctx.Err())
	}
	defer func() { <-connection.semaphore }()
	// Only the holder of the semaphore writes requests, so an unchanged count proves that this call was not written.
	before := connection.codec.writes
	call := connection.client.Go(serviceName+"."+method, args, response, make(chan *rpc.Call, 1))
	if connection.codec.writes == before {
		<-call.Done
		return nil, notSent(call.Error)
	}
	return call, nil
}

// cancel asks the peer to cancel the forwarded request.
func (connection *connection) cancel(number uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = connection.call(ctx, methodCancel, encoder.Cancellation{Number: number}, &encoder.Empty{})
}

// notSent wraps the cause in ErrNotSent.
func notSent(cause error) error { return fmt.Errorf("%w: %w", lagoonlanding.ErrNotSent, cause) }

// isNotSent reports whether the error proves that the message did not leave this process.
func isNotSent(err error) bool { return errors.Is(err, lagoonlanding.ErrNotSent) }
