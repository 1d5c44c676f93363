package encoder

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Empty is the form of an answer without content.
type Empty struct{}

// remaining returns the time until a deadline, never zero, which stands for no deadline.
func remaining(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return max(deadline.Sub(now), 1)
}

func deadlineOf(left time.Duration, now time.Time) time.Time {
	if left == 0 {
		return time.Time{}
	}
	return now.Add(max(left, 1))
}

// Entry is the form of an entry of the store.
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

// DirectoryRequest is the form of a question for newer entries.
type DirectoryRequest struct {
	After uint64
}

// FromDirectoryRequest returns the form of the question.
func FromDirectoryRequest(request lagoonlanding.DirectoryRequest) DirectoryRequest {
	return DirectoryRequest{After: request.After()}
}

// Value returns the question.
func (directoryrequest DirectoryRequest) Value(time.Time) (lagoonlanding.DirectoryRequest, error) {
	return lagoonlanding.NewDirectoryRequest(directoryrequest.After), nil
}

// DirectoryReply is the form of an answer with newer entries.
type DirectoryReply struct {
	Entries  []Entry
	Revision uint64
}

// FromDirectoryReply returns the form of the answer.
func FromDirectoryReply(reply lagoonlanding.DirectoryReply) DirectoryReply {
	form := DirectoryReply{Revision: reply.Listing().Revision()}
	for _, entry := range reply.Listing().Entries() {
		form.Entries = append(form.Entries, fromEntry(entry))
	}
	return form
}

// Value returns the answer.
func (directoryreply DirectoryReply) Value(time.Time) (lagoonlanding.DirectoryReply, error) {
	var entries []lagoonlanding.Entry
	for _, entry := range directoryreply.Entries {
		entries = append(entries, entry.entry())
	}
	return lagoonlanding.NewDirectoryReply(lagoonlanding.NewListing(entries, directoryreply.Revision)), nil
}

// RecordNotice is the form of a notice, which carries the record as the store holds it.
type RecordNotice struct {
	Record Entry
}

// FromRecordNotice returns the form of the notice.
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

// Value returns the notice.
func (recordnotice RecordNotice) Value(time.Time) (lagoonlanding.RecordNotice, error) {
	record, err := Records{}.Decode(recordnotice.Record.entry())
	return lagoonlanding.NewRecordNotice(record), err
}
