package provider

import (
	"errors"
	"maps"
	"time"
)

// ErrTooManyCalls means that the call exceeds a rate limit.
var ErrTooManyCalls = errors.New("too many calls")

// CallKind is the label of a kind of call in the counters.
type CallKind string

// The kinds of calls.
const (
	CallGet   CallKind = "get"
	CallList  CallKind = "list"
	CallSwap  CallKind = "swap"
	CallWatch CallKind = "watch"
	CallLease CallKind = "lease"
	// CallRefused counts the refused calls of all kinds, which are also counted under their own kind.
	CallRefused CallKind = "refused"
)

func (callkind CallKind) isWrite() bool { return callkind == CallSwap || callkind == CallLease }

// Counters holds the number of calls by kind.
type Counters map[CallKind]uint64

func (counters Counters) clone() Counters { return maps.Clone(counters) }

// bucket is a token bucket that limits calls to a rate per second, with a burst of at most one second's calls.
type bucket struct {
	rate    float64
	tokens  float64
	updated time.Time
}

// newBucket returns a full bucket.
func newBucket(rate int) *bucket { return &bucket{rate: float64(rate), tokens: float64(rate)} }

// take removes a token and reports whether there was one.
func (bucket *bucket) take(now time.Time) bool {
	if !bucket.updated.IsZero() {
		bucket.tokens = min(bucket.rate, bucket.tokens+bucket.rate*now.Sub(bucket.updated).Seconds())
	}
	bucket.updated = now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}
