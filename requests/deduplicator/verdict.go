package deduplicator

import "lagoonlanding.example/lagoonlanding"

// Kind is what to do with a try of a request.
type Kind uint8

// The kinds of a verdict.
const (
	// Run says that the request runs now and that Finish must follow.
	Run Kind = iota + 1
	// Repeat says that an earlier try is done and that its outcome is the reply.
	Repeat
	// Wait says that an earlier try still runs.
	Wait
	// Refuse says that the request must not run and that the reply says why.
	Refuse
)

// Verdict is the ledger's decision on one try of a request.
type Verdict struct {
	kind  Kind
	reply lagoonlanding.Reply
	entry *entry
}

// Kind returns what to do with the try.
func (verdict Verdict) Kind() Kind { return verdict.kind }

// Reply returns the caller's reply for every kind but Run; for Wait it is the reply of a caller that cannot wait.
func (verdict Verdict) Reply() lagoonlanding.Reply { return verdict.reply }

// Finished returns a channel that is closed when the earlier try of a Wait verdict has ended; the caller then begins again.
func (verdict Verdict) Finished() <-chan struct{} { return verdict.entry.finished }
