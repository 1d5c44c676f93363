package conductor

import (
	"lagoonlanding.example/lagoonlanding/operations/confirmer"
	"lagoonlanding.example/lagoonlanding/operations/planner"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/operations/submitter"
)

// Verdict says what became of an order.
type Verdict string

// The verdicts on an order.
const (
	// InForce says that the set is written and that no instance can serve by an older one.
	InForce Verdict = "in-force"
	// Written says that the set is written and that nobody was asked whether it is in force.
	Written Verdict = "written"
	// Pending says that the set is written, stays so, and that some instances may still serve by an older one.
	Pending Verdict = "pending"
	// Unchanged says that the set in force has the same objects already, so nothing was written.
	Unchanged Verdict = "unchanged"
	// Faulty says that the set has faults and nothing was written.
	Faulty Verdict = "faulty"
	// Dangerous says that the plan has dangers that were not accepted and nothing was written.
	Dangerous Verdict = "dangerous"
	// Outrun says that another set is in force than the order was made for and nothing was written.
	Outrun Verdict = "outrun"
	// NotWritten says that the store refused the call and nothing was written.
	NotWritten Verdict = "not-written"
	// Uncertain says that the store's answers were lost, so that the set may have been written.
	Uncertain Verdict = "uncertain"
)

// Proposal is a set with all that is known before it is written.
type Proposal struct {
	held   submitter.Held
	set    *publisher.Set
	faults []publisher.Fault
	plan   planner.Plan
}

// Held returns the set in force that the proposal was compared with.
func (proposal Proposal) Held() submitter.Held { return proposal.held }

// Set returns the proposed set under the version that it would get.
func (proposal Proposal) Set() *publisher.Set { return proposal.set }

// Faults returns why the set cannot follow the one in force.
func (proposal Proposal) Faults() []publisher.Fault { return proposal.faults }

// Plan returns what the set would do.
func (proposal Proposal) Plan() planner.Plan { return proposal.plan }

// Outcome is what became of an order.
type Outcome struct {
	verdict      Verdict
	proposal     Proposal
	open         []planner.Danger
	confirmation confirmer.Confirmation
	err          error
}

// Verdict says what became of the order.
func (outcome Outcome) Verdict() Verdict { return outcome.verdict }

// Proposal returns what was known before the write.
func (outcome Outcome) Proposal() Proposal { return outcome.proposal }

// Open returns the dangers that were not accepted.
func (outcome Outcome) Open() []planner.Danger { return outcome.open }

// Confirmation returns who applies the set; it is empty unless the set was written.
func (outcome Outcome) Confirmation() confirmer.Confirmation { return outcome.confirmation }

// Err returns the cause of a verdict that the store or the fleet brought about.
func (outcome Outcome) Err() error { return outcome.err }
