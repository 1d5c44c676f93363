package provider

import (
	"errors"
	"time"
)

// ErrNoLease means that the lease has expired or never existed.
var ErrNoLease = errors.New("no such lease")

// LeaseID identifies a lease; zero stands for no lease.
type LeaseID uint64

// lease holds the keys of its entries with the revisions that were written under it.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	keys     map[string]uint64
}

// Grant returns a new lease that expires after its time to live unless it is renewed.
func (store *Store) Grant(ttl time.Duration, now time.Time) LeaseID {
	store.lastID++
	store.leases[store.lastID] = &lease{ttl: ttl, deadline: now.Add(ttl), keys: make(map[string]uint64)}
	return store.lastID
}

// Renew extends the lease by its time to live, counted from now.
func (store *Store) Renew(id LeaseID, now time.Time) error {
	lease := store.leases[id]
	if lease == nil {
		return ErrNoLease
	}
	lease.deadline = now.Add(lease.ttl)
	return nil
}

// Revoke ends the lease and deletes the entries attached to it.
func (store *Store) Revoke(id LeaseID) error {
	lease := store.leases[id]
	if lease == nil {
		return ErrNoLease
	}
	delete(store.leases, id)
	for key, revision := range lease.keys {
		entry, err := store.table.Get(key)
		// An entry that was since written without the lease is no longer attached to it.
		if err == nil && entry.Revision() == revision {
			store.table.Delete(key)
		}
	}
	store.notify()
	return nil
}

// Expire revokes the leases whose deadline has passed and returns the next deadline, or the zero time if there is none.
func (store *Store) Expire(now time.Time) time.Time {
	var next time.Time
	for id, lease := range store.leases {
		if !lease.deadline.After(now) {
			_ = store.Revoke(id)
			continue
		}
		if next.IsZero() || lease.deadline.Before(next) {
			next = lease.deadline
		}
	}
	return next
}
