package encoder

import (
	"errors"
	"fmt"

	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// Size limits of an encoded set.
const (
	// MaxSetSize is the maximum size in bytes of an encoded set; the store accepts values up to one megabyte.
	MaxSetSize = 1000000
	// MaxUncompressedSetSize is the maximum size in bytes of a set after decompression.
	MaxUncompressedSetSize = 16 << 20
)

// setFormat is the first byte of an encoded set; it stands for deflate-compressed JSON.
const setFormat = 1

// ErrSetTooLarge means that the encoded set exceeds the size limits.
var ErrSetTooLarge = errors.New("the encoded set exceeds the size limit")

// Sets is the codec for published sets in the store.
type Sets struct{}

var _ lagoonlanding.Codec[*publisher.Set] = Sets{}

// Encode returns the stored value of the set.
func (sets Sets) Encode(set *publisher.Set) ([]byte, error) {
	value, err := marshalCompressed(toWireSet(set))
	if err != nil {
		return nil, fmt.Errorf("encode set %d: %w", set.Version(), err)
	}
	return value, nil
}

// Decode returns the set of the store entry.
func (sets Sets) Decode(entry lagoonlanding.Entry) (*publisher.Set, error) {
	var wire wireSet
	if err := unmarshalCompressed(entry.Value(), &wire); err != nil {
		return nil, oops.In("encoder").Wrapf(err, "decode set %s", entry.Key())
	}
	return wire.set(), nil
}
