package encoder

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// ErrBaseMismatch means that the difference was made from another base set, or does not yield the set that was published, so the full set is needed.
var ErrBaseMismatch = errors.New("the difference has another base set")

var _ lagoonlanding.Differ[*publisher.Set] = Sets{}

// wireDifference is the JSON format of the difference between two sets.
type wireDifference struct {
	Base uint64 `json:"base"`
	// Digest is the digest of the full new set.
	Digest  uint64   `json:"digest"`
	Removed []string `json:"removed,omitempty"`
	Changed wireSet  `json:"changed"`
}

// Difference returns the encoded difference from the old set to the new one.
func (sets Sets) Difference(old, new *publisher.Set) ([]byte, error) {
	digest, err := digestOf(new)
	if err != nil {
		return nil, err
	}
	difference := publisher.Subtract(new, old)
	return marshalCompressed(wireDifference{
		Base: difference.Base(), Digest: digest, Removed: difference.Removed(), Changed: toWireSet(difference.Changed()),
	})
}

// Apply returns the new set after checking it against the digest in the difference.
func (sets Sets) Apply(old *publisher.Set, value []byte) (*publisher.Set, error) {
	var wire wireDifference
	if err := unmarshalCompressed(value, &wire); err != nil {
		return nil, oops.In("encoder").Wrapf(err, "decode a set difference")
	}
	set, ok := publisher.NewDifference(wire.Base, wire.Removed, wire.Changed.set()).ApplyTo(old)
	if !ok {
		return nil, ErrBaseMismatch
	}
	digest, err := digestOf(set)
	if err != nil {
		return nil, err
	}
	if digest != wire.Digest {
		return nil, ErrBaseMismatch
	}
	return set, nil
}

func digestOf(set *publisher.Set) (uint64, error) {
	plain, err := json.Marshal(toWireSet(set))
	if err != nil {
		return 0, oops.In("encoder").Wrapf(err, "encode set %d", set.Version())
	}
	return xxhash.Sum64(plain), nil
}

// marshalCompressed returns the value as compressed JSON and enforces the size limits of a set.
func marshalCompressed(value any) ([]byte, error) {
	plain, err := json.Marshal(value)
	if err != nil {
		return nil, oops.In("encoder").Wrapf(err, "encoding")
	}
	buffer := bytes.NewBuffer([]byte{setFormat})
	writer, err := flate.NewWriter(buffer, flate.DefaultCompression)
	if err != nil {
		return nil, oops.In("encoder").Wrapf(err, "compressing")
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, oops.In("encoder").Wrapf(err, "compressing")
	}
	if err := writer.Close(); err != nil {
		return nil, oops.In("encoder").Wrapf(err, "compressing")
	}
	if buffer.Len() > MaxSetSize || len(plain) > MaxUncompressedSetSize {
		return nil, ErrSetTooLarge
	}
	return buffer.Bytes(), nil
}

// unmarshalCompressed decodes compressed JSON into the target; it refuses unknown fields and enforces the size limits of a set.
func unmarshalCompressed(value []byte, target any) error {
	if len(value) == 0 || value[0] != setFormat {
		return errors.New("unknown format")
	}
	if len(value) > MaxSetSize {
		return ErrSetTooLarge
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value[1:])), MaxUncompressedSetSize+1))
	if err != nil {
		return err
	}
	if len(plain) > MaxUncompressedSetSize {
		return ErrSetTooLarge
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("trailing data after the value")
	}
	return nil
}
