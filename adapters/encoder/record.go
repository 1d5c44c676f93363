package encoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"lagoonlanding.example/lagoonlanding"
)

// Records is the codec for the group records in the store.
type Records struct{}

var _ lagoonlanding.Codec[lagoonlanding.Record] = Records{}

// MaxShards is the maximum number of shards of a group.
const MaxShards = 1 << 16

// wireRecord is the stored JSON format of a group record.
type wireRecord struct {
	Format    int         `json:"format"`
	Service   string      `json:"service"`
	Partition string      `json:"partition"`
	Instances []Instance  `json:"instances"`
	Current   wireLayout  `json:"current"`
	Prior     *wireLayout `json:"prior,omitempty"`
}

// wireLayout is the stored JSON format of a layout; it refers to instances by their index in the record.
type wireLayout struct {
	Version   uint64       `json:"version"`
	Shards    int          `json:"shards"`
	Members   []wireMember `json:"members"`
	Witnesses []int        `json:"witnesses"`
	Pins      []wirePin    `json:"pins,omitempty"`
}

// wireMember is the stored JSON format of a group member.
type wireMember struct {
	Instance int    `json:"instance"`
	State    string `json:"state"`
	Weight   int    `json:"weight"`
}

// wirePin is the stored JSON format of a pin.
type wirePin struct {
	Shard int `json:"shard"`
	Owner int `json:"owner"`
}

const (
	stateActive  = "active"
	stateOut     = "out"
	stateLeaving = "leaving"
)

// Encode returns the record as compact JSON.
func (records Records) Encode(value lagoonlanding.Record) ([]byte, error) {
	var table instanceTable
	current, err := table.layout(value.Current())
	if err != nil {
		return nil, fmt.Errorf("encode the record of %s: %w", value.Group(), err)
	}
	wirerecord := wireRecord{
		Format: FormatVersion, Service: value.Group().Service(), Partition: value.Group().Partition(), Current: current,
	}
	if value.Prior().Version() != 0 {
		prior, err := table.layout(value.Prior())
		if err != nil {
			return nil, fmt.Errorf("encode the previous layout of %s: %w", value.Group(), err)
		}
		wirerecord.Prior = &prior
	}
	wirerecord.Instances = table.instances
	return json.Marshal(wirerecord)
}

// Decode returns the record of the entry; unknown fields and invalid values are errors.
func (records Records) Decode(entry lagoonlanding.Entry) (lagoonlanding.Record, error) {
	group, ok := lagoonlanding.ParseGroupKey(entry.Key())
	if !ok {
		return lagoonlanding.Record{}, fmt.Errorf("decode %q: not the key of a group record", entry.Key())
	}
	value, err := decodeRecord(entry.Value(), group)
	if err != nil {
		return lagoonlanding.Record{}, fmt.Errorf("decode %q: %w", entry.Key(), err)
	}
	return value.WithRevision(entry.Revision()), nil
}

func decodeRecord(data []byte, group lagoonlanding.GroupID) (lagoonlanding.Record, error) {
	var wirerecord wireRecord
	if err := decodeStrict(data, "the record", &wirerecord); err != nil {
		return lagoonlanding.Record{}, err
	}
	if wirerecord.Service != group.Service() || wirerecord.Partition != group.Partition() {
		return lagoonlanding.Record{}, fmt.Errorf("the record belongs to group %s/%s", wirerecord.Service, wirerecord.Partition)
	}
	current, err := wirerecord.Current.value(wirerecord.Instances)
	if err != nil {
		return lagoonlanding.Record{}, fmt.Errorf("current layout: %w", err)
	}
	var prior lagoonlanding.Layout
	if wirerecord.Prior != nil {
		if prior, err = wirerecord.Prior.value(wirerecord.Instances); err != nil {
			return lagoonlanding.Record{}, fmt.Errorf("previous layout: %w", err)
		}
		if prior.Version() >= current.Version() {
			return lagoonlanding.Record{}, errors.New("the previous layout is not older than the current one")
		}
	}
	return lagoonlanding.NewRecord(group, current, prior, 0), nil
}

// decodeStrict checks the format version before the fields, so that a newer format is reported as a VersionError.
func decodeStrict(data []byte, name string, value any) error {
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return err
	}
	if header.Format != FormatVersion {
		return NewVersionError(name, header.Format)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("trailing data after the value")
	}
	return nil
}
