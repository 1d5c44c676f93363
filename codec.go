package lagoonlanding

// Codec turns values of one type into what the store holds, and back.
type Codec[T any] interface {
	// Encode returns the bytes that the store holds for the value.
	Encode(value T) ([]byte, error)
	// Decode returns the value that an entry of the store holds.
	Decode(entry Entry) (T, error)
}
