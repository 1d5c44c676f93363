package conductor

import (
	"context"
	"fmt"
	"time"

	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/confirmer"
	"lagoonlanding.example/lagoonlanding/operations/planner"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/operations/submitter"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

const (
	// listTimeout bounds a listing of the groups' records.
	listTimeout = 2 * time.Second
	// submitTimeout bounds the attempts to write a set.
	submitTimeout = 10 * time.Second
	// maxZoneAttempts limits how often a zone change is attempted when other operators publish concurrently.
	maxZoneAttempts = 5
)

// Config holds the configuration of a Conductor.
type Config struct {
	// Store holds the groups' records.
	Store lagoonlanding.Store
	// Records is the codec of the records.
	Records lagoonlanding.Codec[lagoonlanding.Record]
	// Placer assigns the shards to owners.
	Placer lagoonlanding.Placer
	// Submitter writes the sets.
	Submitter *submitter.Submitter
	// Confirmer checks whether a set is in force; nil if the instances cannot be reached from here.
	Confirmer *confirmer.Confirmer
}

// Conductor executes the requests of operators.
type Conductor struct{ config Config }

// New returns the conductor with the given configuration.
func New(config Config) *Conductor { return &Conductor{config: config} }

// Propose compares a set that passed publisher.Check with the one in force and computes its plan for the live members.
func (conductor *Conductor) Propose(ctx context.Context, set *publisher.Set) (Proposal, error) {
	storedset, err := conductor.config.Submitter.Read(ctx)
	if err != nil {
		return Proposal{}, err
	}
	return conductor.propose(ctx, storedset, set)
}

func (conductor *Conductor) propose(ctx context.Context, storedset submitter.StoredSet, set *publisher.Set) (Proposal, error) {
	groups, err := conductor.readGroups(ctx)
	if err != nil {
		return Proposal{}, err
	}
	set = set.WithVersion(storedset.Version() + 1)
	return Proposal{
		storedset: storedset, set: set, faults: publisher.CheckChange(storedset.Set(), set),
		plan: planner.New(planner.Config{Old: storedset.Set(), New: set, Groups: groups, Placer: conductor.config.Placer}),
	}, nil
}

func (conductor *Conductor) readGroups(ctx context.Context) (map[lagoonlanding.GroupID]router.Group, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := conductor.config.Store.List(ctx, lagoonlanding.GroupPrefix)
	if err != nil {
		return nil, oops.In("conductor").Wrapf(err, "reading the groups' records")
	}
	groups := make(map[lagoonlanding.GroupID]router.Group)
	for _, entry := range listing.Entries() {
		record, err := conductor.config.Records.Decode(entry)
		if err != nil {
			return nil, oops.In("conductor").Wrapf(err, "reading the groups' records")
		}
		groups[record.Group()] = router.NewGroup(record, conductor.config.Placer.Place(record.Current()))
	}
	return groups, nil
}

// Publish writes the requested set if it has no faults and its dangers are accepted, and waits until it is in force everywhere.
func (conductor *Conductor) Publish(ctx context.Context, setrequest SetRequest) Outcome {
	proposal, err := conductor.Propose(ctx, setrequest.config.Set)
	if err != nil {
		return Outcome{verdict: NotWritten, err: err}
	}
	if setrequest.config.Base != proposal.storedset.Version() {
		err := fmt.Errorf("set %d is in force, the request was made for set %d", proposal.storedset.Version(), setrequest.config.Base)
		return Outcome{verdict: Outrun, proposal: proposal, err: err}
	}
	return conductor.submit(ctx, setrequest, proposal)
}

func (conductor *Conductor) submit(ctx context.Context, setrequest SetRequest, proposal Proposal) Outcome {
	if len(proposal.faults) > 0 {
		return Outcome{verdict: Faulty, proposal: proposal}
	}
	if proposal.storedset.Set() != nil && len(proposal.plan.Changes()) == 0 {
		return Outcome{verdict: Unchanged, proposal: proposal}
	}
	if unaccepted := planner.Unaccepted(proposal.plan.Dangers(), setrequest.config.Accepted); len(unaccepted) > 0 && proposal.storedset.Set() != nil {
		return Outcome{verdict: Dangerous, proposal: proposal, unaccepted: unaccepted}
	}
	submitCtx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	submission := conductor.config.Submitter.Submit(submitCtx, proposal.storedset, proposal.set.WithPublication(setrequest.config.Publication))
	switch submission.Result() {
	case submitter.Written:
		return conductor.awaitInForce(ctx, setrequest, proposal)
	case submitter.Outrun:
		return conductor.replan(ctx, setrequest, submission)
	case submitter.NotWritten:
		return Outcome{verdict: NotWritten, proposal: proposal, err: submission.Err()}
	}
	return Outcome{verdict: Uncertain, proposal: proposal, err: submission.Err()}
}

// replan compares the requested set with the one that was published first.
func (conductor *Conductor) replan(ctx context.Context, setrequest SetRequest, submission submitter.Submission) Outcome {
	proposal, err := conductor.Propose(ctx, setrequest.config.Set)
	if err != nil {
		return Outcome{verdict: Outrun, err: err}
	}
	return Outcome{verdict: Outrun, proposal: proposal, err: submission.Err()}
}

func (conductor *Conductor) awaitInForce(ctx context.Context, setrequest SetRequest, proposal Proposal) Outcome {
	if conductor.config.Confirmer == nil {
		return Outcome{verdict: Written, proposal: proposal}
	}
	outcome := Outcome{verdict: Pending, proposal: proposal}
	ctx, cancel := context.WithDeadline(ctx, setrequest.config.WaitUntil)
	defer cancel()
	outcome.confirmation = conductor.config.Confirmer.Wait(ctx, proposal.set.Version())
	if outcome.confirmation.IsInForce() {
		outcome.verdict = InForce
	}
	return outcome
}

// SetZone publishes the set in force with one zone out of service or back in; it keeps what other operators publish concurrently.
func (conductor *Conductor) SetZone(ctx context.Context, zonerequest ZoneRequest) Outcome {
	var outcome Outcome
	for range maxZoneAttempts {
		outcome = conductor.trySetZone(ctx, zonerequest)
		if outcome.verdict != Outrun {
			break
		}
	}
	return outcome
}

func (conductor *Conductor) trySetZone(ctx context.Context, zonerequest ZoneRequest) Outcome {
	storedset, err := conductor.config.Submitter.Read(ctx)
	if err != nil {
		return Outcome{verdict: NotWritten, err: err}
	}
	if storedset.Set() == nil {
		return Outcome{verdict: Faulty, proposal: Proposal{faults: []publisher.Fault{publisher.NewFault("set", "", "no set is published yet")}}}
	}
	set, ok := storedset.Set().WithZone(zonerequest.config.Zone, zonerequest.config.Out)
	if !ok {
		fault := publisher.NewFault("availability-zone."+zonerequest.config.Zone, "", "there is no such zone")
		return Outcome{verdict: Faulty, proposal: Proposal{storedset: storedset, faults: []publisher.Fault{fault}}}
	}
	proposal, err := conductor.propose(ctx, storedset, set)
	if err != nil {
		return Outcome{verdict: NotWritten, err: err}
	}
	proposal.faults = append(proposal.faults, publisher.Check(set)...)
	accepted := zonerequest.config.Accepted
	if !zonerequest.config.Out {
		// A request to return a zone accepts this danger implicitly.
		accepted = append([]string{string(planner.ZoneReturned)}, accepted...)
	}
	return conductor.submit(ctx, NewSetRequest(SetRequestConfig{
		Set: set, Accepted: accepted, Publication: zonerequest.config.Publication, WaitUntil: zonerequest.config.WaitUntil,
	}), proposal)
}
