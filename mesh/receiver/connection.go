package receiver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
	"lagoonlanding.example/lagoonlanding/mesh/drainer"
	"lagoonlanding.example/lagoonlanding/mesh/framer"
	"lagoonlanding.example/lagoonlanding/mesh/pipeliner"
)

const (
	// readBufferSize is the size of the read buffer of a connection in bytes.
	readBufferSize = 4 << 10
	// maxRequests limits the requests of one connection that have been read and not yet answered.
	maxRequests = 16
	// maxHeadBytes limits the size of their heads.
	maxHeadBytes = 64 << 10
	// lingerTimeout is how long a closed connection is read, so that a client that still sends receives the last response.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout limits the time of one write to a client that does not read, unless the memory budget sets a shorter time.
	writeTimeout = 30 * time.Second
)

// past is a deadline that interrupts a read.
var past = time.Unix(1, 0)

// connection is a client's connection. One goroutine reads requests and notices that the client has gone; each request runs in its own.
type connection struct {
	net.Conn
	config Config
	// memory counts what is held for the connection.
	memory *budgeter.Account
	reader *bufio.Reader
	writer *bufio.Writer
	codec  lagoonlanding.HeadCodec
	ctx    context.Context
	cancel context.CancelFunc
	// handlers counts the requests that run.
	handlers sync.WaitGroup
	// wake interrupts the reader while its buffer is full.
	wake chan struct{}

	mutex     sync.Mutex
	pipeline  *pipeliner.Pipeline
	exchanges []*exchange
	// isReadingHead means that a head is being read, to which its own timeout applies.
	isReadingHead bool
	// isHolding means that the reader has bytes of a request that may not be read yet.
	isHolding bool
	idleUntil time.Time
	// isReset means that closing the connection resets it.
	isReset bool
}

// newConnection returns a connection, or false if the memory budget has no room for it.
func newConnection(config Config, accepted net.Conn) (*connection, bool) {
	ctx, cancel := context.WithCancel(context.Background())
	created := &connection{
		Conn: accepted, config: config, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		pipeline:  pipeliner.New(pipeliner.Config{MaxRequests: maxRequests, MaxHeadBytes: maxHeadBytes}),
		idleUntil: time.Now().Add(config.IdleTimeout),
	}
	if !created.open() {
		cancel()
		return nil, false
	}
	created.codec = newTextCodec(config.MaxHeaderBytes, created.memory)
	created.reader, created.writer = bufio.NewReaderSize(accepted, readBufferSize), bufio.NewWriter(clientWriter{connection: created})
	return created, true
}

// serve reads requests until the connection ends, and closes it.
func (connection *connection) serve() {
	defer connection.memory.Close()
	defer connection.cancel()
	connection.mutex.Lock()
	connection.setReadDeadline(connection.idleUntil)
	connection.mutex.Unlock()
	for isFirst := true; connection.awaitRequest(); isFirst = false {
		if isFirst && connection.config.AllowsFrames {
			connection.negotiate()
		}
		request, size, err := connection.codec.ReadHead(connection.reader)
		var exchange *exchange
		switch {
		case err == nil:
			exchange = connection.add(request, size)
		case errorStatus(err) != 0:
			connection.config.Log.WithError(err).Info("Rejected a malformed request.")
			connection.reject(errorStatus(err))
		case isTimeout(err):
			connection.end()
		default:
			connection.abandon()
		}
		if exchange != nil && exchange.body != nil {
			<-exchange.body.done
		}
	}
	connection.handlers.Wait()
	connection.linger()
	connection.Close()
}

// negotiate selects the codec by the first byte of the connection.
func (connection *connection) negotiate() {
	if first, err := connection.reader.Peek(1); err == nil && first[0] == framer.Preface {
		connection.codec = newFramedCodec(connection.config.MaxHeaderBytes)
		// The byte is buffered, so discarding it cannot fail.
		_, _ = connection.reader.Discard(1)
	}
}

// awaitRequest waits for the first bytes of a request that may be read; it returns false once the connection has ended.
func (connection *connection) awaitRequest() bool {
	for {
		connection.mutex.Lock()
		buffered := connection.reader.Buffered()
		mayRead := connection.pipeline.MayRead()
		switch {
		case connection.pipeline.HasEnded() && connection.pipeline.IsEmpty():
			connection.mutex.Unlock()
			return false
		case mayRead && buffered > 0:
			connection.isReadingHead, connection.isHolding = true, false
			connection.setReadDeadline(time.Now().Add(connection.config.HeaderTimeout))
			connection.mutex.Unlock()
			return true
		}
		connection.isHolding = buffered > 0
		connection.mutex.Unlock()
		// Bytes behind those that may not be read yet, or their end, show whether the client is still there.
		_, err := connection.reader.Peek(buffered + 1)
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			<-connection.wake
		case isTimeout(err):
			if connection.isIdle() {
				connection.end()
			}
		default:
			connection.abandon()
		}
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// isIdle reports whether the idle timeout has passed, and otherwise clears the deadline that interrupted the reader.
func (connection *connection) isIdle() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.pipeline.IsEmpty() {
		connection.setReadDeadline(time.Time{})
		return false
	}
	if time.Now().Before(connection.idleUntil) {
		connection.setReadDeadline(connection.idleUntil)
		return false
	}
	return true
}

// setReadDeadline sets the deadline for the reader; it fails only on a closed connection, whose next read fails as well.
func (connection *connection) setReadDeadline(at time.Time) {
	if err := connection.SetReadDeadline(at); err != nil {
		connection.config.Log.WithError(err).Debug("Cannot set the read deadline of a closed connection.")
	}
}

// interrupt makes the read in progress return.
func (connection *connection) interrupt() {
	connection.setReadDeadline(past)
	select {
	case connection.wake <- struct{}{}:
	default:
	}
}

// add appends a request that has been read, and starts it unless it waits for those before it; it returns nil if it is not passed on.
func (connection *connection) add(request *http.Request, size int) *exchange {
	admission := connection.config.Drain.Begin()
	if admission == drainer.Unread {
		connection.end()
		return nil
	}
	body := newRequestBody(connection, request)
	overlaps := body == nil && !request.Close && connection.config.Overlaps != nil && connection.config.Overlaps(request)
	exchange := newExchange(connection, request, body, admission)
	exchange.memory.Charge(budgeter.Heads, size)
	if body == nil && request.ContentLength > 0 {
		exchange.memory.Charge(budgeter.Requests, int(request.ContentLength))
	}
	if !connection.enqueue(exchange, pipeliner.EntryConfig{Overlaps: overlaps, Last: request.Close || !request.ProtoAtLeast(1, 1), HeadBytes: size}) {
		connection.config.Drain.End(admission)
		exchange.memory.Close()
		return nil
	}
	return exchange
}

// reject appends a response to a malformed request, after which the connection is closed.
func (connection *connection) reject(status int) {
	if connection.config.Drain.Begin() == drainer.Unread {
		connection.end()
		return
	}
	rejected := newExchange(connection, &http.Request{ProtoMajor: 1, ProtoMinor: 1}, nil, drainer.Admitted)
	rejected.rejectStatus = status
	if !connection.enqueue(rejected, pipeliner.EntryConfig{Last: true}) {
		connection.config.Drain.End(rejected.admission)
		rejected.memory.Close()
	}
}

func (connection *connection) enqueue(exchange *exchange, config pipeliner.EntryConfig) bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.isReadingHead = false
	entry, ok := connection.pipeline.Add(config)
	if !ok {
		return false
	}
	connection.setReadDeadline(time.Time{})
	connection.memory.SetIdle(time.Time{})
	exchange.entry = entry
	connection.exchanges = append(connection.exchanges, exchange)
	if connection.pipeline.IsFirst(entry) {
		close(exchange.turn)
	} else {
		connection.config.Meter.ReadAhead()
	}
	if entry.State() == pipeliner.Running {
		connection.start(exchange)
	}
	return true
}

// start runs a request; the mutex must be locked.
func (connection *connection) start(exchange *exchange) {
	exchange.started = true
	connection.handlers.Go(exchange.run)
}

// finish removes the first request, and lets the next one answer.
func (connection *connection) finish(finished *exchange) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.pipeline.IsFirst(finished.entry) {
		// The client has gone.
		return
	}
	connection.pipeline.Finish()
	connection.exchanges = connection.exchanges[1:]
	if len(connection.exchanges) > 0 {
		next := connection.exchanges[0]
		close(next.turn)
		if !next.started {
			connection.start(next)
		}
	}
	switch {
	case connection.pipeline.HasEnded() && connection.pipeline.IsEmpty(), connection.isHolding && connection.pipeline.MayRead():
		connection.interrupt()
	case connection.pipeline.IsEmpty() && !connection.isReadingHead:
		connection.idleUntil = time.Now().Add(connection.config.IdleTimeout)
		connection.setReadDeadline(connection.idleUntil)
		connection.setIdle()
	}
}

// fail ends the connection after a response that is incomplete or whose request was not read to its end.
func (connection *connection) fail(failed *exchange, mustReset bool) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.pipeline.IsFirst(failed.entry) {
		return
	}
	connection.pipeline.Cancel()
	connection.cancelFrom(1)
	if mustReset {
		// Only a reset shows that a response which ends with the connection is incomplete.
		connection.isReset = setReset(connection.Conn)
	}
}

// answer reports whether the response to the first request closes the connection, and cancels the requests behind it if it does.
func (connection *connection) answer(handlerCloses bool) bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	closes := connection.pipeline.Answer(handlerCloses, connection.config.Drain.IsStopping())
	if handlerCloses {
		connection.cancelFrom(1)
	}
	return closes
}

// cancelFrom cancels the requests from an index on; the mutex must be locked.
func (connection *connection) cancelFrom(index int) {
	if len(connection.exchanges) <= index {
		return
	}
	connection.config.Log.WithField("client", connection.RemoteAddr().String()).WithField("first", connection.exchanges[index].request.RequestURI).
		WithField("requests", len(connection.exchanges)-index).Info("Requests of a connection that ends were cancelled.")
	for _, cancelled := range connection.exchanges[index:] {
		cancelled.cancel()
		if cancelled.started {
			continue
		}
		connection.config.Drain.End(cancelled.admission)
		cancelled.memory.Close()
		if cancelled.body != nil {
			cancelled.body.close()
		}
	}
	connection.exchanges = connection.exchanges[:index]
}

// end stops reading requests; those that have been read are answered.
func (connection *connection) end() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.isReadingHead = false
	connection.pipeline.End()
	connection.setReadDeadline(time.Time{})
}

// abandon cancels all requests because the client has gone.
func (connection *connection) abandon() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.isReadingHead = false
	connection.pipeline.Clear()
	connection.cancelFrom(0)
	connection.cancel()
	connection.Close()
}

// linger ends the response stream and reads what the client still sends, since unread bytes would reset the connection and the last
// response with it.
func (connection *connection) linger() {
	half, ok := connection.Conn.(interface{ CloseWrite() error })
	connection.mutex.Lock()
	isReset := connection.isReset
	connection.mutex.Unlock()
	if !ok || isReset || connection.ctx.Err() != nil || half.CloseWrite() != nil {
		return
	}
	connection.setReadDeadline(time.Now().Add(lingerTimeout))
	if _, err := io.Copy(io.Discard, io.LimitReader(connection.Conn, maxDiscarded)); err != nil && !isTimeout(err) {
		connection.config.Log.WithError(err).Debug("Closed connection ended with an error.")
	}
}
