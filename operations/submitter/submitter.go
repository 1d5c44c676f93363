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
	// retryInterval is the time between two tries of a write whose answer was lost.
	retryInterval = 200 * time.Millisecond
	// callTimeout is when the answer to a call of the store is taken for lost.
	callTimeout = 2 * time.Second
)

// Config holds what a Submitter works with.
type Config struct {
	// Store holds the sets.
	Store lagoonlanding.Store
	// Sets is the codec of the sets.
	Sets lagoonlanding.Codec[*publisher.Set]
	// Clock paces the tries.
	Clock lagoonlanding.Clock
}

// Submitter writes sets to the store.
type Submitter struct{ config Config }

// New returns the submitter that the configuration describes.
func New(config Config) *Submitter { return &Submitter{config: config} }

// Read returns the set that the store holds.
func (submitter *Submitter) Read(ctx context.Context) (Held, error) {
	entry, err := submitter.get(ctx, lagoonlanding.SetKey)
	if errors.Is(err, lagoonlanding.ErrNotFound) {
		return Held{}, nil
	}
	if err != nil {
		return Held{}, oops.In("submitter").Wrapf(err, "reading the published set")
	}
	set, err := submitter.config.Sets.Decode(entry)
	if err != nil {
		return Held{}, oops.In("submitter").Wrapf(err, "reading the published set")
	}
	return NewHeld(set, entry.Revision()), nil
}

// Submit writes the candidate as the successor of the held set; its publication must have an ID of its own.
//
// A write whose answer was lost is repeated: it can take effect once only, since the expected revision is gone afterwards.
func (submitter *Submitter) Submit(ctx context.Context, held Held, candidate *publisher.Set) Submission {
	candidate = candidate.WithVersion(held.Version() + 1)
	value, err := submitter.config.Sets.Encode(candidate)
	if err != nil {
		return NewSubmission(NotWritten, held.Set(), err)
	}
	// The next publisher overwrites the held set, so it must be in the history first.
	if err := submitter.keep(ctx, held.Set()); err != nil {
		return NewSubmission(NotWritten, held.Set(), err)
	}
	submission := submitter.write(ctx, held, candidate, value)
	if submission.Result() == Written {
		// A failure here is made good by the next publisher.
		_ = submitter.keep(ctx, candidate)
	}
	return submission
}

func (submitter *Submitter) write(ctx context.Context, held Held, candidate *publisher.Set, value []byte) Submission {
	mayBeWritten := false
	for {
		_, err := submitter.swap(ctx, lagoonlanding.SetKey, held.Revision(), value)
		switch {
		case err == nil:
			return NewSubmission(Written, candidate, nil)
		case errors.Is(err, lagoonlanding.ErrConflict):
			submission, err := submitter.readBack(ctx, candidate)
			if err == nil {
				return submission
			}
			// The earlier try that lost its answer may be the cause of the conflict.
			mayBeWritten = true
		case errors.Is(err, lagoonlanding.ErrUnavailable) && !mayBeWritten:
			return NewSubmission(NotWritten, held.Set(), oops.In("submitter").Wrapf(err, "writing set %d", candidate.Version()))
		default:
			mayBeWritten = true
		}
		if !submitter.pause(ctx) {
			return NewSubmission(Uncertain, nil, oops.In("submitter").Wrapf(errors.Join(err, ctx.Err()), "writing set %d", candidate.Version()))
		}
	}
}

// readBack tells whether the candidate was written, after the store has refused to write it over the held revision.
func (submitter *Submitter) readBack(ctx context.Context, candidate *publisher.Set) (Submission, error) {
	now, err := submitter.Read(ctx)
	if err != nil {
		return Submission{}, err
	}
	if now.Set() == nil {
		return Submission{}, oops.In("submitter").Errorf("the store lost the published set")
	}
	if now.Set().Publication().ID() == candidate.Publication().ID() {
		return NewSubmission(Written, candidate, nil), nil
	}
	if now.Version() == candidate.Version() {
		return NewSubmission(Outrun, now.Set(), lagoonlanding.ErrConflict), nil
	}
	return submitter.readHistory(ctx, candidate, now)
}

// readHistory tells whether the candidate was in force before the set that the store holds now.
func (submitter *Submitter) readHistory(ctx context.Context, candidate *publisher.Set, now Held) (Submission, error) {
	kept, err := submitter.kept(ctx, candidate.Version())
	if err != nil {
		return Submission{}, err
	}
	switch {
	case kept.Version() != candidate.Version():
		return NewSubmission(Uncertain, nil, oops.In("submitter").Errorf("set %d is no longer in the history", candidate.Version())), nil
	case kept.Set().Publication().ID() == candidate.Publication().ID():
		return NewSubmission(Written, candidate, nil), nil
	}
	return NewSubmission(Outrun, now.Set(), lagoonlanding.ErrConflict), nil
}

func (submitter *Submitter) get(ctx context.Context, key string) (lagoonlanding.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return submitter.config.Store.Get(ctx, key)
}

func (submitter *Submitter) swap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return submitter.config.Store.CompareAndSwap(ctx, key, expected, value)
}

func (submitter *Submitter) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-submitter.config.Clock.Until(submitter.config.Clock.Now().Add(retryInterval)):
		return true
	}
}
