package deduplicator

import (
	"cmp"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Export returns the shard's entries for the next owner, ordered by key; the shard must no longer admit requests.
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

// Import replaces the shard's entries by those of its previous owner.
//
// It returns false and leaves the shard empty if they do not fit: the outcome of requests whose tickets the previous owner
// may have seen is unknown then.
func (ledger *Ledger) Import(now time.Time, shard lagoonlanding.ShardID, attempts []lagoonlanding.Attempt) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.expire(now)
	ledger.drop(shard)
	if len(ledger.expiry)+len(attempts) > ledger.config.MaxEntries {
		ledger.incompleteUntil[shard] = now.Round(0).Add(MaxClockSkew)
		return false
	}
	for _, attempt := range attempts {
		ledger.importEntry(now, shard, attempt)
	}
	return true
}

// importEntry adds an entry of the previous owner; the outcome of a request that was still running there is unknown.
func (ledger *Ledger) importEntry(now time.Time, shard lagoonlanding.ShardID, attempt lagoonlanding.Attempt) {
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
	if latest := now.Add(EntryTTL); expires.After(latest) {
		expires = latest
	}
	imported := &entry{
		shard: shard, key: attempt.Key(), digest: attempt.Digest(),
		expires: expires, finished: make(chan struct{}),
	}
	imported.finish(reply)
	ledger.insert(imported)
	ledger.storeReply(imported)
}

// Drop deletes the entries of a shard that the instance no longer owns; running requests finish without an entry.
func (ledger *Ledger) Drop(shard lagoonlanding.ShardID) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.drop(shard)
}

func (ledger *Ledger) drop(shard lagoonlanding.ShardID) {
	delete(ledger.incompleteUntil, shard)
	for _, entry := range ledger.shards[shard] {
		ledger.remove(entry)
	}
}
