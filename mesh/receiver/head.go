package receiver

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/framer"
)

var (
	errHeadTooLarge = errors.New("head too large")
	errMalformed    = errors.New("malformed request")
	errVersion      = errors.New("unsupported HTTP version")
	errStatus       = errors.New("invalid status of a response")
)

var (
	_ lagoonlanding.HeadCodec = (*textCodec)(nil)
	_ lagoonlanding.HeadCodec = (*framedCodec)(nil)
)

// textCodec reads and writes the heads of HTTP/1.1.
type textCodec struct {
	maxBytes int
	text     []byte
	source   bytes.Reader
	parser   *bufio.Reader
}

func newTextCodec(maxBytes int) *textCodec {
	return &textCodec{maxBytes: maxBytes}
}

// ReadHead reads a head up to its empty line and returns the request without a body, and the size of the head.
func (textcodec *textCodec) ReadHead(reader *bufio.Reader) (*http.Request, int, error) {
	if err := textcodec.collect(reader); err != nil {
		return nil, 0, err
	}
	textcodec.source.Reset(textcodec.text)
	if textcodec.parser == nil {
		textcodec.parser = bufio.NewReaderSize(nil, readBufferSize)
	}
	textcodec.parser.Reset(&textcodec.source)
	request, err := http.ReadRequest(textcodec.parser)
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
		textcodec.text = append(textcodec.text, part...)
		if size += len(part); size > textcodec.maxBytes {
			return errHeadTooLarge
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

// check rejects what http.ReadRequest accepts but a server must not.
func (textcodec *textCodec) check(request *http.Request) error {
	if request.ProtoMajor != 1 {
		return errVersion
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
	case errors.Is(err, errVersion):
		return http.StatusHTTPVersionNotSupported
	case errors.Is(err, errMalformed), errors.Is(err, framer.ErrMalformed):
		return http.StatusBadRequest
	}
	return 0
}
