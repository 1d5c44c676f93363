package submitter

import "lagoonlanding.example/lagoonlanding/operations/publisher"

// Result says what became of a submitted set.
type Result uint8

// The results of a submission.
const (
	// Written says that the store holds the set, or held it until a later one.
	Written Result = iota + 1
	// Outrun says that another set was published first and that the submitted one was not written.
	Outrun
	// NotWritten says that the store refused the call and that nothing was written.
	NotWritten
	// Uncertain says that the answers were lost, so that the set may have been written.
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

// Submission is what became of a submitted set.
type Submission struct {
	result Result
	set    *publisher.Set
	err    error
}

// NewSubmission returns the result with the set that the store holds for certain, nil if none is known, and the cause.
func NewSubmission(result Result, set *publisher.Set, err error) Submission {
	return Submission{result: result, set: set, err: err}
}

// Result says whether the set was written.
func (submission Submission) Result() Result { return submission.result }

// Set returns the submitted set if it was written, or the one that was published before it.
func (submission Submission) Set() *publisher.Set { return submission.set }

// Err returns why the set was not written, or why that is not known.
func (submission Submission) Err() error { return submission.err }

// Held is the set that the store holds, and the revision that a successor must name.
type Held struct {
	set      *publisher.Set
	revision uint64
}

// NewHeld returns the set at a revision of the store; the set is nil before the first.
func NewHeld(set *publisher.Set, revision uint64) Held { return Held{set: set, revision: revision} }

// Set returns the set, nil before the first.
func (held Held) Set() *publisher.Set { return held.set }

// Revision returns the store's revision of the set, zero before the first.
func (held Held) Revision() uint64 { return held.revision }

// Version returns the version of the set, zero before the first.
func (held Held) Version() uint64 {
	if held.set == nil {
		return 0
	}
	return held.set.Version()
}
