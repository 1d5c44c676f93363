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
	// listTimeout is when the answer of the store to a listing is taken for lost.
	listTimeout = 2 * time.Second
	// submitTimeout bounds the tries to write a set.
	submitTimeout = 10 * time.Second
	// zoneTries is how often a zone's change is made anew after another operator's publish.
	zoneTries = 5
)

// Config holds what a Conductor works with.
type Config struct {
	// Store holds the groups' records.
	Store lagoonlanding.Store
	// Records is the codec of the records.
	Records lagoonlanding.Codec[lagoonlanding.Record]
	// Placer derives the owners of the shards.
	Placer lagoonlanding.Placer
	// Submitter writes the sets.
	Submitter *submitter.Submitter
	// Confirmer asks whether a set is in force; nil if the fleet cannot be asked from here.
	Confirmer *confirmer.Confirmer
}

// Conductor carries out orders of operators.
type Conductor struct{ config Config }

// New returns the conductor that the configuration describes.
func New(config Config) *Conductor { return &Conductor{config: config} }

// Propose compares a set that has no faults by itself with the one in force and with the live members.
func (conductor *Conductor) Propose(ctx context.Context, set *publisher.Set) (Proposal, error) {
	held, err := conductor.config.Submitter.Read(ctx)
	if err != nil {
		return Proposal{}, err
	}
	return conductor.propose(ctx, held, set)
}

func (conductor *Conductor) propose(ctx context.Context, held submitter.Held, set *publisher.Set) (Proposal, error) {
	groups, err := conductor.groups(ctx)
	if err != nil {
		return Proposal{}, err
	}
	set = set.WithVersion(held.Version() + 1)
	return Proposal{
		held: held, set: set, faults: publisher.CheckChange(held.Set(), set),
		plan: planner.New(planner.Config{Old: held.Set(), New: set, Groups: groups, Placer: conductor.config.Placer}),
	}, nil
}

func (conductor *Conductor) groups(ctx context.Context) (map[lagoonlanding.GroupID]router.Group, error) {
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

// Publish writes the ordered set if it has no faults and its dangers are accepted, and waits until it is in force everywhere.
func (conductor *Conductor) Publish(ctx context.Context, order Order) Outcome {
	proposal, err := conductor.Propose(ctx, order.config.Set)
	if err != nil {
		return Outcome{verdict: NotWritten, err: err}
	}
	if order.config.Base != proposal.held.Version() {
		err := fmt.Errorf("set %d is in force, the order was made for set %d", proposal.held.Version(), order.config.Base)
		return Outcome{verdict: Outrun, proposal: proposal, err: err}
	}
	return conductor.submit(ctx, order, proposal)
}

func (conductor *Conductor) submit(ctx context.Context, order Order, proposal Proposal) Outcome {
	if len(proposal.faults) > 0 {
		return Outcome{verdict: Faulty, proposal: proposal}
	}
	if proposal.held.Set() != nil && len(proposal.plan.Changes()) == 0 {
		return Outcome{verdict: Unchanged, proposal: proposal}
	}
	if open := planner.Unaccepted(proposal.plan.Dangers(), order.config.Accepted); len(open) > 0 && proposal.held.Set() != nil {
		return Outcome{verdict: Dangerous, proposal: proposal, open: open}
	}
	limited, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	submission := conductor.config.Submitter.Submit(limited, proposal.held, proposal.set.WithPublication(order.config.Publication))
	switch submission.Result() {
	case submitter.Written:
		return conductor.await(ctx, order, proposal)
	case submitter.Outrun:
		return conductor.outrun(ctx, order, submission)
	case submitter.NotWritten:
		return Outcome{verdict: NotWritten, proposal: proposal, err: submission.Err()}
	}
	return Outcome{verdict: Uncertain, proposal: proposal, err: submission.Err()}
}

// outrun compares the ordered set with the one that was published first.
func (conductor *Conductor) outrun(ctx context.Context, order Order, submission submitter.Submission) Outcome {
	proposal, err := conductor.Propose(ctx, order.config.Set)
	if err != nil {
		return Outcome{verdict: Outrun, err: err}
	}
	return Outcome{verdict: Outrun, proposal: proposal, err: submission.Err()}
}

func (conductor *Conductor) await(ctx context.Context, order Order, proposal Proposal) Outcome {
	if conductor.config.Confirmer == nil {
		return Outcome{verdict: Written, proposal: proposal}
	}
	outcome := Outcome{verdict: Pending, proposal: proposal}
	ctx, cancel := context.WithDeadline(ctx, order.config.WaitUntil)
	defer cancel()
	outcome.confirmation = conductor.config.Confirmer.Wait(ctx, proposal.set.Version())
	if outcome.confirmation.IsInForce() {
		outcome.verdict = InForce
	}
	return outcome
}

// SetZone publishes the set in force with one zone out or back; another operator's publish in between is kept.
func (conductor *Conductor) SetZone(ctx context.Context, order ZoneOrder) Outcome {
	var outcome Outcome
	for range zoneTries {
		outcome = conductor.trySetZone(ctx, order)
		if outcome.verdict != Outrun {
			break
		}
	}
	return outcome
}

func (conductor *Conductor) trySetZone(ctx context.Context, order ZoneOrder) Outcome {
	held, err := conductor.config.Submitter.Read(ctx)
	if err != nil {
		return Outcome{verdict: NotWritten, err: err}
	}
	if held.Set() == nil {
		return Outcome{verdict: Faulty, proposal: Proposal{faults: []publisher.Fault{publisher.NewFault("set", "", "no set is published yet")}}}
	}
	set, ok := held.Set().WithZone(order.config.Zone, order.config.Out)
	if !ok {
		fault := publisher.NewFault("availability-zone."+order.config.Zone, "", "there is no such zone")
		return Outcome{verdict: Faulty, proposal: Proposal{held: held, faults: []publisher.Fault{fault}}}
	}
	proposal, err := conductor.propose(ctx, held, set)
	if err != nil {
		return Outcome{verdict: NotWritten, err: err}
	}
	proposal.faults = append(proposal.faults, publisher.Check(set)...)
	accepted := order.config.Accepted
	if !order.config.Out {
		// The command says it itself.
		accepted = append([]string{string(planner.ZoneReturned)}, accepted...)
	}
	return conductor.submit(ctx, NewOrder(OrderConfig{
		Set: set, Accepted: accepted, Publication: order.config.Publication, WaitUntil: order.config.WaitUntil,
	}), proposal)
}
