package lagoonlanding

import "time"

// Codec turns values of one type into what the store holds, and back.
type Codec[T any] interface {
	// Encode returns the bytes that the store holds for the value.
	Encode(value T) ([]byte, error)
	// Decode returns the value that an entry of the store holds.
	Decode(entry Entry) (T, error)
}

// Differ turns two values of one type into a difference, and a value and a difference into the other value.
type Differ[T any] interface {
	// Difference returns the bytes that turn the old value into the new one.
	Difference(old, new T) ([]byte, error)
	// Apply returns the new value; it fails if the difference is not to the old one.
	Apply(old T, difference []byte) (T, error)
}

// Message is the form of a value on the way between daemons; times in it are relative to the moment of sending.
type Message[T any] interface {
	// Value returns the value for a receiver whose clock shows now, and an error if no sender of this version forms it.
	Value(now time.Time) (T, error)
}
