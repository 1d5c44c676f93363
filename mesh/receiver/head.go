package receiver

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
	"lagoonlanding.example/lagoonlanding/mesh/framer"
)

var (
	errHeadTooLarge = errors.New("head too large")
	errMalformed    = errors.New("malformed request")
	errVersion      = errors.New("unsupported HTTP version")
	errMemory       = errors.New("no memory for the head")
	errStatus       = errors.New("invalid status of a response")
)

var (
	_ lagoonlanding.HeadCodec = (*textCodec)(nil)
	_ lagoonlanding.HeadCodec = (*framedCodec)(nil)
)

// textCodec reads and writes the heads of HTTP/1.1.
type textCodec struct {
	maxBytes int
	memory   *budgeter.Account
	text     []byte
	source   bytes.Reader
}

// parsers are the buffers of the parser of net/http, which are used only while a head is parsed.
var parsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// usualHeadBytes is the size up to which the buffer for heads is kept between requests; it is part of the cost of a connection.
const usualHeadBytes = 4 << 10

func newTextCodec(maxBytes int, memory *budgeter.Account) *textCodec {
	return &textCodec{maxBytes: maxBytes, memory: memory}
}

// ReadHead reads a head up to its empty line and returns the request without a body, and the size of the head.
func (textcodec *textCodec) ReadHead(reader *bufio.Reader) (*http.Request, int, error) {
	defer textcodec.shrink()
	if err := textcodec.collect(reader); err != nil {
		return nil, 0, err
	}
	textcodec.source.Reset(textcodec.text)
	parser := parsers.Get().(*bufio.Reader)
	defer parsers.Put(parser)
	parser.Reset(&textcodec.source)
	request, err := http.ReadRequest(parser)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return request, len(textcodec.text), textcodec.check(request)
}

// collect copies the lines of a head, without empty lines before it.
func (textcodec *textCodec) collect(reader *bufio.Reader) error {
	textcodec.text = textcodec.text[:0]
	start, size := 0, 0
	for {
		part, err := reader.ReadSlice('\n')
		if size += len(part); size > textcodec.maxBytes {
			return errHeadTooLarge
		}
		if !textcodec.collectPart(part) {
			return errMemory
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return err
		}
		isEmpty := len(bytes.TrimRight(textcodec.text[start:], "\r\n")) == 0
		switch {
		case isEmpty && start > 0:
			return nil
		case isEmpty:
			textcodec.text = textcodec.text[:0]
		}
		start = len(textcodec.text)
	}
}

// collectPart appends a part of a head; it returns false if there is no memory for it.
func (textcodec *textCodec) collectPart(part []byte) bool {
	if before := cap(textcodec.text); len(textcodec.text)+len(part) > max(before, usualHeadBytes) {
		grown := max(2*before, len(textcodec.text)+len(part))
		if !textcodec.memory.Reserve(budgeter.Heads, grown-before) {
			return false
		}
		textcodec.text = append(make([]byte, 0, grown), textcodec.text...)
	}
	textcodec.text = append(textcodec.text, part...)
	return true
}

// shrink releases the buffer of a head that was longer than usual.
func (textcodec *textCodec) shrink() {
	if cap(textcodec.text) > usualHeadBytes && textcodec.memory.Budget() != nil {
		textcodec.memory.Release(budgeter.Heads, cap(textcodec.text))
		textcodec.text = nil
	}
}

// check rejects what http.ReadRequest accepts but a server must not.
func (textcodec *textCodec) check(request *http.Request) error {
	if request.ProtoMajor != 1 {
		return errVersion
	}
	if err := framer.CheckFields(textcodec.text); err != nil {
		return err
	}
	hosts := 0
	for line := range bytes.Lines(textcodec.text) {
		if name, _, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(name, []byte("Host")) {
			hosts++
		}
	}
	if hosts > 1 || hosts == 0 && request.ProtoAtLeast(1, 1) {
		return fmt.Errorf("%w: %d Host headers", errMalformed, hosts)
	}
	for name, values := range request.Header {
		for _, value := range values {
			if framer.HasControl(value) {
				return fmt.Errorf("%w: control character in header %s", errMalformed, name)
			}
		}
	}
	return nil
}

// WriteHead writes the status line and the header.
func (textcodec *textCodec) WriteHead(writer *bufio.Writer, status int, header http.Header, length int64) error {
	if !lagoonlanding.IsFinalStatus(status) {
		return fmt.Errorf("%w: %03d", errStatus, status)
	}
	switch {
	case length >= 0:
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	case length != lagoonlanding.NoBody:
		header.Set("Transfer-Encoding", "chunked")
	}
	if _, err := fmt.Fprintf(writer, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status)); err != nil {
		return err
	}
	if err := header.Write(writer); err != nil {
		return err
	}
	_, err := writer.WriteString("\r\n")
	return err
}

// framedCodec reads and writes the compact heads of other daemons.
type framedCodec struct {
	decoder *framer.Decoder
	encoder *framer.Encoder
}

func newFramedCodec(maxBytes int) *framedCodec {
	return &framedCodec{decoder: framer.NewDecoder(maxBytes), encoder: framer.NewEncoder()}
}

// ReadHead reads the compact head of a request.
func (framedcodec *framedCodec) ReadHead(reader *bufio.Reader) (*http.Request, int, error) {
	return framedcodec.decoder.Request(reader)
}

// WriteHead writes the compact head of a response.
func (framedcodec *framedCodec) WriteHead(writer *bufio.Writer, status int, header http.Header, length int64) error {
	if !lagoonlanding.IsFinalStatus(status) {
		return fmt.Errorf("%w: %03d", errStatus, status)
	}
	head, err := framedcodec.encoder.Response(status, header, length)
	if err != nil {
		return err
	}
	_, err = writer.Write(head)
	return err
}

// errorStatus returns the HTTP status for a head that could not be read, zero if the connection can only be closed.
func errorStatus(err error) int {
	switch {
	case errors.Is(err, errHeadTooLarge), errors.Is(err, framer.ErrTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, errVersion):
		return http.StatusHTTPVersionNotSupported
	case errors.Is(err, errMalformed), errors.Is(err, framer.ErrMalformed):
		return http.StatusBadRequest
	}
	return 0
}
