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
//
// Slow readers come first, since they have had their request run and are least likely to get the rest. Idle connections cost their clients least, but
// hold least as well. A slow sender loses a request that might still be answered.
func choose(clients map[*Account]struct{}, now time.Time, excess int64) map[Cause][]*Account {
	candidates := map[Cause][]candidate{}
	for account := range clients {
		if account.isEnding.Load() {
			// What it holds will be released.
			excess -= account.bytes.Load()
			continue
		}
		if cause, since := account.state(now); cause != 0 {
			candidates[cause] = append(candidates[cause], candidate{account: account, since: since})
		}
	}
	ended := map[Cause][]*Account{}
	for _, cause := range []Cause{SlowReader, IdleConnection, SlowSender} {
		ended[cause], excess = take(candidates[cause], excess)
	}
	return ended
}

// state returns for which cause the connection may be ended and since when it has been in that state, zero if it may not be ended.
func (account *Account) state(now time.Time) (cause Cause, since int64) {
	if since := account.writingSince.Load(); since != 0 && since <= now.Add(-minBlocked).UnixNano() {
		return SlowReader, since
	}
	if since := account.idleSince.Load(); since != 0 && since <= now.Add(-minIdle).UnixNano() {
		return IdleConnection, since
	}
	if since := account.readingSince.Load(); since != 0 && since <= now.Add(-minSending).UnixNano() {
		return SlowSender, since
	}
	return 0, 0
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
