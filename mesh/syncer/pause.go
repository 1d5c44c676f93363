package syncer

import "time"

// pause grows with each failure in a row.
type pause struct {
	failures int
}

func newPause() *pause { return &pause{} }

func (pause *pause) next() time.Duration {
	wait := min(shortestPause<<min(pause.failures, 10), longestPause)
	pause.failures++
	return wait
}

func (pause *pause) reset() { pause.failures = 0 }
