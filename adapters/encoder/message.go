package encoder

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Empty is the wire format of an empty response.
type Empty struct{}

// remaining returns the time until the deadline, at least 1 ns; zero means no deadline.
func remaining(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return max(deadline.Sub(now), 1)
}

// deadlineAfter returns the deadline for a remaining time, which is zero for no deadline.
func deadlineAfter(timeout time.Duration, now time.Time) time.Time {
	if timeout == 0 {
		return time.Time{}
	}
	return now.Add(max(timeout, 1))
}

// Entry is the wire format of a store entry.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

func fromEntry(entry lagoonlanding.Entry) Entry {
	return Entry{Key: entry.Key(), Value: entry.Value(), Revision: entry.Revision()}
}

func (entry Entry) entry() lagoonlanding.Entry {
	return lagoonlanding.NewEntry(entry.Key, entry.Value, entry.Revision)
}

// DirectoryRequest is the wire format of a request for newer store entries.
type DirectoryRequest struct {
	After uint64
}

// FromDirectoryRequest encodes the request.
func FromDirectoryRequest(request lagoonlanding.DirectoryRequest) DirectoryRequest {
	return DirectoryRequest{After: request.After()}
}

// Value decodes the request.
func (directoryrequest DirectoryRequest) Value(time.Time) (lagoonlanding.DirectoryRequest, error) {
	return lagoonlanding.NewDirectoryRequest(directoryrequest.After), nil
}

// DirectoryReply is the wire format of a reply with newer store entries.
type DirectoryReply struct {
	Entries  []Entry
	Revision uint64
}

// FromDirectoryReply encodes the reply.
func FromDirectoryReply(reply lagoonlanding.DirectoryReply) DirectoryReply {
	message := DirectoryReply{Revision: reply.Listing().Revision()}
	for _, entry := range reply.Listing().Entries() {
		message.Entries = append(message.Entries, fromEntry(entry))
	}
	return message
}

// Value decodes the reply.
func (directoryreply DirectoryReply) Value(time.Time) (lagoonlanding.DirectoryReply, error) {
	var entries []lagoonlanding.Entry
	for _, entry := range directoryreply.Entries {
		entries = append(entries, entry.entry())
	}
	return lagoonlanding.NewDirectoryReply(lagoonlanding.NewListing(entries, directoryreply.Revision)), nil
}

// RecordNotice is the wire format of a notice, with the record in its stored format.
type RecordNotice struct {
	Record Entry
}

// FromRecordNotice encodes the notice.
func FromRecordNotice(notice lagoonlanding.RecordNotice) (RecordNotice, error) {
	record := notice.Record()
	data, err := Records{}.Encode(record)
	if err != nil {
		return RecordNotice{}, err
	}
	return RecordNotice{Record: Entry{
		Key: lagoonlanding.GroupKey(record.Group()), Value: data, Revision: record.Revision(),
	}}, nil
}

// Value decodes the notice.
func (recordnotice RecordNotice) Value(time.Time) (lagoonlanding.RecordNotice, error) {
	record, err := Records{}.Decode(recordnotice.Record.entry())
	return lagoonlanding.NewRecordNotice(record), err
}
