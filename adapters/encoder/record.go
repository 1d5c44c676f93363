package encoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"lagoonlanding.example/lagoonlanding"
)

// Records is the codec of the groups' records in the store.
type Records struct{}

var _ lagoonlanding.Codec[lagoonlanding.Record] = Records{}

// MaxShards bounds the shards of a group.
const MaxShards = 1 << 16

type record struct {
	Format    int        `json:"format"`
	Service   string     `json:"service"`
	Partition string     `json:"partition"`
	Instances []Instance `json:"instances"`
	Current   layout     `json:"current"`
	Prior     *layout    `json:"prior,omitempty"`
}

// layout refers to instances by their index in the record.
type layout struct {
	Version   uint64   `json:"version"`
	Shards    int      `json:"shards"`
	Members   []member `json:"members"`
	Witnesses []int    `json:"witnesses"`
	Pins      []pin    `json:"pins,omitempty"`
}

type member struct {
	Instance int    `json:"instance"`
	State    string `json:"state"`
	Weight   int    `json:"weight"`
}

type pin struct {
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
	form := record{
		Format: FormatVersion, Service: value.Group().Service(), Partition: value.Group().Partition(), Current: current,
	}
	if value.Prior().Version() != 0 {
		prior, err := table.layout(value.Prior())
		if err != nil {
			return nil, fmt.Errorf("encode the prior layout of %s: %w", value.Group(), err)
		}
		form.Prior = &prior
	}
	form.Instances = table.instances
	return json.Marshal(form)
}

// Decode returns the record of the entry; anything that Encode does not write is an error.
func (records Records) Decode(entry lagoonlanding.Entry) (lagoonlanding.Record, error) {
	group, ok := lagoonlanding.ParseGroupKey(entry.Key())
	if !ok {
		return lagoonlanding.Record{}, fmt.Errorf("decode %q: not the key of a group's record", entry.Key())
	}
	value, err := decodeRecord(entry.Value(), group)
	if err != nil {
		return lagoonlanding.Record{}, fmt.Errorf("decode %q: %w", entry.Key(), err)
	}
	return value.WithRevision(entry.Revision()), nil
}

func decodeRecord(data []byte, group lagoonlanding.GroupID) (lagoonlanding.Record, error) {
	var form record
	if err := decodeStrictly(data, "the record", &form); err != nil {
		return lagoonlanding.Record{}, err
	}
	if form.Service != group.Service() || form.Partition != group.Partition() {
		return lagoonlanding.Record{}, fmt.Errorf("the record is that of %s/%s", form.Service, form.Partition)
	}
	current, err := form.Current.value(form.Instances)
	if err != nil {
		return lagoonlanding.Record{}, fmt.Errorf("current layout: %w", err)
	}
	var prior lagoonlanding.Layout
	if form.Prior != nil {
		if prior, err = form.Prior.value(form.Instances); err != nil {
			return lagoonlanding.Record{}, fmt.Errorf("prior layout: %w", err)
		}
		if prior.Version() >= current.Version() {
			return lagoonlanding.Record{}, errors.New("the prior layout is not older than the current one")
		}
	}
	return lagoonlanding.NewRecord(group, current, prior, 0), nil
}

// decodeStrictly reads the format version first, so that a newer format is told apart from a broken one.
func decodeStrictly(data []byte, subject string, form any) error {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return err
	}
	if head.Format != FormatVersion {
		return NewVersionError(subject, head.Format)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(form); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data follow the value")
	}
	return nil
}
