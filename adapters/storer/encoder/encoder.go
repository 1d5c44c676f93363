package encoder

import (
	"encoding/json"
	"fmt"

	"lagoonlanding.example/lagoonlanding"
)

// entryJSON is the JSON format of an entry.
type entryJSON struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// listingJSON is the JSON format of a listing.
type listingJSON struct {
	Entries  []entryJSON `json:"entries"`
	Revision uint64      `json:"revision"`
}

// revisionJSON is the JSON format of the response to a write.
type revisionJSON struct {
	Revision uint64 `json:"revision"`
}

// EncodeEntry returns the JSON of an entry.
func EncodeEntry(entry lagoonlanding.Entry) ([]byte, error) {
	return json.Marshal(newEntryJSON(entry))
}

// DecodeEntry returns the entry that the JSON encodes.
func DecodeEntry(data []byte) (lagoonlanding.Entry, error) {
	var wire entryJSON
	if err := json.Unmarshal(data, &wire); err != nil {
		return lagoonlanding.Entry{}, fmt.Errorf("decode an entry: %w", err)
	}
	return wire.entry(), nil
}

// EncodeListing returns the JSON of a listing.
func EncodeListing(listing lagoonlanding.Listing) ([]byte, error) {
	wire := listingJSON{Entries: []entryJSON{}, Revision: listing.Revision()}
	for _, entry := range listing.Entries() {
		wire.Entries = append(wire.Entries, newEntryJSON(entry))
	}
	return json.Marshal(wire)
}

// DecodeListing returns the listing that the JSON encodes.
func DecodeListing(data []byte) (lagoonlanding.Listing, error) {
	var wire listingJSON
	if err := json.Unmarshal(data, &wire); err != nil {
		return lagoonlanding.Listing{}, fmt.Errorf("decode a listing: %w", err)
	}
	entries := make([]lagoonlanding.Entry, 0, len(wire.Entries))
	for _, entry := range wire.Entries {
		entries = append(entries, entry.entry())
	}
	return lagoonlanding.NewListing(entries, wire.Revision), nil
}

// EncodeRevision returns the JSON of the revision that a write produced.
func EncodeRevision(revision uint64) ([]byte, error) {
	return json.Marshal(revisionJSON{Revision: revision})
}

// DecodeRevision returns the revision that the JSON encodes; zero is an error.
func DecodeRevision(data []byte) (uint64, error) {
	var wire revisionJSON
	if err := json.Unmarshal(data, &wire); err != nil {
		return 0, fmt.Errorf("decode a revision: %w", err)
	}
	if wire.Revision == 0 {
		return 0, fmt.Errorf("decode a revision: the revision is zero")
	}
	return wire.Revision, nil
}

func newEntryJSON(entry lagoonlanding.Entry) entryJSON {
	return entryJSON{Key: entry.Key(), Value: entry.Value(), Revision: entry.Revision()}
}

func (entryjson entryJSON) entry() lagoonlanding.Entry {
	return lagoonlanding.NewEntry(entryjson.Key, entryjson.Value, entryjson.Revision)
}
