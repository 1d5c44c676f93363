package gatekeeper

import "time"

// rankTerm is how long a rank counts after its last task.
const rankTerm = 10 * time.Second

// ranks are those of the tasks that came lately, each with when it is forgotten.
type ranks map[int]time.Time

func (ranks ranks) note(now time.Time, rank int) {
	ranks[rank] = now.Add(rankTerm)
	for other, until := range ranks {
		if now.After(until) {
			delete(ranks, other)
		}
	}
}

// isUrgent reports whether tasks of a lesser rank come here too.
func (ranks ranks) isUrgent(rank int) bool {
	for other := range ranks {
		if other > rank {
			return true
		}
	}
	return false
}
