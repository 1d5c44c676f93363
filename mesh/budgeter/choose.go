package budgeter

import (
	"slices"
	"time"
)

// candidate is a connection that may be ended.
type candidate struct {
	account *Account
	since   int64
}

// choose returns the connections to end so that the excess is released, and marks them as ending.
func choose(clients map[*Account]struct{}, now time.Time, excess int64) (readers, idle []*Account) {
	var slow, unused []candidate
	for account := range clients {
		if account.isEnding.Load() {
			// What it holds will be released.
			excess -= account.bytes.Load()
			continue
		}
		if since := account.writingSince.Load(); since != 0 && since <= now.Add(-minBlocked).UnixNano() {
			slow = append(slow, candidate{account: account, since: since})
		} else if since := account.idleSince.Load(); since != 0 && since <= now.Add(-minIdle).UnixNano() {
			unused = append(unused, candidate{account: account, since: since})
		}
	}
	readers, excess = take(slow, excess)
	idle, _ = take(unused, excess)
	return readers, idle
}

// take marks and returns the connections that have been in their state for longest until the excess is released, and the rest of the excess.
func take(candidates []candidate, excess int64) ([]*Account, int64) {
	slices.SortFunc(candidates, func(one, other candidate) int {
		switch {
		case one.since < other.since:
			return -1
		case one.since > other.since:
			return 1
		}
		return 0
	})
	var taken []*Account
	for _, candidate := range candidates {
		if excess <= 0 {
			break
		}
		if candidate.account.isEnding.CompareAndSwap(false, true) {
			excess -= candidate.account.bytes.Load()
			taken = append(taken, candidate.account)
		}
	}
	return taken, excess
}
