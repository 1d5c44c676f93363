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

// maxMessage bounds the bytes of one message, so that a broken peer cannot exhaust the memory.
const maxMessage = 16 << 20

var errTooLong = errors.New("the message is longer than the protocol allows")

// boundedReader fails once a message exceeds maxMessage; reset starts the next message.
type boundedReader struct {
	reader *bufio.Reader
	left   int
}

func (boundedreader *boundedReader) reset() { boundedreader.left = maxMessage }

func (boundedreader *boundedReader) Read(data []byte) (int, error) {
	if boundedreader.left <= 0 {
		return 0, errTooLong
	}
	n, err := boundedreader.reader.Read(data)
	boundedreader.left -= n
	return n, err
}

// ReadByte spares gob a buffer of its own.
func (boundedreader *boundedReader) ReadByte() (byte, error) {
	if boundedreader.left <= 0 {
		return 0, errTooLong
	}
	boundedreader.left--
	return boundedreader.reader.ReadByte()
}

// gobConn is the stream of gob values in both directions of a connection.
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

// write sends a header and a body; after an error the stream is of no further use.
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

// clientCodec notes what is under way, so that its link knows what was sent and whether the peer has gone silent.
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
	clientcodec.noteWrite(time.Now())
	return clientcodec.write(request, body)
}

func (clientcodec *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	err := clientcodec.readHeader(response)
	clientcodec.noteRead(time.Now(), err)
	return err
}

func (clientcodec *clientCodec) ReadResponseBody(body any) error { return clientcodec.readBody(body) }

func (clientcodec *clientCodec) Close() error {
	clientcodec.noteRead(time.Now(), io.EOF)
	return clientcodec.conn.Close()
}

func (clientcodec *clientCodec) noteWrite(now time.Time) {
	clientcodec.mutex.Lock()
	defer clientcodec.mutex.Unlock()
	if clientcodec.pending == 0 {
		clientcodec.waitStart = now
	}
	clientcodec.pending++
	clientcodec.writes++
	clientcodec.lastUse = now
}

func (clientcodec *clientCodec) noteRead(now time.Time, err error) {
	clientcodec.mutex.Lock()
	defer clientcodec.mutex.Unlock()
	if err != nil {
		clientcodec.closed = true
		return
	}
	clientcodec.pending--
	clientcodec.waitStart = now
}

// serverCodec tells its session of each request in the order of arrival, before net/rpc starts a goroutine for it,
// and of the end of the connection, before net/rpc waits for the requests that still run.
type serverCodec struct {
	*gobConn
	arrived func(body any)
	ended   func()
}

func (servercodec *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	err := servercodec.readHeader(request)
	if err != nil {
		servercodec.ended()
	}
	return err
}

func (servercodec *serverCodec) ReadRequestBody(body any) error {
	if err := servercodec.readBody(body); err != nil {
		return err
	}
	if body != nil {
		servercodec.arrived(body)
	}
	return nil
}

func (servercodec *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	return servercodec.write(response, body)
}

func (servercodec *serverCodec) Close() error { return servercodec.conn.Close() }
