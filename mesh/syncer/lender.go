package syncer

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// lender carries calls of other daemons out at the store, and never through a further daemon.
type lender struct {
	syncer *Syncer
}

var _ lagoonlanding.LeaseStore = lender{}

// Lend returns the store for daemons that it does not answer; calls fail with ErrStoreDisconnected while it does not answer this one either.
func (syncer *Syncer) Lend() lagoonlanding.LeaseStore { return lender{syncer: syncer} }

func lend[T any](ctx context.Context, lender lender, ask func(context.Context, lagoonlanding.LeaseStore) (T, error)) (T, error) {
	if !lender.syncer.mayLend() {
		var none T
		return none, lagoonlanding.ErrStoreDisconnected
	}
	return direct(ctx, lender.syncer, callTerm, ask)
}

// Get reads one entry.
func (lender lender) Get(ctx context.Context, key string) (lagoonlanding.Entry, error) {
	return lend(ctx, lender, func(ctx context.Context, store lagoonlanding.LeaseStore) (lagoonlanding.Entry, error) {
		return store.Get(ctx, key)
	})
}

// Put writes entries together.
func (lender lender) Put(ctx context.Context, puts ...lagoonlanding.Put) (uint64, error) {
	return lend(ctx, lender, func(ctx context.Context, store lagoonlanding.LeaseStore) (uint64, error) {
		return store.Put(ctx, puts...)
	})
}

// PutIf writes an entry under conditions.
func (lender lender) PutIf(ctx context.Context, put lagoonlanding.Put, expected uint64, absent ...string) (uint64, error) {
	return lend(ctx, lender, func(ctx context.Context, store lagoonlanding.LeaseStore) (uint64, error) {
		return store.PutIf(ctx, put, expected, absent...)
	})
}

// Grant begins a lease.
func (lender lender) Grant(ctx context.Context, term time.Duration) (lagoonlanding.LeaseID, error) {
	return lend(ctx, lender, func(ctx context.Context, store lagoonlanding.LeaseStore) (lagoonlanding.LeaseID, error) {
		return store.Grant(ctx, term)
	})
}

// KeepAlive renews a lease.
func (lender lender) KeepAlive(ctx context.Context, lease lagoonlanding.LeaseID) error {
	_, err := lend(ctx, lender, keep(lease))
	return err
}

// keep returns the call that renews a lease.
func keep(lease lagoonlanding.LeaseID) func(context.Context, lagoonlanding.LeaseStore) (struct{}, error) {
	return func(ctx context.Context, store lagoonlanding.LeaseStore) (struct{}, error) {
		return struct{}{}, store.KeepAlive(ctx, lease)
	}
}
