package provider

import (
	"errors"
	"maps"
	"time"
)

// ErrTooMany says that the call is above a cap.
var ErrTooMany = errors.New("too many calls")

// CallKind names a kind of call in the counters.
type CallKind string

// The kinds of calls.
const (
	CallGet     CallKind = "get"
	CallList    CallKind = "list"
	CallSwap    CallKind = "swap"
	CallWatch   CallKind = "watch"
	CallLease   CallKind = "lease"
	CallRefused CallKind = "refused"
)

func (callkind CallKind) isWrite() bool { return callkind == CallSwap || callkind == CallLease }

// Counters holds the number of calls by kind.
type Counters map[CallKind]uint64

func (counters Counters) clone() Counters { return maps.Clone(counters) }

// bucket admits a number of calls in each second and lets at most one second's calls gather.
type bucket struct {
	rate    float64
	tokens  float64
	updated time.Time
}

func newBucket(rate int) *bucket { return &bucket{rate: float64(rate), tokens: float64(rate)} }

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
