package deduplicator

import (
	"container/heap"
	"fmt"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Lifetimes of tickets and entries.
const (
	// TicketTTL is how long a ticket is valid after its issue.
	TicketTTL = 2 * time.Minute
	// MaxClockSkew bounds the difference between the wall clocks of two instances.
	MaxClockSkew = 15 * time.Second
	// EntryTTL is how long an entry is kept: the issuer's clock may be ahead of the owner's, and the clock of the next owner may be behind.
	EntryTTL = TicketTTL + 2*MaxClockSkew
)

// Defaults of Config.
const (
	// DefaultMaxEntries bounds the number of entries.
	DefaultMaxEntries = 1 << 17
	// DefaultMaxBytes bounds the total size of stored replies.
	DefaultMaxBytes = 16 << 20
	// DefaultMaxReplyBytes bounds the size of one stored reply.
	DefaultMaxReplyBytes = 64 << 10
)

// Config holds the limits of a Ledger; zero selects the default.
type Config struct {
	// MaxEntries bounds the number of entries.
	MaxEntries int
	// MaxBytes bounds the total size of stored replies.
	MaxBytes int
	// MaxReplyBytes bounds the size of one stored reply.
	MaxReplyBytes int
}

// Ledger is the deduplication table of one instance for recent non-idempotent requests; it is safe for concurrent use.
type Ledger struct {
	config Config

	mutex  sync.Mutex
	shards map[lagoonlanding.ShardID]map[string]*entry
	// incompleteUntil is, after a failed import, the latest issue time of tickets that the previous owner may have seen.
	incompleteUntil map[lagoonlanding.ShardID]time.Time
	expiry          expiry
	storedBytes     int
	running         int
}

// NewLedger returns an empty ledger with the given configuration.
func NewLedger(config Config) *Ledger {
	if config.MaxEntries == 0 {
		config.MaxEntries = DefaultMaxEntries
	}
	if config.MaxBytes == 0 {
		config.MaxBytes = DefaultMaxBytes
	}
	if config.MaxReplyBytes == 0 {
		config.MaxReplyBytes = DefaultMaxReplyBytes
	}
	return &Ledger{config: config, shards: map[lagoonlanding.ShardID]map[string]*entry{}, incompleteUntil: map[lagoonlanding.ShardID]time.Time{}}
}

// Begin decides whether an attempt at a request may run; the shard's entries are complete from the store revision since on.
//
// Idempotent requests run without an entry. The caller must have refused tickets of revisions that this instance does not know yet.
func (ledger *Ledger) Begin(now time.Time, shard lagoonlanding.ShardID, request lagoonlanding.Request, since uint64) Verdict {
	if request.IsIdempotent() {
		return Verdict{kind: Run}
	}
	if request.IdempotencyKey() == "" {
		return refusedVerdict(request, lagoonlanding.ReasonKeyMissing)
	}
	if request.Ticket().IsZero() {
		return refusedVerdict(request, lagoonlanding.ReasonTicketMissing)
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.expire(now)
	if earlier, ok := ledger.shards[shard][entryKey(request)]; ok {
		return decideRepeated(request, earlier)
	}
	if verdict, ok := checkTicket(now, request, since); !ok {
		return verdict
	}
	if incompleteUntil, ok := ledger.incompleteUntil[shard]; ok && !request.Ticket().Issued().After(incompleteUntil) {
		return unknownVerdict(request, lagoonlanding.ReasonTicketPredates)
	}
	if len(ledger.expiry) >= ledger.config.MaxEntries {
		reply := lagoonlanding.Refuse(request, lagoonlanding.ReasonLedgerFull)
		return Verdict{kind: Refuse, reply: reply.WithRetryAfter(ledger.expiry[0].expires)}
	}
	return Verdict{kind: Run, entry: ledger.addRunning(now, shard, request)}
}

// Finish records the reply to the request of a Run verdict; a request that was not run may be attempted again.
func (ledger *Ledger) Finish(verdict Verdict, reply lagoonlanding.Reply) {
	entry := verdict.entry
	if entry == nil {
		return
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if entry.done {
		panic(fmt.Sprintf("deduplicator: request to shard %s finished twice", entry.shard))
	}
	ledger.running--
	if ledger.shards[entry.shard][entry.key] != entry {
		entry.finish(reply)
		return
	}
	if reply.Outcome() == lagoonlanding.OutcomeNotRun {
		ledger.remove(entry)
		entry.finish(reply)
		return
	}
	entry.finish(reply)
	ledger.storeReply(entry)
}

// Running returns the number of requests that have begun and not finished.
func (ledger *Ledger) Running() int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.running
}

// Len returns the number of entries.
func (ledger *Ledger) Len() int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return len(ledger.expiry)
}

// addRunning adds the entry of a request that starts to run.
func (ledger *Ledger) addRunning(now time.Time, shard lagoonlanding.ShardID, request lagoonlanding.Request) *entry {
	added := &entry{
		shard: shard, key: entryKey(request), digest: digest(request),
		expires: now.Add(EntryTTL), finished: make(chan struct{}),
	}
	ledger.insert(added)
	ledger.running++
	return added
}

func (ledger *Ledger) insert(added *entry) {
	entries, ok := ledger.shards[added.shard]
	if !ok {
		entries = map[string]*entry{}
		ledger.shards[added.shard] = entries
	}
	if _, ok := entries[added.key]; ok {
		panic(fmt.Sprintf("deduplicator: duplicate entry for a request to shard %s", added.shard))
	}
	entries[added.key] = added
	heap.Push(&ledger.expiry, added)
}

// storeReply accounts for the stored reply of a finished entry, or drops it if it exceeds the limits.
func (ledger *Ledger) storeReply(entry *entry) {
	size := entry.size()
	if size > ledger.config.MaxReplyBytes || ledger.storedBytes+size > ledger.config.MaxBytes {
		entry.reply = replyNotStored(entry.reply)
		return
	}
	ledger.storedBytes += size
}

func (ledger *Ledger) remove(entry *entry) {
	heap.Remove(&ledger.expiry, entry.index)
	delete(ledger.shards[entry.shard], entry.key)
	if len(ledger.shards[entry.shard]) == 0 {
		delete(ledger.shards, entry.shard)
	}
	if entry.done {
		ledger.storedBytes -= entry.size()
	}
}

// expire removes the entries that have expired; an entry of a running request is kept until the request is finished.
func (ledger *Ledger) expire(now time.Time) {
	for len(ledger.expiry) > 0 && now.After(ledger.expiry[0].expires) {
		oldest := ledger.expiry[0]
		if !oldest.done {
			oldest.expires = now.Add(EntryTTL)
			heap.Fix(&ledger.expiry, oldest.index)
			continue
		}
		ledger.remove(oldest)
	}
}

// decideRepeated decides on a further attempt at a request that has an entry.
func decideRepeated(request lagoonlanding.Request, earlier *entry) Verdict {
	if earlier.digest != 0 && earlier.digest != digest(request) {
		return refusedVerdict(request, lagoonlanding.ReasonKeyReused)
	}
	if !earlier.done {
		reply := lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonInProgress)
		return Verdict{kind: Wait, reply: reply, entry: earlier}
	}
	return Verdict{kind: Repeat, reply: earlier.reply.AsRepeat(request.ID())}
}

// checkTicket checks the ticket of a request without an entry: the request may have run if the ticket is older than the ledger's records.
func checkTicket(now time.Time, request lagoonlanding.Request, since uint64) (Verdict, bool) {
	ticket := request.Ticket()
	if ticket.Revision() < since {
		return unknownVerdict(request, lagoonlanding.ReasonTicketPredates), false
	}
	// The age is the difference of wall clock times because the ticket was issued by another instance.
	age := now.Round(0).Sub(ticket.Issued())
	if age > TicketTTL {
		return unknownVerdict(request, lagoonlanding.ReasonTicketExpired), false
	}
	if age < -MaxClockSkew {
		return refusedVerdict(request, lagoonlanding.ReasonTicketAhead), false
	}
	return Verdict{}, true
}

func refusedVerdict(request lagoonlanding.Request, reason lagoonlanding.Reason) Verdict {
	return Verdict{kind: Refuse, reply: lagoonlanding.Refuse(request, reason)}
}

func unknownVerdict(request lagoonlanding.Request, reason lagoonlanding.Reason) Verdict {
	return Verdict{kind: Refuse, reply: lagoonlanding.UnknownOutcome(request, reason)}
}

// replyNotStored returns the reply to repeated attempts at a request that has run and whose reply exceeds the limits.
func replyNotStored(reply lagoonlanding.Reply) lagoonlanding.Reply {
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: reply.RequestID(), Outcome: lagoonlanding.OutcomeUnknown,
		Reason: lagoonlanding.ReasonAnswerNotKept, Owner: reply.Owner(),
	})
}
