package messenger

import (
	"math"
	"testing"
	"time"
)

func TestBackoffDoublesUpToItsMaximum(t *testing.T) {
	for failures, want := range map[int]time.Duration{
		0: minBackoff, 1: 2 * minBackoff, 4: 16 * minBackoff, 5: maxBackoff, 6: maxBackoff, math.MaxInt: maxBackoff,
	} {
		if got := backoffAfter(failures); got != want {
			t.Errorf("after %d failures: %v, want %v", failures, got, want)
		}
	}
}
