package assigner

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Ownership is the set of keys that the backend server owns until a given time; it is immutable.
type Ownership struct {
	ranges    []lagoonlanding.HeldRange
	expiresAt time.Time
}

// NewOwnership returns the ownership of the ranges, in key order, until they expire.
func NewOwnership(ranges []lagoonlanding.HeldRange, expiresAt time.Time) *Ownership {
	return &Ownership{ranges: ranges, expiresAt: expiresAt}
}

// Has reports whether the backend server owns the key.
func (ownership *Ownership) Has(now time.Time, key int) bool {
	return now.Before(ownership.expiresAt) && overlaps(ownership.ranges, key, key)
}
