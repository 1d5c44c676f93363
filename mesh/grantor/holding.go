package grantor

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Holding is what the backend server holds, for traffic to read; it does not change.
type Holding struct {
	ranges []lagoonlanding.HeldRange
	lapses time.Time
}

// NewHolding returns the holding of the ranges, in order, until they lapse.
func NewHolding(ranges []lagoonlanding.HeldRange, lapses time.Time) *Holding {
	return &Holding{ranges: ranges, lapses: lapses}
}

// Has reports whether the backend server holds the key.
func (holding *Holding) Has(now time.Time, key int) bool {
	return now.Before(holding.lapses) && overlaps(holding.ranges, key, key)
}
