package deduplicator

import (
	"cmp"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Export returns the shard's entries, ordered by key, for the owner after this one; the shard must no longer admit requests.
func (ledger *Ledger) Export(now time.Time, shard lagoonlanding.ShardID) []lagoonlanding.Attempt {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.expire(now)
	attempts := make([]lagoonlanding.Attempt, 0, len(ledger.shards[shard]))
	for _, entry := range ledger.shards[shard] {
		attempt := lagoonlanding.NewAttempt(entry.key, entry.expires, entry.done, entry.reply)
		attempts = append(attempts, attempt.WithDigest(entry.digest))
	}
	slices.SortFunc(attempts, func(a, b lagoonlanding.Attempt) int { return cmp.Compare(a.Key(), b.Key()) })
	return attempts
}

// Import takes over the entries of the shard's owner before this one, in place of any that it still holds.
//
// It is false, and the shard left empty, if they do not fit: tickets that the owner before this one may have seen are
// then answered as unknown.
func (ledger *Ledger) Import(now time.Time, shard lagoonlanding.ShardID, attempts []lagoonlanding.Attempt) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.expire(now)
	ledger.drop(shard)
	if len(ledger.expiry)+len(attempts) > ledger.config.MaxEntries {
		ledger.lost[shard] = now.Round(0).Add(SkewBound)
		return false
	}
	for _, attempt := range attempts {
		ledger.adopt(now, shard, attempt)
	}
	return true
}

// adopt adds an entry of another owner; what still ran there ended without a known outcome.
func (ledger *Ledger) adopt(now time.Time, shard lagoonlanding.ShardID, attempt lagoonlanding.Attempt) {
	if _, ok := ledger.shards[shard][attempt.Key()]; ok {
		return
	}
	reply := attempt.Reply()
	if !attempt.IsDone() {
		reply = lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
			Outcome: lagoonlanding.OutcomeUnknown, Reason: lagoonlanding.ReasonMoving,
		})
	}
	expires := attempt.Expires()
	if latest := now.Add(EntryTerm); expires.After(latest) {
		expires = latest
	}
	adopted := &entry{
		shard: shard, key: attempt.Key(), digest: attempt.Digest(),
		expires: expires, finished: make(chan struct{}),
	}
	adopted.finish(reply)
	ledger.insert(adopted)
	ledger.keep(adopted)
}

// Drop forgets a shard that the instance no longer owns; requests that still run end without an entry.
func (ledger *Ledger) Drop(shard lagoonlanding.ShardID) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.drop(shard)
}

func (ledger *Ledger) drop(shard lagoonlanding.ShardID) {
	delete(ledger.lost, shard)
	for _, entry := range ledger.shards[shard] {
		ledger.remove(entry)
	}
}
