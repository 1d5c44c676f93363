package messenger

import (
	"math"
	"testing"
	"time"
)

func TestBackoffDoublesUpToItsBound(t *testing.T) {
	for failures, want := range map[int]time.Duration{
		0: firstBackoff, 1: 2 * firstBackoff, 4: 16 * firstBackoff, 5: lastBackoff, 6: lastBackoff, math.MaxInt: lastBackoff,
	} {
		if got := backoffAfter(failures); got != want {
			t.Errorf("after %d failures: %v, want %v", failures, got, want)
		}
	}
}
