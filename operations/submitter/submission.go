package submitter

import "lagoonlanding.example/lagoonlanding/operations/publisher"

// Result is the result of a submission.
type Result uint8

// The results of a submission.
const (
	// Written means that the store holds the set, or held it until a later one was published.
	Written Result = iota + 1
	// Outrun means that another set was published first, so the submitted one was not written.
	Outrun
	// NotWritten means that the set was not written, because an earlier step failed or the store rejected the write.
	NotWritten
	// Uncertain means that the store's replies were lost, so the set may have been written.
	Uncertain
)

// String returns the result in kebab case.
func (result Result) String() string {
	switch result {
	case Written:
		return "written"
	case Outrun:
		return "outrun"
	case NotWritten:
		return "not-written"
	case Uncertain:
		return "uncertain"
	}
	return "invalid"
}

// Submission is the outcome of submitting a set.
type Submission struct {
	result Result
	set    *publisher.Set
	err    error
}

// NewSubmission returns the outcome with the set that the store is known to hold, nil if that is not known, and the error.
func NewSubmission(result Result, set *publisher.Set, err error) Submission {
	return Submission{result: result, set: set, err: err}
}

// Result returns whether the set was written.
func (submission Submission) Result() Result { return submission.result }

// Set returns the submitted set if it was written, or else the set that the store is known to hold.
func (submission Submission) Set() *publisher.Set { return submission.set }

// Err returns the reason why the set was not written, or why that is not known.
func (submission Submission) Err() error { return submission.err }

// StoredSet is a set in the store with its revision, which a write of the next set expects.
type StoredSet struct {
	set      *publisher.Set
	revision uint64
}

// NewStoredSet returns the set at a revision of the store; the set is nil if none is stored.
func NewStoredSet(set *publisher.Set, at uint64) StoredSet { return StoredSet{set: set, revision: at} }

// Set returns the set, nil if none is stored.
func (storedset StoredSet) Set() *publisher.Set { return storedset.set }

// Revision returns the store's revision of the set, zero if none is stored.
func (storedset StoredSet) Revision() uint64 { return storedset.revision }

// Version returns the version of the set, zero if none is stored.
func (storedset StoredSet) Version() uint64 {
	if storedset.set == nil {
		return 0
	}
	return storedset.set.Version()
}
