package syncer

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// proxyStore makes calls to the store for other daemons, always directly and never through a third daemon.
type proxyStore struct {
	syncer *Syncer
}

var _ lagoonlanding.LeaseStore = proxyStore{}

// ProxyStore returns the store for daemons that it does not answer; calls fail with ErrStoreDisconnected while it does not answer this
// daemon either.
func (syncer *Syncer) ProxyStore() lagoonlanding.LeaseStore { return proxyStore{syncer: syncer} }

// proxyCall makes a call to the store for another daemon.
func proxyCall[T any](ctx context.Context, proxystore proxyStore, ask func(context.Context, lagoonlanding.LeaseStore) (T, error)) (T, error) {
	if !proxystore.syncer.canProxy() {
		var none T
		return none, lagoonlanding.ErrStoreDisconnected
	}
	return callDirect(ctx, proxystore.syncer, callTimeout, ask)
}

// Get reads one entry.
func (proxystore proxyStore) Get(ctx context.Context, key string) (lagoonlanding.Entry, error) {
	return proxyCall(ctx, proxystore, func(ctx context.Context, store lagoonlanding.LeaseStore) (lagoonlanding.Entry, error) {
		return store.Get(ctx, key)
	})
}

// Commit carries out a transaction.
func (proxystore proxyStore) Commit(ctx context.Context, transaction lagoonlanding.Transaction) (uint64, error) {
	return proxyCall(ctx, proxystore, func(ctx context.Context, store lagoonlanding.LeaseStore) (uint64, error) {
		return store.Commit(ctx, transaction)
	})
}

// Grant creates a lease.
func (proxystore proxyStore) Grant(ctx context.Context, term time.Duration) (lagoonlanding.LeaseID, error) {
	return proxyCall(ctx, proxystore, func(ctx context.Context, store lagoonlanding.LeaseStore) (lagoonlanding.LeaseID, error) {
		return store.Grant(ctx, term)
	})
}

// KeepAlive renews a lease.
func (proxystore proxyStore) KeepAlive(ctx context.Context, lease lagoonlanding.LeaseID) error {
	_, err := proxyCall(ctx, proxystore, keepAlive(lease))
	return err
}

// keepAlive returns the call that renews a lease.
func keepAlive(lease lagoonlanding.LeaseID) func(context.Context, lagoonlanding.LeaseStore) (struct{}, error) {
	return func(ctx context.Context, store lagoonlanding.LeaseStore) (struct{}, error) {
		return struct{}{}, store.KeepAlive(ctx, lease)
	}
}
