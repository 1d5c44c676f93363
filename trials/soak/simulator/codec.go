package simulator

import (
	"fmt"
	"strconv"
	"strings"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// setCodec encodes a set as its version and the availability zones that are out of service; the rest is the topology's.
type setCodec struct{ topology topology }

var _ lagoonlanding.Codec[*publisher.Set] = setCodec{}

// Encode returns the version and the zones that are out of service.
func (setcodec setCodec) Encode(set *publisher.Set) ([]byte, error) {
	text := strconv.FormatUint(set.Version(), 10)
	for _, zone := range set.AvailabilityZones() {
		if zone.IsOut() {
			text += " " + zone.Name()
		}
	}
	return []byte(text), nil
}

// Decode returns the topology's set with the encoded version and zones that are out of service.
func (setcodec setCodec) Decode(entry lagoonlanding.Entry) (*publisher.Set, error) {
	fields := strings.Fields(string(entry.Value()))
	if len(fields) == 0 {
		return nil, fmt.Errorf("published set at revision %d is empty", entry.Revision())
	}
	version, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return nil, fmt.Errorf("parse version of published set: %w", err)
	}
	out := make(map[string]bool)
	for _, zone := range fields[1:] {
		out[zone] = true
	}
	return setcodec.topology.set(version, out), nil
}
