package confirmer

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// askTimeout is when a witness counts as silent.
	askTimeout = time.Second
	// pollInterval is the time between two rounds of questions.
	pollInterval = 500 * time.Millisecond
	// maxAsking bounds the questions under way.
	maxAsking = 32
)

// Config holds what a Confirmer works with.
type Config struct {
	// Store holds the groups' records.
	Store lagoonlanding.Store
	// Records is the codec of the records.
	Records lagoonlanding.Codec[lagoonlanding.Record]
	// Peers carries the questions to the witnesses.
	Peers lagoonlanding.Peers
	// Clock paces the rounds.
	Clock lagoonlanding.Clock
}

// Confirmer asks the witnesses of all groups.
type Confirmer struct{ config Config }

// New returns the confirmer that the configuration describes.
func New(config Config) *Confirmer { return &Confirmer{config: config} }

// Confirmation is what is known of a set's being in force.
type Confirmation struct {
	version uint64
	groups  int
	lags    []Lag
	err     error
}

// NewConfirmation returns what one round found out; err says why nothing could be found out.
func NewConfirmation(version uint64, groups int, lags []Lag, err error) Confirmation {
	return Confirmation{version: version, groups: groups, lags: lags, err: err}
}

// Version returns the version of the set.
func (confirmation Confirmation) Version() uint64 { return confirmation.version }

// Groups returns how many groups were asked.
func (confirmation Confirmation) Groups() int { return confirmation.groups }

// Lags returns why the set is not yet known to be in force everywhere.
func (confirmation Confirmation) Lags() []Lag { return confirmation.lags }

// Err returns why nothing could be found out.
func (confirmation Confirmation) Err() error { return confirmation.err }

// IsInForce reports whether no instance can serve by an older set.
func (confirmation Confirmation) IsInForce() bool {
	return confirmation.err == nil && len(confirmation.lags) == 0
}

// Wait asks until the set is in force everywhere or ctx ends, and returns the last finding.
func (confirmer *Confirmer) Wait(ctx context.Context, version uint64) Confirmation {
	for {
		// A round that has begun is finished, so that there is a finding even when ctx ends at once.
		confirmation := confirmer.Confirm(context.WithoutCancel(ctx), version)
		if confirmation.IsInForce() {
			return confirmation
		}
		select {
		case <-ctx.Done():
			return confirmation
		case <-confirmer.config.Clock.Until(confirmer.config.Clock.Now().Add(pollInterval)):
		}
	}
}

// Confirm asks once. It must read the records after the set was written: leases under a record that was written later
// imply the set.
func (confirmer *Confirmer) Confirm(ctx context.Context, version uint64) Confirmation {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	records, err := confirmer.records(ctx)
	if err != nil {
		return NewConfirmation(version, 0, nil, err)
	}
	answers := confirmer.Ask(ctx, records)
	now := confirmer.config.Clock.Now()
	var lags []Lag
	for i, record := range records {
		lags = append(lags, Judge(now, version, record, answers[i])...)
	}
	return NewConfirmation(version, len(records), lags, nil)
}

func (confirmer *Confirmer) records(ctx context.Context) ([]lagoonlanding.Record, error) {
	listing, err := confirmer.config.Store.List(ctx, lagoonlanding.GroupPrefix)
	if err != nil {
		return nil, oops.In("confirmer").Wrapf(err, "reading the groups' records")
	}
	var records []lagoonlanding.Record
	for _, entry := range listing.Entries() {
		record, err := confirmer.config.Records.Decode(entry)
		if err != nil {
			return nil, oops.In("confirmer").Wrapf(err, "reading the groups' records")
		}
		records = append(records, record)
	}
	return records, nil
}

// Ask returns the answers of the witnesses of each record.
func (confirmer *Confirmer) Ask(ctx context.Context, records []lagoonlanding.Record) []map[lagoonlanding.InstanceID]Answer {
	answers := make([]map[lagoonlanding.InstanceID]Answer, len(records))
	var mutex sync.Mutex
	var asking sync.WaitGroup
	places := make(chan struct{}, maxAsking)
	for i, record := range records {
		answers[i] = make(map[lagoonlanding.InstanceID]Answer)
		for _, witness := range record.Current().Witnesses() {
			asking.Go(func() {
				places <- struct{}{}
				defer func() { <-places }()
				status, err := confirmer.config.Peers.Status(ctx, witness, lagoonlanding.NewStatusRequest(record.Group()))
				mutex.Lock()
				defer mutex.Unlock()
				answers[i][witness.ID()] = NewAnswer(status, err)
			})
		}
	}
	asking.Wait()
	return answers
}
