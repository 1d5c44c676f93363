package encoder

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/publisher"
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
	plain, err := json.Marshal(toWireSet(set))
	if err != nil {
		return nil, oops.In("encoder").Wrapf(err, "encoding set %d", set.Version())
	}
	buffer := bytes.NewBuffer([]byte{setFormat})
	writer, err := flate.NewWriter(buffer, flate.DefaultCompression)
	if err != nil {
		return nil, oops.In("encoder").Wrapf(err, "compressing set %d", set.Version())
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, oops.In("encoder").Wrapf(err, "compressing set %d", set.Version())
	}
	if err := writer.Close(); err != nil {
		return nil, oops.In("encoder").Wrapf(err, "compressing set %d", set.Version())
	}
	if buffer.Len() > MaxSetSize || len(plain) > MaxPlainSetSize {
		return nil, fmt.Errorf("encoding set %d into %d bytes: %w", set.Version(), buffer.Len(), ErrSetTooLarge)
	}
	return buffer.Bytes(), nil
}

// Decode returns the set that an entry of the store holds.
func (sets Sets) Decode(entry lagoonlanding.Entry) (*publisher.Set, error) {
	value := entry.Value()
	if len(value) == 0 || value[0] != setFormat {
		return nil, oops.In("encoder").Errorf("decoding set %s: unknown format", entry.Key())
	}
	if len(value) > MaxSetSize {
		return nil, fmt.Errorf("decoding set %s: %w", entry.Key(), ErrSetTooLarge)
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value[1:])), MaxPlainSetSize+1))
	if err != nil {
		return nil, oops.In("encoder").Wrapf(err, "decompressing set %s", entry.Key())
	}
	if len(plain) > MaxPlainSetSize {
		return nil, fmt.Errorf("decompressing set %s: %w", entry.Key(), ErrSetTooLarge)
	}
	var wire wireSet
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return nil, oops.In("encoder").Wrapf(err, "decoding set %s", entry.Key())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, oops.In("encoder").Errorf("decoding set %s: bytes after its end", entry.Key())
	}
	return wire.set(), nil
}
