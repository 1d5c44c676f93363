package deduplicator

import "lagoonlanding.example/lagoonlanding"

// Kind is the kind of a verdict.
type Kind uint8

// The kinds of verdicts.
const (
	// Run means that the request may run and that Finish must follow.
	Run Kind = iota + 1
	// Repeat means that an earlier attempt has finished and that its outcome is the reply.
	Repeat
	// Wait means that an earlier attempt is still running.
	Wait
	// Refuse means that the request must not run; the reply has the reason.
	Refuse
)

// Verdict is the ledger's decision on one attempt at a request.
type Verdict struct {
	kind  Kind
	reply lagoonlanding.Reply
	entry *entry
}

// Kind returns the kind of the verdict.
func (verdict Verdict) Kind() Kind { return verdict.kind }

// Reply returns the reply for every kind but Run; for Wait it is the reply to callers that cannot wait.
func (verdict Verdict) Reply() lagoonlanding.Reply { return verdict.reply }

// Finished returns a channel that is closed when the earlier attempt of a Wait verdict has finished; the caller then calls Begin again.
func (verdict Verdict) Finished() <-chan struct{} { return verdict.entry.finished }
