package conductor

import (
	"lagoonlanding.example/lagoonlanding/operations/confirmer"
	"lagoonlanding.example/lagoonlanding/operations/planner"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/operations/submitter"
)

// Verdict is the result of a request.
type Verdict string

// The verdicts on a request.
const (
	// InForce means that the set is written and that no instance can apply an older one.
	InForce Verdict = "in-force"
	// Written means that the set is written and that it was not checked whether it is in force.
	Written Verdict = "written"
	// Pending means that the set is durably written and that some instances may still apply an older one.
	Pending Verdict = "pending"
	// Unchanged means that the set in force already has the same objects, so nothing was written.
	Unchanged Verdict = "unchanged"
	// Faulty means that the set has faults and nothing was written.
	Faulty Verdict = "faulty"
	// Dangerous means that the plan has dangers that were not accepted and nothing was written.
	Dangerous Verdict = "dangerous"
	// Outrun means that another operator published first, so a different set is in force than the request was made for, and nothing
	// was written.
	Outrun Verdict = "outrun"
	// NotWritten means that the store could not be read or rejected the write, so nothing was written.
	NotWritten Verdict = "not-written"
	// Uncertain means that the store's replies were lost, so the set may have been written.
	Uncertain Verdict = "uncertain"
)

// Proposal is a set with its faults and its plan, before it is written.
type Proposal struct {
	storedset submitter.StoredSet
	set       *publisher.Set
	faults    []publisher.Fault
	plan      planner.Plan
}

// StoredSet returns the set in force that the proposal was compared with.
func (proposal Proposal) StoredSet() submitter.StoredSet { return proposal.storedset }

// Set returns the proposed set with the version that it would get.
func (proposal Proposal) Set() *publisher.Set { return proposal.set }

// Faults returns the reasons why the set cannot replace the one in force.
func (proposal Proposal) Faults() []publisher.Fault { return proposal.faults }

// Plan returns the effects of publishing the set.
func (proposal Proposal) Plan() planner.Plan { return proposal.plan }

// Outcome is the verdict on a request, with the proposal, the confirmation or the error that explains it.
type Outcome struct {
	verdict      Verdict
	proposal     Proposal
	unaccepted   []planner.Danger
	confirmation confirmer.Confirmation
	err          error
}

// Verdict returns the result of the request.
func (outcome Outcome) Verdict() Verdict { return outcome.verdict }

// Proposal returns the proposal that the request was decided on.
func (outcome Outcome) Proposal() Proposal { return outcome.proposal }

// Unaccepted returns the dangers that were not accepted.
func (outcome Outcome) Unaccepted() []planner.Danger { return outcome.unaccepted }

// Confirmation returns whether the set is in force; it is empty unless the set was written.
func (outcome Outcome) Confirmation() confirmer.Confirmation { return outcome.confirmation }

// Err returns the error behind the verdict, nil if there is none.
func (outcome Outcome) Err() error { return outcome.err }
