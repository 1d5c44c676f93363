package commander

import (
	"context"
	"crypto/rand"
	"time"

	"lagoonlanding.example/lagoonlanding/administrator/encoder"
	"lagoonlanding.example/lagoonlanding/conductor"
	storeencoder "lagoonlanding.example/lagoonlanding/encoder"
	"lagoonlanding.example/lagoonlanding/parser"
	"lagoonlanding.example/lagoonlanding/placer"
	"lagoonlanding.example/lagoonlanding/publisher"
	"lagoonlanding.example/lagoonlanding/storer"
	"lagoonlanding.example/lagoonlanding/submitter"
	"lagoonlanding.example/lagoonlanding/timekeeper"
)

// publishDirectly writes the set through the store, for a fleet that has no daemon yet.
func (options *options) publishDirectly(ctx context.Context, flags *orderFlags, sources []parser.Source) error {
	set, faults := parser.Parse(sources)
	if len(faults) > 0 {
		return options.printOutcome(encoder.Outcome{
			Verdict: string(conductor.Faulty), Plan: encoder.Plan{Faults: encoder.FromFaults(faults)},
		})
	}
	store := storer.New(storer.Config{URL: flags.storeURL})
	conductor := conductor.New(conductor.Config{
		Store: store, Records: storeencoder.Records{}, Placer: placer.NewRendezvous(),
		Submitter: submitter.New(submitter.Config{Store: store, Sets: storeencoder.Sets{}, Clock: timekeeper.Clock{}}),
	})
	outcome := conductor.Publish(ctx, directOrder(flags, set))
	return options.printOutcome(encoder.FromOutcome(outcome, sources))
}

func directOrder(flags *orderFlags, set *publisher.Set) conductor.Order {
	return conductor.NewOrder(conductor.OrderConfig{
		Set: set, Base: flags.base, Accepted: flags.accepted(),
		Publication: publisher.NewPublication(publisher.PublicationConfig{
			ID: rand.Text(), Operator: flags.operator, Note: flags.note, Issued: time.Now().UTC(),
		}),
	})
}
