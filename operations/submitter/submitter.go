package submitter

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

const (
	// retryInterval is the time between two attempts of a write whose reply was lost.
	retryInterval = 200 * time.Millisecond
	// callTimeout is the time after which the reply to a call of the store counts as lost.
	callTimeout = 2 * time.Second
)

// Config holds the configuration of a Submitter.
type Config struct {
	// Store holds the sets.
	Store lagoonlanding.Store
	// Sets is the codec of the sets.
	Sets lagoonlanding.Codec[*publisher.Set]
	// Clock provides the time between attempts.
	Clock lagoonlanding.Clock
}

// Submitter writes sets to the store.
type Submitter struct{ config Config }

// New returns the submitter with the given configuration.
func New(config Config) *Submitter { return &Submitter{config: config} }

// Read returns the published set from the store.
func (submitter *Submitter) Read(ctx context.Context) (StoredSet, error) {
	entry, err := submitter.get(ctx, lagoonlanding.SetKey)
	if errors.Is(err, lagoonlanding.ErrNotFound) {
		return StoredSet{}, nil
	}
	if err != nil {
		return StoredSet{}, oops.In("submitter").Wrapf(err, "reading the published set")
	}
	set, err := submitter.config.Sets.Decode(entry)
	if err != nil {
		return StoredSet{}, oops.In("submitter").Wrapf(err, "reading the published set")
	}
	return NewStoredSet(set, entry.Revision()), nil
}

// Submit writes the candidate as the successor of the stored set; its publication must have a unique ID.
//
// A write whose reply was lost is repeated. It can take effect only once, since it changes the revision that it expects.
func (submitter *Submitter) Submit(ctx context.Context, storedset StoredSet, candidate *publisher.Set) Submission {
	candidate = candidate.WithVersion(storedset.Version() + 1)
	value, err := submitter.config.Sets.Encode(candidate)
	if err != nil {
		return NewSubmission(NotWritten, storedset.Set(), err)
	}
	// The write replaces the stored set, so the history must hold it first.
	if err := submitter.saveToHistory(ctx, storedset.Set()); err != nil {
		return NewSubmission(NotWritten, storedset.Set(), err)
	}
	submission := submitter.write(ctx, storedset, candidate, value)
	if submission.Result() == Written {
		// After a failure here, the next publisher saves the set.
		_ = submitter.saveToHistory(ctx, candidate)
	}
	return submission
}

func (submitter *Submitter) write(ctx context.Context, storedset StoredSet, candidate *publisher.Set, value []byte) Submission {
	maybeWritten := false
	for {
		_, err := submitter.compareAndSwap(ctx, lagoonlanding.SetKey, storedset.Revision(), value)
		switch {
		case err == nil:
			return NewSubmission(Written, candidate, nil)
		case errors.Is(err, lagoonlanding.ErrConflict):
			submission, err := submitter.resolveConflict(ctx, candidate)
			if err == nil {
				return submission
			}
			// An earlier attempt whose reply was lost may have caused the conflict.
			maybeWritten = true
		case errors.Is(err, lagoonlanding.ErrUnavailable) && !maybeWritten:
			return NewSubmission(NotWritten, storedset.Set(), oops.In("submitter").Wrapf(err, "writing set %d", candidate.Version()))
		default:
			maybeWritten = true
		}
		if !submitter.waitForRetry(ctx) {
			return NewSubmission(Uncertain, nil, oops.In("submitter").Wrapf(errors.Join(err, ctx.Err()), "writing set %d", candidate.Version()))
		}
	}
}

// resolveConflict finds out whether the candidate was written, after the store has rejected a write with a conflict.
func (submitter *Submitter) resolveConflict(ctx context.Context, candidate *publisher.Set) (Submission, error) {
	current, err := submitter.Read(ctx)
	if err != nil {
		return Submission{}, err
	}
	if current.Set() == nil {
		return Submission{}, oops.In("submitter").Errorf("the store lost the published set")
	}
	if current.Set().Publication().ID() == candidate.Publication().ID() {
		return NewSubmission(Written, candidate, nil), nil
	}
	if current.Version() == candidate.Version() {
		return NewSubmission(Outrun, current.Set(), lagoonlanding.ErrConflict), nil
	}
	return submitter.resolveFromHistory(ctx, candidate, current)
}

// resolveFromHistory finds out whether the candidate was in force before the current set.
func (submitter *Submitter) resolveFromHistory(ctx context.Context, candidate *publisher.Set, current StoredSet) (Submission, error) {
	saved, err := submitter.readHistoryEntry(ctx, candidate.Version())
	if err != nil {
		return Submission{}, err
	}
	switch {
	case saved.Version() != candidate.Version():
		return NewSubmission(Uncertain, nil, oops.In("submitter").Errorf("set %d is no longer in the history", candidate.Version())), nil
	case saved.Set().Publication().ID() == candidate.Publication().ID():
		return NewSubmission(Written, candidate, nil), nil
	}
	return NewSubmission(Outrun, current.Set(), lagoonlanding.ErrConflict), nil
}

func (submitter *Submitter) get(ctx context.Context, key string) (lagoonlanding.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return submitter.config.Store.Get(ctx, key)
}

func (submitter *Submitter) compareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return submitter.config.Store.CompareAndSwap(ctx, key, expected, value)
}

func (submitter *Submitter) waitForRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-submitter.config.Clock.Until(submitter.config.Clock.Now().Add(retryInterval)):
		return true
	}
}
