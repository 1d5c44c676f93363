package connector

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
	"lagoonlanding.example/lagoonlanding/mesh/framer"
)

const (
	// readBufferSize is the size of the read buffer of a connection in bytes.
	readBufferSize = 4 << 10
	// maxResponseHead limits the bytes that are read for the head of a response.
	maxResponseHead = 64 << 10
	// maxInformational limits the informational responses before a response.
	maxInformational = 8
)

var (
	errSending       = errors.New("the request is still being sent")
	errHeadTooLarge  = errors.New("response head too large")
	errInformational = errors.New("too many informational responses")
	errStatus        = errors.New("invalid status")
)

// connection is a TCP connection that serves one request at a time.
type connection struct {
	net.Conn
	// memory counts the connection until it is closed.
	memory  *budgeter.Budget
	address string
	reader  *bufio.Reader
	// requestedAt is when the last request was sent.
	requestedAt time.Time
	// releasedAt is when the connection became idle.
	releasedAt time.Time
	// expiresAt is when an idle connection is to be closed.
	expiresAt time.Time
	reused    bool
	// encoder and decoder are those of compact heads, nil on a connection with the heads of HTTP/1.1.
	encoder *framer.Encoder
	decoder *framer.Decoder
	// hasPreface means that the preface of compact heads has been written.
	hasPreface bool
	// headBytes is how many more bytes may be read for the head of a response; -1 while no head is read.
	headBytes int
	// received counts the bytes that were read since the last call of takeReceived.
	received atomic.Int64

	writing sync.Mutex
	// written counts the bytes of the current request that were written to the socket.
	written  int
	isClosed bool
}

func newConnection(dialed net.Conn, address string) *connection {
	created := &connection{Conn: dialed, address: address, headBytes: -1}
	created.reader = bufio.NewReaderSize(readerFunc(created.read), readBufferSize)
	return created
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(data []byte) (int, error)

// Read calls the function.
func (readerfunc readerFunc) Read(data []byte) (int, error) { return readerfunc(data) }

// read reads from the socket, and fails if a head has no end.
func (connection *connection) read(data []byte) (int, error) {
	if connection.headBytes == 0 {
		return 0, errHeadTooLarge
	}
	if connection.headBytes > 0 {
		data = data[:min(len(data), connection.headBytes)]
	}
	count, err := connection.Conn.Read(data)
	connection.received.Add(int64(count))
	if connection.headBytes > 0 {
		connection.headBytes -= count
	}
	return count, err
}

// begin prepares the connection for a request.
func (connection *connection) begin() {
	connection.requestedAt = time.Now()
	connection.received.Store(0)
	connection.writing.Lock()
	defer connection.writing.Unlock()
	connection.written = 0
}

// Write writes to the connection and counts the bytes.
func (connection *connection) Write(data []byte) (int, error) {
	connection.writing.Lock()
	defer connection.writing.Unlock()
	if connection.isClosed {
		return 0, net.ErrClosed
	}
	count, err := connection.Conn.Write(data)
	connection.written += count
	return count, err
}

// Close closes the connection, which interrupts a write in progress.
func (connection *connection) Close() error {
	err := connection.Conn.Close()
	connection.writing.Lock()
	defer connection.writing.Unlock()
	if !connection.isClosed {
		connection.memory.Count(budgeter.Connections, -budgeter.OutgoingCost)
	}
	connection.isClosed = true
	return err
}

// sentBytes returns how many bytes of the current request were written; it is final on a closed connection.
func (connection *connection) sentBytes() int {
	connection.writing.Lock()
	defer connection.writing.Unlock()
	return connection.written
}

// takeReceived returns how many bytes were read since its last call.
func (connection *connection) takeReceived() int {
	return int(connection.received.Swap(0))
}

// send writes the request; a panic in the reader of its body fails only this request.
func (connection *connection) send(request *http.Request) (err error) {
	defer func() {
		if failure := recover(); failure != nil {
			err = fmt.Errorf("panic while sending the request: %v\n%s", failure, debug.Stack())
		}
	}()
	writer := bufio.NewWriter(connection)
	err = connection.writeRequest(writer, request)
	return errors.Join(err, writer.Flush())
}

// writeRequest writes the request to the connection's writer.
func (connection *connection) writeRequest(writer *bufio.Writer, request *http.Request) error {
	if connection.encoder == nil {
		return request.Write(writer)
	}
	head, err := connection.encoder.Request(request)
	if err != nil {
		return err
	}
	if !connection.hasPreface {
		connection.hasPreface = true
		if err := writer.WriteByte(framer.Preface); err != nil {
			return err
		}
	}
	if _, err := writer.Write(head); err != nil {
		return err
	}
	if length := framer.BodyLength(request); length != lagoonlanding.NoBody {
		return framer.WriteBody(writer, request.Body, length)
	}
	return nil
}

// readResponse reads the head of a response after any informational responses.
func (connection *connection) readResponse(request *http.Request) (*http.Response, error) {
	connection.headBytes = maxResponseHead
	defer func() { connection.headBytes = -1 }()
	response, err := connection.parseResponse(request)
	if err != nil && connection.headBytes == 0 {
		// The parser may report the line that was cut off by the limit.
		err = errors.Join(errHeadTooLarge, err)
	}
	return response, err
}

func (connection *connection) parseResponse(request *http.Request) (*http.Response, error) {
	if connection.decoder != nil {
		return connection.decoder.Response(connection.reader, request.Method)
	}
	for range maxInformational {
		response, err := connection.readTextResponse(request)
		switch {
		case err != nil:
			return nil, err
		case lagoonlanding.IsFinalStatus(response.StatusCode):
			return response, nil
		case !isInterim(response.StatusCode):
			return nil, fmt.Errorf("%w: %03d", errStatus, response.StatusCode)
		}
	}
	return nil, errInformational
}

// isInterim reports whether a final response follows one with the status. No request asks for another protocol, so none may follow status 101.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// isReusable reports whether an idle connection has received nothing: neither a close nor bytes that belong to no request.
func (connection *connection) isReusable() bool {
	if connection.reader.Buffered() > 0 {
		return false
	}
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var octet [1]byte
	err = control.Read(func(descriptor uintptr) bool {
		_, _, failure := unix.Recvfrom(int(descriptor), octet[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = failure == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
