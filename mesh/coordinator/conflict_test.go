package coordinator

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// releaseLoad is a moment in which many owners release keys: each writes once to the same entry.
type releaseLoad struct {
	writers int
	// span is the time within which the owners have released their keys.
	span time.Duration
	// roundTrip is that of a write, and viewDelay the time until a daemon knows of another one's write.
	roundTrip, viewDelay time.Duration
}

// releaseResult is what the load costs.
type releaseResult struct {
	calls int
	// lastDelay is the time from the last release to the last write.
	lastDelay time.Duration
}

// releaseWriter is one owner's daemon.
type releaseWriter struct {
	// arrivesAt is when its next write reaches the store, and seenAt the time of which it knows the entry.
	arrivesAt, seenAt time.Duration
	conflicts         int
	done              bool
}

// play plays the load with a policy for the delay after conflicts.
func (load releaseLoad) play(random *rand.Rand, delay func(conflicts, owners int, hash uint64) time.Duration) releaseResult {
	writers := make([]releaseWriter, load.writers)
	for index := range writers {
		ready := time.Duration(random.Int64N(int64(load.span)))
		writers[index] = releaseWriter{arrivesAt: ready + load.roundTrip/2, seenAt: ready - load.viewDelay}
	}
	var result releaseResult
	writtenAt := -time.Hour
	for written := range load.writers {
		for {
			next := slices.MinFunc(pointers(writers), func(a, b *releaseWriter) int {
				if a.done != b.done {
					if a.done {
						return 1
					}
					return -1
				}
				return int(a.arrivesAt - b.arrivesAt)
			})
			result.calls++
			if next.seenAt >= writtenAt {
				next.done, writtenAt = true, next.arrivesAt
				break
			}
			next.conflicts++
			wait := delay(next.conflicts, load.writers-written, random.Uint64())
			sentAt := next.arrivesAt + load.roundTrip/2 + wait
			next.seenAt = max(next.arrivesAt, sentAt-load.viewDelay)
			next.arrivesAt = sentAt + load.roundTrip/2
		}
	}
	result.lastDelay = writtenAt - load.span
	return result
}

func pointers(writers []releaseWriter) []*releaseWriter {
	all := make([]*releaseWriter, len(writers))
	for index := range writers {
		all[index] = &writers[index]
	}
	return all
}

// TestReleasesOfAMomentTakeFewCalls plays the releases of 98 owners within one interval of announcements. A daemon may make six calls a day.
func TestReleasesOfAMomentTakeFewCalls(t *testing.T) {
	load := releaseLoad{writers: 98, span: 900 * time.Millisecond, roundTrip: 14 * time.Millisecond, viewDelay: 200 * time.Millisecond}
	for seed := range uint64(20) {
		result := load.play(rand.New(rand.NewPCG(seed, 1)), conflictDelay)
		if most := 6 * load.writers; result.calls > most {
			t.Errorf("seed %d: %d calls for %d releases, at most %d are allowed", seed, result.calls, load.writers, most)
		}
		if result.lastDelay > 2*time.Second {
			t.Errorf("seed %d: the last release was written after %v", seed, result.lastDelay)
		}
		t.Logf("seed %d: %d calls, the last release after %v", seed, result.calls, result.lastDelay)
	}
	// The spread before: a fifth of a second after each conflict.
	before := load.play(rand.New(rand.NewPCG(1, 1)), func(_, _ int, hash uint64) time.Duration { return time.Duration(hash % uint64(200*time.Millisecond)) })
	t.Logf("spread over 200 ms after each conflict: %d calls, the last release after %v", before.calls, before.lastDelay)
}
