package confirmer

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// statusTimeout is the time after which a witness that has not replied counts as silent.
	statusTimeout = time.Second
	// pollInterval is the time between two rounds of status requests.
	pollInterval = 500 * time.Millisecond
	// maxConcurrentRequests limits the status requests in flight.
	maxConcurrentRequests = 32
)

// Config holds the configuration of a Confirmer.
type Config struct {
	// Store holds the groups' records.
	Store lagoonlanding.Store
	// Records is the codec of the records.
	Records lagoonlanding.Codec[lagoonlanding.Record]
	// Peers sends the status requests to the witnesses.
	Peers lagoonlanding.Peers
	// Clock provides the time and the wait between two checks.
	Clock lagoonlanding.Clock
}

// Confirmer checks with the witnesses of all groups whether a set is in force.
type Confirmer struct{ config Config }

// New returns the confirmer with the given configuration.
func New(config Config) *Confirmer { return &Confirmer{config: config} }

// Confirmation is the result of checking whether a set is in force.
type Confirmation struct {
	version uint64
	groups  int
	lags    []Lag
	err     error
}

// NewConfirmation returns the result of querying the witnesses once; err is the reason why they could not be queried.
func NewConfirmation(version uint64, groups int, lags []Lag, err error) Confirmation {
	return Confirmation{version: version, groups: groups, lags: lags, err: err}
}

// Version returns the version of the set.
func (confirmation Confirmation) Version() uint64 { return confirmation.version }

// Groups returns the number of groups that were queried.
func (confirmation Confirmation) Groups() int { return confirmation.groups }

// Lags returns the reasons why the set is not yet confirmed to be in force everywhere.
func (confirmation Confirmation) Lags() []Lag { return confirmation.lags }

// Err returns the reason why the witnesses could not be queried.
func (confirmation Confirmation) Err() error { return confirmation.err }

// IsInForce reports whether no instance can serve requests under an older set.
func (confirmation Confirmation) IsInForce() bool {
	return confirmation.err == nil && len(confirmation.lags) == 0
}

// Wait polls until the set is in force everywhere or ctx is done, and returns the last result.
func (confirmer *Confirmer) Wait(ctx context.Context, version uint64) Confirmation {
	for {
		// The check is not cancelled with ctx, so that there is a result even if ctx is done at once.
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

// Confirm queries the witnesses of all groups once. It must read the records after the set was written: leases granted under a record that was written
// later imply that the set is applied.
func (confirmer *Confirmer) Confirm(ctx context.Context, version uint64) Confirmation {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	records, err := confirmer.readRecords(ctx)
	if err != nil {
		return NewConfirmation(version, 0, nil, err)
	}
	replies := confirmer.QueryWitnesses(ctx, records)
	now := confirmer.config.Clock.Now()
	var lags []Lag
	for i, record := range records {
		lags = append(lags, FindLags(now, version, record, replies[i])...)
	}
	return NewConfirmation(version, len(records), lags, nil)
}

func (confirmer *Confirmer) readRecords(ctx context.Context) ([]lagoonlanding.Record, error) {
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

// QueryWitnesses returns the replies of the witnesses of each record, in the order of the records.
func (confirmer *Confirmer) QueryWitnesses(ctx context.Context, records []lagoonlanding.Record) []map[lagoonlanding.InstanceID]Reply {
	replies := make([]map[lagoonlanding.InstanceID]Reply, len(records))
	var mutex sync.Mutex
	var requests sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentRequests)
	for i, record := range records {
		replies[i] = make(map[lagoonlanding.InstanceID]Reply)
		for _, witness := range record.Current().Witnesses() {
			requests.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				status, err := confirmer.config.Peers.Status(ctx, witness, lagoonlanding.NewStatusRequest(record.Group()))
				mutex.Lock()
				defer mutex.Unlock()
				replies[i][witness.ID()] = NewReply(status, err)
			})
		}
	}
	requests.Wait()
	return replies
}
