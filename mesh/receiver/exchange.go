package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
	"lagoonlanding.example/lagoonlanding/mesh/drainer"
	"lagoonlanding.example/lagoonlanding/mesh/pipeliner"
)

// maxHeldBody is how many bytes of a response body are buffered while the responses before it are sent; a handler waits beyond that.
const maxHeldBody = 32 << 10

var errConnectionEnded = errors.New("connection ended before the response")

// exchange is a request and its response; it implements http.ResponseWriter.
type exchange struct {
	connection *connection
	request    *http.Request
	body       *requestBody
	admission  drainer.Admission
	// memory counts what is held for the request.
	memory *budgeter.Account
	// rejectStatus is the status for a malformed request, which is not passed to the handler.
	rejectStatus int
	ctx          context.Context
	cancel       context.CancelFunc
	// turn is closed once all requests before this one have been answered.
	turn chan struct{}
	// entry and started belong to the connection and are protected by its mutex.
	entry   *pipeliner.Entry
	started bool

	header http.Header
	status int
	held   []byte
	// declared is the length of the body as set by the handler, -1 if it has set none.
	declared int64
	written  int64

	// mutex protects the start of the response against a goroutine that reads the request body.
	mutex     sync.Mutex
	hasBegun  bool
	isChunked bool
	// isUndelimited means that the end of the body is that of the connection.
	isUndelimited bool
}

var _ http.ResponseWriter = (*exchange)(nil)

func newExchange(connection *connection, request *http.Request, body *requestBody, admission drainer.Admission) *exchange {
	exchange := &exchange{
		connection: connection, request: request, body: body, admission: admission, turn: make(chan struct{}), header: http.Header{}, declared: -1,
	}
	exchange.memory = connection.memory.OpenRequest()
	exchange.ctx, exchange.cancel = context.WithCancel(budgeter.NewContext(connection.ctx, exchange.memory))
	request.RemoteAddr = connection.RemoteAddr().String()
	if body != nil {
		body.onRead, body.memory = exchange.sendContinue, exchange.memory
		request.Body = body
	}
	return exchange
}

// run calls the handler and sends its response.
func (exchange *exchange) run() {
	defer exchange.connection.config.Drain.End(exchange.admission)
	defer exchange.memory.Close()
	defer exchange.cancel()
	ctx, release := exchange.connection.config.Drain.Bind(exchange.ctx)
	defer release()
	isComplete := exchange.handle(ctx)
	if exchange.await() != nil {
		exchange.endBody()
		return
	}
	isComplete = isComplete && exchange.complete() == nil
	if isReusable := exchange.endBody(); !isComplete || !isReusable {
		exchange.connection.fail(exchange, exchange.isUndelimited && !isComplete)
	}
	exchange.connection.finish(exchange)
}

// handle calls the handler with a request that ends with ctx; it returns false if the response is incomplete.
func (exchange *exchange) handle(ctx context.Context) (isComplete bool) {
	config := exchange.connection.config
	defer func() {
		failure := recover()
		if failure == nil {
			return
		}
		isComplete = false
		if err, ok := failure.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			return
		}
		config.Meter.Panicked()
		config.Log.WithField("panic", fmt.Sprint(failure)).WithField("target", exchange.request.RequestURI).WithField("stack", string(debug.Stack())).
			Error("Request handler panicked; the connection is closed without an answer.")
	}()
	switch {
	case exchange.rejectStatus != 0:
		exchange.header.Set("Connection", "close")
		if exchange.rejectStatus == http.StatusServiceUnavailable {
			delay := exchange.memory.Budget().RetryDelay(time.Now())
			exchange.header.Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
		}
		exchange.WriteHeader(exchange.rejectStatus)
	case exchange.admission == drainer.Refused:
		config.Refuse(exchange)
	default:
		config.Handler.ServeHTTP(exchange, exchange.request.WithContext(ctx))
	}
	return true
}

// await waits until all requests before this one have been answered.
func (exchange *exchange) await() error {
	select {
	case <-exchange.turn:
		return exchange.ctx.Err()
	default:
	}
	since := time.Now()
	select {
	case <-exchange.ctx.Done():
		return errConnectionEnded
	case <-exchange.turn:
	}
	exchange.connection.config.Meter.Held(time.Since(since))
	return exchange.ctx.Err()
}

// endBody makes sure that no goroutine reads the request body any more, and reports whether the connection can be reused.
func (exchange *exchange) endBody() bool {
	if exchange.body == nil {
		return true
	}
	isDiscarded := exchange.body.discard()
	return exchange.body.close() && isDiscarded
}

// sendContinue asks a client that waits for it to send the body.
func (exchange *exchange) sendContinue() {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if exchange.hasBegun || !exchange.expectsContinue() {
		return
	}
	if _, err := io.WriteString(exchange.connection, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		exchange.connection.config.Log.WithError(err).Debug("Cannot ask the client for its body; reading it fails as well.")
	}
}

func (exchange *exchange) expectsContinue() bool {
	return strings.EqualFold(exchange.request.Header.Get("Expect"), "100-continue")
}

// Header returns the header of the response.
func (exchange *exchange) Header() http.Header { return exchange.header }

// WriteHeader sets the status; the header is sent with the body.
func (exchange *exchange) WriteHeader(status int) {
	if exchange.status != 0 {
		return
	}
	exchange.status = status
	if text := exchange.header.Get("Content-Length"); text != "" {
		length, err := strconv.ParseInt(text, 10, 64)
		if err != nil || length < 0 {
			exchange.header.Del("Content-Length")
			return
		}
		exchange.declared = length
	}
}

// allowsBody reports whether the response has a body.
func (exchange *exchange) allowsBody() bool {
	return exchange.request.Method != http.MethodHead && exchange.status >= http.StatusOK &&
		exchange.status != http.StatusNoContent && exchange.status != http.StatusNotModified
}

// Write appends to the body; a long body is sent once all requests before this one have been answered.
func (exchange *exchange) Write(data []byte) (int, error) {
	exchange.WriteHeader(http.StatusOK)
	if !exchange.allowsBody() {
		return len(data), nil
	}
	if exchange.declared >= 0 && exchange.written+int64(len(data)) > exchange.declared {
		return 0, http.ErrContentLength
	}
	exchange.written += int64(len(data))
	if !exchange.hasBegun && len(exchange.held)+len(data) <= maxHeldBody && exchange.memory.Reserve(budgeter.Queues, len(data)) {
		exchange.held = append(exchange.held, data...)
		return len(data), nil
	}
	if !exchange.hasBegun {
		if err := exchange.await(); err != nil {
			return 0, err
		}
		if err := exchange.begin(exchange.declared); err != nil {
			return 0, err
		}
		if err := exchange.send(exchange.held); err != nil {
			return 0, err
		}
		exchange.memory.Release(budgeter.Queues, len(exchange.held))
		exchange.held = nil
	}
	if err := exchange.send(data); err != nil {
		return 0, err
	}
	return len(data), exchange.connection.writer.Flush()
}

// send writes a part of the body to the connection's buffer.
func (exchange *exchange) send(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	connection := exchange.connection
	if !exchange.isChunked {
		_, err := connection.writer.Write(data)
		return err
	}
	_, err := fmt.Fprintf(connection.writer, "%x\r\n%s\r\n", len(data), data)
	return err
}

// complete sends the rest of the response; it fails if the body is shorter than declared.
func (exchange *exchange) complete() error {
	exchange.WriteHeader(http.StatusOK)
	if exchange.allowsBody() && exchange.declared >= 0 && exchange.written != exchange.declared {
		return io.ErrUnexpectedEOF
	}
	if !exchange.hasBegun {
		if err := exchange.begin(exchange.written); err != nil {
			return err
		}
	}
	if err := exchange.send(exchange.held); err != nil {
		return err
	}
	if exchange.isChunked {
		if _, err := io.WriteString(exchange.connection.writer, "0\r\n\r\n"); err != nil {
			return err
		}
	}
	return exchange.connection.writer.Flush()
}

// begin writes the head of the response to the connection's buffer; length is that of the body, -1 if it is unknown.
func (exchange *exchange) begin(length int64) error {
	exchange.mutex.Lock()
	exchange.hasBegun = true
	exchange.mutex.Unlock()
	header, isOld := exchange.header, !exchange.request.ProtoAtLeast(1, 1)
	handlerCloses := strings.EqualFold(header.Get("Connection"), "close") || isOld ||
		exchange.body != nil && !exchange.body.isDiscardable(exchange.expectsContinue())
	closes := exchange.connection.answer(handlerCloses)
	header.Del("Connection")
	header.Del("Transfer-Encoding")
	switch {
	case !exchange.allowsBody():
		if exchange.request.Method != http.MethodHead {
			header.Del("Content-Length")
		}
		length = lagoonlanding.NoBody
	case length < 0 && isOld:
		exchange.isUndelimited = true
		length = lagoonlanding.NoBody
	case length < 0:
		exchange.isChunked = true
	}
	if closes {
		header.Set("Connection", "close")
	}
	return exchange.connection.codec.WriteHead(exchange.connection.writer, exchange.status, header, length)
}
