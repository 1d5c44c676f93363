package lagoonlanding

// DirectoryRequest asks another instance for the entries of its directory, the local copy of the store, after a revision.
type DirectoryRequest struct {
	after uint64
}

// NewDirectoryRequest returns a request for entries that were written after the store revision.
func NewDirectoryRequest(after uint64) DirectoryRequest { return DirectoryRequest{after: after} }

// After returns the store revision that the requester's directory has reached.
func (directoryrequest DirectoryRequest) After() uint64 { return directoryrequest.after }

// DirectoryReply carries the entries that are newer than the requested revision.
type DirectoryReply struct {
	listing Listing
}

// NewDirectoryReply returns a reply with the newer entries and the revision up to which they are complete.
func NewDirectoryReply(listing Listing) DirectoryReply { return DirectoryReply{listing: listing} }

// Listing returns the newer entries and the revision up to which they are complete.
func (directoryreply DirectoryReply) Listing() Listing { return directoryreply.listing }

// RecordNotice notifies an instance of a group's newest record.
type RecordNotice struct {
	record Record
}

// NewRecordNotice returns a notification of a record.
func NewRecordNotice(record Record) RecordNotice { return RecordNotice{record: record} }

// Record returns the record as stored.
func (recordnotice RecordNotice) Record() Record { return recordnotice.record }
