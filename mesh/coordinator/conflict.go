package coordinator

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// writeSpacing is the time between two writes to an entry that rarely conflict: a round trip to the store, also from another region.
	writeSpacing = 16 * time.Millisecond
	// minConflictSpread is the shortest time over which daemons spread writes that conflicted.
	minConflictSpread = 100 * time.Millisecond
)

// conflictDelay returns how long a daemon waits after a number of conflicting writes in a row, if as many owners have keys to release; the hash
// differs between daemons and writes.
//
// Load: a hundred owners that release keys within a second, each with a write of its own to the same entry. After a delay the known entry is
// older than the store's, so the first conflict only brings the current one, and the write is repeated on top of it at once. If that conflicts
// as well, other daemons write within the same round trip, and the owners spread their writes so that they seldom do.
func conflictDelay(conflicts, owners int, hash uint64) time.Duration {
	if conflicts%2 == 1 {
		return 0
	}
	return time.Duration(hash % uint64(max(time.Duration(owners)*writeSpacing, minConflictSpread)))
}

// awaitedOwners returns how many owners have keys to release in the allotment under a key.
func (coordinator *Coordinator) awaitedOwners(key string) int {
	stored, ok := coordinator.allotments[strings.TrimPrefix(key, allotmentPrefix)]
	if !ok {
		return 0
	}
	return stored.allotment.AwaitedOwners()
}

// eraHash returns a number that differs between daemons and eras.
func (coordinator *Coordinator) eraHash(service string) uint64 {
	return xxhash.Sum64String(fmt.Sprint(coordinator.config.Self.ID().Daemon(), service, coordinator.era))
}

// conflictHash returns a number that differs between daemons and generations.
func (coordinator *Coordinator) conflictHash(key string) uint64 {
	return xxhash.Sum64String(fmt.Sprint(coordinator.config.Self.ID().Daemon(), key, coordinator.generation))
}
