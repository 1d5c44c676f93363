package admitter

import (
	"hash/fnv"
	"strconv"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// RanksPerPriority is the number of ranks of each priority.
	RanksPerPriority = 128
	// priorities is the number of priorities with ranks of their own; less urgent ones share the last.
	priorities = 8
	// ranks is the number of all ranks.
	ranks = priorities * RanksPerPriority
	// precedenceRanks is the number of ranks at the end of a priority that are kept for clients that return too early.
	precedenceRanks = RanksPerPriority / 8
	// usualObjective is the objective from which tasks are spread over all ranks of their priority, that of requests of clients; minPatience keeps
	// the ranks of the shortest ones apart from each other.
	usualObjective, minPatience = 400 * time.Millisecond, 0.25
)

// Rank orders tasks under overload; the lowest is the most important.
type Rank int

// RankOf returns the rank of a task: its priority, then whether its client returned too early, then a spread over callers, shard keys and attempts.
//
// The daemons of origin and owner compute the same rank. The spread includes the attempt, so that no caller and no key is always the last. Clients
// that return as told have precedence in the queue of a gate only: with ranks of their own, first attempts were refused in their favour, and a
// step to twice the capacity took 158 client tries for 100 requests instead of 143.
func RankOf(task lagoonlanding.Task) Rank {
	base, spread := min(max(task.Priority(), 0), priorities-1)*RanksPerPriority, spreadOf(task)
	if task.Precedence() == lagoonlanding.PrecedenceImpatient {
		return Rank(base + RanksPerPriority - precedenceRanks + spread%precedenceRanks)
	}
	return Rank(base + int(float64(spread%(RanksPerPriority-precedenceRanks))*patience(task)))
}

// patience returns the part of the ranks over which the tasks with the objective of this one are spread.
//
// The cost of a wait is taken as one over the objective. Calls have the shortest objectives, and the request that made the call fails without it.
func patience(task lagoonlanding.Task) float64 {
	objective := task.Objective().Sub(task.Received())
	if task.Objective().IsZero() || objective >= usualObjective {
		return 1
	}
	return max(objective.Seconds()/usualObjective.Seconds(), minPatience)
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
