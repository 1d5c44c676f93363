package commander

import (
	"context"
	"crypto/rand"
	"time"

	storeencoder "lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/adapters/storer"
	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
	"lagoonlanding.example/lagoonlanding/operations/conductor"
	"lagoonlanding.example/lagoonlanding/operations/parser"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/operations/submitter"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

// publishDirectly writes the set to the store, for a fleet that has no daemon yet.
func (options *options) publishDirectly(ctx context.Context, publishflags *publishFlags, sources []parser.Source) error {
	set, faults := parser.Parse(sources)
	if len(faults) > 0 {
		return options.printOutcome(encoder.Outcome{
			Verdict: string(conductor.Faulty), Plan: encoder.Plan{Faults: encoder.FromFaults(faults)},
		})
	}
	store := storer.New(storer.Config{URL: publishflags.storeURL})
	conductor := conductor.New(conductor.Config{
		Store: store, Records: storeencoder.Records{}, Placer: placer.NewRendezvous(),
		Submitter: submitter.New(submitter.Config{Store: store, Sets: storeencoder.Sets{}, Clock: timekeeper.Clock{}}),
	})
	outcome := conductor.Publish(ctx, directRequest(publishflags, set))
	return options.printOutcome(encoder.FromOutcome(outcome, sources))
}

func directRequest(publishflags *publishFlags, set *publisher.Set) conductor.SetRequest {
	return conductor.NewSetRequest(conductor.SetRequestConfig{
		Set: set, Base: publishflags.base, Accepted: publishflags.accepted(),
		Publication: publisher.NewPublication(publisher.PublicationConfig{
			ID: rand.Text(), Operator: publishflags.operator, Note: publishflags.note, Issued: time.Now().UTC(),
		}),
	})
}
