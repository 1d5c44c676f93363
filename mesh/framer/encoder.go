package framer

import (
	"bytes"
	"encoding/binary"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/net/http2/hpack"

	"lagoonlanding.example/lagoonlanding"
)

// Preface is the first byte that a daemon sends on a connection with compact heads; no HTTP/1.1 request starts with it.
const Preface = 0x01

const (
	// tableBytes is the size of the table of recent header fields in each direction of a connection.
	tableBytes = 2 << 10
	// rememberedFields is the number of slots for the hashes of recent fields.
	rememberedFields = 128
)

// The names of the fields that stand for the first line of a message.
const (
	fieldMethod    = ":method"
	fieldAuthority = ":authority"
	fieldPath      = ":path"
	fieldStatus    = ":status"
)

// Encoder encodes the heads of one direction of a connection; they must be sent in the order in which they were encoded.
type Encoder struct {
	block   bytes.Buffer
	encoder *hpack.Encoder
	// recent holds the hashes of recent fields: only a field that repeats is worth a place in the table.
	recent [rememberedFields]uint64
	// sequence numbers the heads, so that a message that was sent twice is not taken for the next one.
	sequence uint64
}

// NewEncoder returns an encoder for a new connection.
func NewEncoder() *Encoder {
	created := &Encoder{}
	created.encoder = hpack.NewEncoder(&created.block)
	created.encoder.SetMaxDynamicTableSizeLimit(tableBytes)
	created.encoder.SetMaxDynamicTableSize(tableBytes)
	return created
}

// Request returns the encoded head of a request.
func (encoder *Encoder) Request(request *http.Request) ([]byte, error) {
	encoder.block.Reset()
	target := request.URL.Opaque
	if target == "" {
		target = request.URL.EscapedPath()
	}
	if request.URL.ForceQuery || request.URL.RawQuery != "" {
		target += "?" + request.URL.RawQuery
	}
	fields := [][2]string{{fieldMethod, request.Method}, {fieldAuthority, request.Host}, {fieldPath, target}}
	return encoder.encode(fields, request.Header, BodyLength(request))
}

// Response returns the encoded head of a response; length is that of the body, -1 if it is sent in chunks, lagoonlanding.NoBody if there is none.
func (encoder *Encoder) Response(status int, header http.Header, length int64) ([]byte, error) {
	encoder.block.Reset()
	return encoder.encode([][2]string{{fieldStatus, strconv.Itoa(status)}}, header, length)
}

// BodyLength returns the length of a request's body, -1 if it is unknown, lagoonlanding.NoBody if there is none.
func BodyLength(request *http.Request) int64 {
	switch {
	case request.Body == nil || request.Body == http.NoBody:
		return lagoonlanding.NoBody
	case request.ContentLength == 0:
		return -1
	}
	return request.ContentLength
}

func (encoder *Encoder) encode(fields [][2]string, header http.Header, length int64) ([]byte, error) {
	for _, field := range fields {
		if err := encoder.field(field[0], field[1]); err != nil {
			return nil, err
		}
	}
	for name, values := range header {
		if name == "Content-Length" && length != lagoonlanding.NoBody || name == "Transfer-Encoding" {
			continue
		}
		for _, value := range values {
			if value == "" && name == "User-Agent" {
				// In net/http an empty value means that the field is not sent.
				continue
			}
			if err := encoder.field(strings.ToLower(name), value); err != nil {
				return nil, err
			}
		}
	}
	var err error
	switch {
	case length >= 0:
		err = encoder.field("content-length", strconv.FormatInt(length, 10))
	case length != lagoonlanding.NoBody:
		err = encoder.field("transfer-encoding", "chunked")
	}
	if err != nil {
		return nil, err
	}
	encoder.sequence++
	head := binary.AppendUvarint(nil, uint64(encoder.block.Len()))
	head = binary.AppendUvarint(head, encoder.sequence)
	return append(head, encoder.block.Bytes()...), nil
}

// field encodes one field, and puts it into the table if it has been encoded recently.
func (encoder *Encoder) field(name, value string) error {
	hash := xxhash.Sum64String(name + "\x00" + value)
	slot := &encoder.recent[hash%rememberedFields]
	isRecent := *slot == hash
	*slot = hash
	return encoder.encoder.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: !isRecent})
}
