package admitter

import (
	"hash/fnv"
	"strconv"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// RanksPerPriority is the number of ranks of each priority.
	RanksPerPriority = 128
	// priorities is the number of priorities with ranks of their own; less urgent ones share the last.
	priorities = 8
	// ranks is the number of all ranks.
	ranks = priorities * RanksPerPriority
	// precedenceRanks is the number of ranks at each end of a priority that are kept for clients that return as told and for those that
	// return too early.
	precedenceRanks = RanksPerPriority / 8
)

// Rank orders tasks under overload; the lowest is the most important.
type Rank int

// RankOf returns the rank of a task: its priority, then how its client returned, then a spread over callers, shard keys and attempts.
//
// The daemons of origin and owner compute the same rank. The spread includes the attempt, so that no caller and no key is always the last.
func RankOf(task lagoonlanding.Task) Rank {
	base := min(max(task.Priority(), 0), priorities-1) * RanksPerPriority
	spread := spreadOf(task)
	switch task.Precedence() {
	case lagoonlanding.PrecedenceReturned:
		return Rank(base + spread%precedenceRanks)
	case lagoonlanding.PrecedenceImpatient:
		return Rank(base + RanksPerPriority - precedenceRanks + spread%precedenceRanks)
	}
	return Rank(base + precedenceRanks + spread%(RanksPerPriority-2*precedenceRanks))
}

func spreadOf(task lagoonlanding.Task) int {
	hash := fnv.New32a()
	for _, part := range []string{task.Caller(), strconv.Itoa(task.ShardKey()), task.ID()} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	// The high bits of this hash depend on all bytes.
	return int(hash.Sum32() >> 8)
}

// IsAdmitted reports whether a level admits the rank.
func (rank Rank) IsAdmitted(level lagoonlanding.AdmissionLevel) bool {
	return level == 0 || int(rank) < int(level)
}
