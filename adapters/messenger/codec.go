package messenger

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"
	"sync"
	"time"
)

// maxMessageSize limits the bytes of one message, so that a faulty peer cannot exhaust the memory.
const maxMessageSize = 16 << 20

var errMessageTooLarge = errors.New("the message exceeds the maximum message size")

// boundedReader fails when a message exceeds maxMessageSize; reset starts the next message.
type boundedReader struct {
	reader    *bufio.Reader
	remaining int
}

func (boundedreader *boundedReader) reset() { boundedreader.remaining = maxMessageSize }

func (boundedreader *boundedReader) Read(data []byte) (int, error) {
	if boundedreader.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := boundedreader.reader.Read(data)
	boundedreader.remaining -= n
	return n, err
}

// ReadByte implements io.ByteReader, without which gob adds its own buffer.
func (boundedreader *boundedReader) ReadByte() (byte, error) {
	if boundedreader.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	boundedreader.remaining--
	return boundedreader.reader.ReadByte()
}

// gobConn reads and writes a stream of gob values in each direction of a connection.
type gobConn struct {
	conn    io.Closer
	reader  *boundedReader
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newGobConn(conn io.ReadWriteCloser) *gobConn {
	reader := &boundedReader{reader: bufio.NewReader(conn)}
	buffer := bufio.NewWriter(conn)
	return &gobConn{
		conn: conn, reader: reader, decoder: gob.NewDecoder(reader), encoder: gob.NewEncoder(buffer), buffer: buffer,
	}
}

// write sends a header and a body; it closes the connection after an error, because the stream may then hold part of a message.
func (gobconn *gobConn) write(header, body any) error {
	err := gobconn.encoder.Encode(header)
	if err == nil {
		err = gobconn.encoder.Encode(body)
	}
	if err == nil {
		err = gobconn.buffer.Flush()
	}
	if err != nil {
		_ = gobconn.conn.Close()
	}
	return err
}

func (gobconn *gobConn) readHeader(header any) error {
	gobconn.reader.reset()
	return gobconn.decoder.Decode(header)
}

func (gobconn *gobConn) readBody(body any) error { return gobconn.decoder.Decode(body) }

// clientCodec tracks writes and pending calls, so that its connection knows what was sent and whether the peer still responds.
type clientCodec struct {
	*gobConn
	mutex     sync.Mutex
	writes    uint64
	pending   int
	waitStart time.Time
	lastUse   time.Time
	closed    bool
}

func (clientcodec *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	clientcodec.recordWrite(time.Now())
	return clientcodec.write(request, body)
}

func (clientcodec *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	err := clientcodec.readHeader(response)
	clientcodec.recordRead(time.Now(), err)
	return err
}

func (clientcodec *clientCodec) ReadResponseBody(body any) error { return clientcodec.readBody(body) }

func (clientcodec *clientCodec) Close() error {
	clientcodec.recordRead(time.Now(), io.EOF)
	return clientcodec.conn.Close()
}

func (clientcodec *clientCodec) recordWrite(now time.Time) {
	clientcodec.mutex.Lock()
	defer clientcodec.mutex.Unlock()
	if clientcodec.pending == 0 {
		clientcodec.waitStart = now
	}
	clientcodec.pending++
	clientcodec.writes++
	clientcodec.lastUse = now
}

func (clientcodec *clientCodec) recordRead(now time.Time, err error) {
	clientcodec.mutex.Lock()
	defer clientcodec.mutex.Unlock()
	if err != nil {
		clientcodec.closed = true
		return
	}
	clientcodec.pending--
	clientcodec.waitStart = now
}

// serverCodec calls onRequest for each request in the order of arrival, before net/rpc starts a goroutine for it,
// and onClose at the end of the connection, before net/rpc waits for the requests in flight.
type serverCodec struct {
	*gobConn
	onRequest func(body any)
	onClose   func()
}

func (servercodec *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	err := servercodec.readHeader(request)
	if err != nil {
		servercodec.onClose()
	}
	return err
}

func (servercodec *serverCodec) ReadRequestBody(body any) error {
	if err := servercodec.readBody(body); err != nil {
		return err
	}
	if body != nil {
		servercodec.onRequest(body)
	}
	return nil
}

func (servercodec *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	return servercodec.write(response, body)
}

func (servercodec *serverCodec) Close() error { return servercodec.conn.Close() }
