package receiver

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
	"lagoonlanding.example/lagoonlanding/mesh/framer"
)

const (
	// maxDiscarded is how many bytes of an unread body are read after the response, so that the connection can be reused.
	maxDiscarded = 256 << 10
	// discardTimeout limits the time for that.
	discardTimeout = 500 * time.Millisecond
)

// requestBody is the body of a request; it can be closed while another goroutine reads it.
type requestBody struct {
	connection *connection
	// memory counts what is held for the request.
	memory *budgeter.Account
	// onRead is called before the first read.
	onRead func()
	// done is closed once the body has been read to its end or closed.
	done  chan struct{}
	ended atomic.Bool

	mutex     sync.Mutex
	framed    io.Reader
	isChunked bool
	// remaining is the number of bytes left of a body with a declared length.
	remaining int64
	closed    bool
	hasRead   bool
}

// newRequestBody returns the body of a request as framed by its head, or nil if nothing of it is left to read.
//
// A body that has arrived with its head is set at once, so that the connection can be watched for the client's departure.
func newRequestBody(connection *connection, request *http.Request) *requestBody {
	isChunked := len(request.TransferEncoding) > 0
	request.Body = http.NoBody
	if !isChunked && request.ContentLength <= 0 {
		return nil
	}
	if !isChunked && request.ContentLength <= int64(connection.reader.Buffered()) {
		arrived := make([]byte, request.ContentLength)
		if _, err := io.ReadFull(connection.reader, arrived); err == nil {
			request.Body = io.NopCloser(bytes.NewReader(arrived))
			return nil
		}
	}
	length := request.ContentLength
	if isChunked {
		length = -1
	}
	return &requestBody{
		connection: connection, done: make(chan struct{}), framed: framer.NewBody(connection.reader, length), isChunked: isChunked, remaining: length,
	}
}

// Read reads from the connection; it fails once the body has been closed.
func (requestbody *requestBody) Read(data []byte) (int, error) {
	requestbody.mutex.Lock()
	defer requestbody.mutex.Unlock()
	if requestbody.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if !requestbody.hasRead {
		requestbody.hasRead = true
		requestbody.onRead()
	}
	return requestbody.read(data)
}

func (requestbody *requestBody) read(data []byte) (int, error) {
	if requestbody.ended.Load() {
		return 0, io.EOF
	}
	requestbody.memory.BeginRead(time.Now())
	count, err := requestbody.framed.Read(data)
	requestbody.memory.EndRead(time.Now(), count)
	requestbody.remaining -= int64(count)
	if errors.Is(err, io.EOF) {
		requestbody.end()
	}
	return count, err
}

func (requestbody *requestBody) end() {
	requestbody.ended.Store(true)
	requestbody.signal()
}

// signal closes done once; the mutex must be locked.
func (requestbody *requestBody) signal() {
	select {
	case <-requestbody.done:
	default:
		close(requestbody.done)
	}
}

// Close makes later reads fail.
func (requestbody *requestBody) Close() error {
	requestbody.close()
	return nil
}

// close ends the use of the body and reports whether the connection can be reused.
//
// A read in progress, by a goroutine that still sends the body on, is interrupted, and the connection cannot be reused.
func (requestbody *requestBody) close() bool {
	if !requestbody.mutex.TryLock() {
		requestbody.connection.interrupt()
		requestbody.mutex.Lock()
	}
	defer requestbody.mutex.Unlock()
	requestbody.closed = true
	requestbody.signal()
	return requestbody.ended.Load()
}

// discard reads the rest of a body that is not being read and reports whether it has ended.
func (requestbody *requestBody) discard() bool {
	if requestbody.ended.Load() {
		return true
	}
	if !requestbody.mutex.TryLock() {
		return false
	}
	defer requestbody.mutex.Unlock()
	if err := requestbody.connection.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return false
	}
	var data [4 << 10]byte
	for discarded := 0; discarded < maxDiscarded; {
		count, err := requestbody.read(data[:])
		discarded += count
		if err != nil {
			break
		}
	}
	// The connection's reader may already wait for the next head with a deadline of its own, so this one is not cleared.
	return requestbody.ended.Load()
}

// isDiscardable reports whether the rest of the body can probably be discarded: it is not being read, and the client has been asked to send it.
func (requestbody *requestBody) isDiscardable(expectsContinue bool) bool {
	if requestbody.ended.Load() {
		return true
	}
	if !requestbody.mutex.TryLock() {
		return false
	}
	defer requestbody.mutex.Unlock()
	return (requestbody.hasRead || !expectsContinue) && (requestbody.isChunked || requestbody.remaining <= maxDiscarded)
}
