package syncer

import "time"

// backoff computes delays that double with each consecutive failure, up to a maximum.
type backoff struct {
	failures int
}

func newBackoff() *backoff { return &backoff{} }

func (backoff *backoff) next() time.Duration {
	delay := min(minBackoff<<min(backoff.failures, 10), maxBackoff)
	backoff.failures++
	return delay
}

func (backoff *backoff) reset() { backoff.failures = 0 }
