package provider

import (
	"errors"
	"time"
)

// ErrNoLease says that the lease has expired or never existed.
var ErrNoLease = errors.New("no such lease")

// LeaseID names a lease.
type LeaseID uint64

type lease struct {
	term     time.Duration
	deadline time.Time
	keys     map[string]uint64
}

// Grant returns a new lease that expires after the term unless it is renewed.
func (platform *Platform) Grant(term time.Duration, now time.Time) LeaseID {
	platform.lastID++
	platform.leases[platform.lastID] = &lease{term: term, deadline: now.Add(term), keys: make(map[string]uint64)}
	return platform.lastID
}

// Renew moves the deadline of the lease by its term from now.
func (platform *Platform) Renew(id LeaseID, now time.Time) error {
	held := platform.leases[id]
	if held == nil {
		return ErrNoLease
	}
	held.deadline = now.Add(held.term)
	return nil
}

// Revoke ends the lease and deletes the entries that went with it.
func (platform *Platform) Revoke(id LeaseID) error {
	held := platform.leases[id]
	if held == nil {
		return ErrNoLease
	}
	delete(platform.leases, id)
	for key, revision := range held.keys {
		entry, err := platform.table.Get(key)
		// An entry that was written again without the lease stays.
		if err == nil && entry.Revision() == revision {
			platform.table.Delete(key)
		}
	}
	platform.notify()
	return nil
}

// Expire ends the leases whose deadline has passed and returns the next deadline, zero for none.
func (platform *Platform) Expire(now time.Time) time.Time {
	var next time.Time
	for id, held := range platform.leases {
		if !held.deadline.After(now) {
			_ = platform.Revoke(id)
			continue
		}
		if next.IsZero() || held.deadline.Before(next) {
			next = held.deadline
		}
	}
	return next
}
