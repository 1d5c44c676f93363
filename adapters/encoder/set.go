package encoder

import (
	"errors"
	"fmt"

	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// The limits of an encoded set.
const (
	// MaxSetSize bounds the bytes of a set in the store, which holds values up to a megabyte.
	MaxSetSize = 1000000
	// MaxPlainSetSize bounds the bytes of a set after decompression.
	MaxPlainSetSize = 16 << 20
)

// setFormat is the first byte of an encoded set: compressed JSON.
const setFormat = 1

// ErrSetTooLarge says that the store could not hold the set.
var ErrSetTooLarge = errors.New("the encoded set is larger than the store holds")

// Sets encodes published sets for the store.
type Sets struct{}

var _ lagoonlanding.Codec[*publisher.Set] = Sets{}

// Encode returns the bytes that the store holds for the set.
func (sets Sets) Encode(set *publisher.Set) ([]byte, error) {
	value, err := compress(toWireSet(set))
	if err != nil {
		return nil, fmt.Errorf("encoding set %d: %w", set.Version(), err)
	}
	return value, nil
}

// Decode returns the set that an entry of the store holds.
func (sets Sets) Decode(entry lagoonlanding.Entry) (*publisher.Set, error) {
	var wire wireSet
	if err := decompress(entry.Value(), &wire); err != nil {
		return nil, oops.In("encoder").Wrapf(err, "decoding set %s", entry.Key())
	}
	return wire.set(), nil
}
