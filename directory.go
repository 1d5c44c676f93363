package lagoonlanding

// DirectoryRequest asks another instance for what the store wrote after a revision.
type DirectoryRequest struct {
	after uint64
}

// NewDirectoryRequest returns the question for entries newer than the revision.
func NewDirectoryRequest(after uint64) DirectoryRequest { return DirectoryRequest{after: after} }

// After returns the revision up to which the asker knows the directory.
func (directoryrequest DirectoryRequest) After() uint64 { return directoryrequest.after }

// DirectoryReply carries the entries that are newer than the asked revision.
type DirectoryReply struct {
	listing Listing
}

// NewDirectoryReply returns the answer with the newer entries and the revision that they reach.
func NewDirectoryReply(listing Listing) DirectoryReply { return DirectoryReply{listing: listing} }

// Listing returns the newer entries and the revision that they reach.
func (directoryreply DirectoryReply) Listing() Listing { return directoryreply.listing }

// RecordNotice tells an instance of a group's newest record.
type RecordNotice struct {
	record Record
}

// NewRecordNotice returns the notice of a record.
func NewRecordNotice(record Record) RecordNotice { return RecordNotice{record: record} }

// Record returns the record as the store holds it.
func (recordnotice RecordNotice) Record() Record { return recordnotice.record }
