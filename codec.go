package lagoonlanding

import (
	"bufio"
	"net/http"
	"time"
)

// Codec serializes values of one type for the store.
type Codec[T any] interface {
	// Encode returns the serialized value.
	Encode(value T) ([]byte, error)
	// Decode returns the value of a store entry.
	Decode(entry Entry) (T, error)
}

// Differ computes and applies binary differences between two values of one type.
type Differ[T any] interface {
	// Difference returns a patch from the old value to the new one.
	Difference(old, new T) ([]byte, error)
	// Apply applies the patch to the old value; it fails if the patch was computed from another value.
	Apply(old T, difference []byte) (T, error)
}

// Message is the wire format of a value sent between daemons; its times are relative to the time of sending.
type Message[T any] interface {
	// Value returns the decoded value with times relative to now, or an error if no sender of this protocol version sends such a message.
	Value(now time.Time) (T, error)
}

// NoBody is the length of a message without a body.
const NoBody = -2

// HeadCodec reads and writes the heads of the messages on one connection.
type HeadCodec interface {
	// ReadHead reads the head of a request, without its body, and returns its size in bytes.
	ReadHead(reader *bufio.Reader) (request *http.Request, size int, err error)
	// WriteHead writes the head of a response; length is that of the body in bytes, -1 if it is sent in chunks, NoBody if there is none.
	WriteHead(writer *bufio.Writer, status int, header http.Header, length int64) error
}
