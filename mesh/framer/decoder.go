package framer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/net/http2/hpack"

	"lagoonlanding.example/lagoonlanding"
)

var (
	// ErrMalformed means that a head cannot be decoded.
	ErrMalformed = errors.New("malformed head")
	// ErrTooLarge means that a head exceeds the limit.
	ErrTooLarge = errors.New("head too large")
)

// Decoder decodes the heads of one direction of a connection.
type Decoder struct {
	maxBytes int
	decoder  *hpack.Decoder
	block    []byte
	// sequence is the number of the last head.
	sequence uint64
	// fields and size are those of the head that is being decoded.
	fields []hpack.HeaderField
	size   int
}

// NewDecoder returns a decoder for a new connection that rejects heads larger than maxBytes, encoded or decoded.
func NewDecoder(maxBytes int) *Decoder {
	created := &Decoder{maxBytes: maxBytes}
	created.decoder = hpack.NewDecoder(tableBytes, func(field hpack.HeaderField) {
		created.size += len(field.Name) + len(field.Value)
		if created.size <= maxBytes {
			created.fields = append(created.fields, field)
		}
	})
	created.decoder.SetMaxStringLength(maxBytes)
	return created
}

// head is a decoded head: its first-line fields by name, its header and the framing of its body.
type head struct {
	line   map[string]string
	header http.Header
	length int64
}

// Request reads the head of a request, without a body, and returns its encoded size in bytes.
func (decoder *Decoder) Request(reader *bufio.Reader) (*http.Request, int, error) {
	head, size, err := decoder.read(reader)
	if err != nil {
		return nil, 0, err
	}
	target := head.line[fieldPath]
	parsed, err := url.ParseRequestURI(target)
	if err != nil || head.line[fieldMethod] == "" {
		return nil, 0, fmt.Errorf("%w: invalid method or target", ErrMalformed)
	}
	request := &http.Request{
		Method: head.line[fieldMethod], URL: parsed, RequestURI: target, Host: head.line[fieldAuthority], Header: head.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: max(head.length, -1), Close: closes(head.header), Body: http.NoBody,
	}
	switch head.length {
	case lagoonlanding.NoBody:
		request.ContentLength = 0
	case -1:
		request.TransferEncoding = []string{"chunked"}
	}
	return request, size, nil
}

// Response reads a response to a request with the given method.
func (decoder *Decoder) Response(reader *bufio.Reader, method string) (*http.Response, error) {
	head, _, err := decoder.read(reader)
	if err != nil {
		return nil, err
	}
	status, err := strconv.Atoi(head.line[fieldStatus])
	if err != nil || !lagoonlanding.IsFinalStatus(status) {
		return nil, fmt.Errorf("%w: invalid status", ErrMalformed)
	}
	response := &http.Response{
		StatusCode: status, Header: head.header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: max(head.length, -1),
		Close: closes(head.header), Body: http.NoBody,
	}
	switch {
	case head.length == lagoonlanding.NoBody, method == http.MethodHead:
		response.ContentLength = max(head.length, 0)
	case head.length != 0:
		response.Body = io.NopCloser(NewBody(reader, head.length))
	}
	return response, nil
}

// closes reports whether the sender closes the connection behind the message.
func closes(header http.Header) bool { return strings.EqualFold(header.Get("Connection"), "close") }

// read reads and decodes one head.
func (decoder *Decoder) read(reader *bufio.Reader) (head, int, error) {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return head{}, 0, err
	}
	if size > uint64(decoder.maxBytes) {
		return head{}, 0, ErrTooLarge
	}
	sequence, err := binary.ReadUvarint(reader)
	if err != nil {
		return head{}, 0, errors.Join(io.ErrUnexpectedEOF, err)
	}
	if decoder.sequence++; sequence != decoder.sequence {
		return head{}, 0, fmt.Errorf("%w: message %d instead of %d", ErrMalformed, sequence, decoder.sequence)
	}
	if uint64(cap(decoder.block)) < size {
		decoder.block = make([]byte, size)
	}
	decoder.block = decoder.block[:size]
	if _, err := io.ReadFull(reader, decoder.block); err != nil {
		return head{}, 0, errors.Join(io.ErrUnexpectedEOF, err)
	}
	decoder.fields, decoder.size = decoder.fields[:0], 0
	if _, err := decoder.decoder.Write(decoder.block); err != nil {
		return head{}, 0, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := decoder.decoder.Close(); err != nil {
		return head{}, 0, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if decoder.size > decoder.maxBytes {
		return head{}, 0, ErrTooLarge
	}
	decoded, err := newHead(decoder.fields)
	return decoded, int(size), err
}

func newHead(fields []hpack.HeaderField) (head, error) {
	decoded := head{line: map[string]string{}, header: make(http.Header, len(fields)), length: lagoonlanding.NoBody}
	for _, field := range fields {
		if HasControl(field.Name) || HasControl(field.Value) {
			return head{}, fmt.Errorf("%w: control character in a field", ErrMalformed)
		}
		switch {
		case strings.HasPrefix(field.Name, ":"):
			decoded.line[field.Name] = field.Value
		case !httpguts.ValidHeaderFieldName(field.Name):
			return head{}, fmt.Errorf("%w: field name %q", ErrMalformed, field.Name)
		case field.Name == "transfer-encoding":
			decoded.length = -1
		default:
			name := http.CanonicalHeaderKey(field.Name)
			decoded.header[name] = append(decoded.header[name], field.Value)
		}
	}
	if decoded.length == -1 {
		decoded.header.Del("Content-Length")
	}
	if text := decoded.header.Get("Content-Length"); text != "" {
		length, err := strconv.ParseUint(text, 10, 63)
		if err != nil || len(decoded.header["Content-Length"]) > 1 {
			return head{}, fmt.Errorf("%w: invalid length", ErrMalformed)
		}
		decoded.length = int64(length)
	}
	return decoded, nil
}

// HasControl reports whether a field value contains a control character other than a tab.
func HasControl(value string) bool {
	for index := range len(value) {
		if octet := value[index]; octet < ' ' && octet != '\t' || octet == 0x7f {
			return true
		}
	}
	return false
}
