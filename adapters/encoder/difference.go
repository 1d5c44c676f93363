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

// ErrOtherBase says that a difference is not to the set that it was applied to, so the whole set is needed.
var ErrOtherBase = errors.New("the difference is to another set")

var _ lagoonlanding.Differ[*publisher.Set] = Sets{}

type wireDifference struct {
	Base uint64 `json:"base"`
	// Digest is that of the whole new set.
	Digest  uint64   `json:"digest"`
	Removed []string `json:"removed,omitempty"`
	Changed wireSet  `json:"changed"`
}

// Difference returns the bytes that turn the old set into the new one.
func (sets Sets) Difference(old, new *publisher.Set) ([]byte, error) {
	digest, err := digestOf(new)
	if err != nil {
		return nil, err
	}
	difference := publisher.Subtract(new, old)
	return compress(wireDifference{
		Base: difference.Base(), Digest: digest, Removed: difference.Removed(), Changed: toWireSet(difference.Changed()),
	})
}

// Apply returns the new set, which is the very one that the difference was made from.
func (sets Sets) Apply(old *publisher.Set, value []byte) (*publisher.Set, error) {
	var wire wireDifference
	if err := decompress(value, &wire); err != nil {
		return nil, oops.In("encoder").Wrapf(err, "decoding a difference of sets")
	}
	set, ok := publisher.NewDifference(wire.Base, wire.Removed, wire.Changed.set()).ApplyTo(old)
	if !ok {
		return nil, ErrOtherBase
	}
	digest, err := digestOf(set)
	if err != nil {
		return nil, err
	}
	if digest != wire.Digest {
		return nil, ErrOtherBase
	}
	return set, nil
}

func digestOf(set *publisher.Set) (uint64, error) {
	plain, err := json.Marshal(toWireSet(set))
	if err != nil {
		return 0, oops.In("encoder").Wrapf(err, "encoding set %d", set.Version())
	}
	return xxhash.Sum64(plain), nil
}

// compress returns the form as compressed JSON, within the limits of a set.
func compress(form any) ([]byte, error) {
	plain, err := json.Marshal(form)
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
	if buffer.Len() > MaxSetSize || len(plain) > MaxPlainSetSize {
		return nil, ErrSetTooLarge
	}
	return buffer.Bytes(), nil
}

// decompress reads the form strictly and within the limits of a set.
func decompress(value []byte, form any) error {
	if len(value) == 0 || value[0] != setFormat {
		return errors.New("unknown format")
	}
	if len(value) > MaxSetSize {
		return ErrSetTooLarge
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value[1:])), MaxPlainSetSize+1))
	if err != nil {
		return err
	}
	if len(plain) > MaxPlainSetSize {
		return ErrSetTooLarge
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(form); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("bytes after the end")
	}
	return nil
}
