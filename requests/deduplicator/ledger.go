package deduplicator

import (
	"container/heap"
	"fmt"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// The bounds of tickets and entries.
const (
	// TicketTerm is how long after its issue a ticket is honoured.
	TicketTerm = 2 * time.Minute
	// SkewBound bounds how far the wall clocks of two instances differ.
	SkewBound = 15 * time.Second
	// EntryTerm is how long an entry is kept: the ticket may be dated ahead of the owner, and the owner after it may be behind.
	EntryTerm = TicketTerm + 2*SkewBound
)

// The bounds of a ledger whose configuration names none.
const (
	// DefaultMaxEntries bounds the entries.
	DefaultMaxEntries = 1 << 17
	// DefaultMaxBytes bounds the bytes of all kept answers.
	DefaultMaxBytes = 16 << 20
	// DefaultMaxAnswer bounds the bytes of one kept answer.
	DefaultMaxAnswer = 64 << 10
)

// Config bounds a Ledger; zero stands for the default.
type Config struct {
	// MaxEntries bounds the entries.
	MaxEntries int
	// MaxBytes bounds the bytes of all kept answers.
	MaxBytes int
	// MaxAnswer bounds the bytes of one kept answer.
	MaxAnswer int
}

// Ledger holds the recent non-idempotent requests of one instance; it is safe for use by many goroutines.
type Ledger struct {
	config Config

	mutex   sync.Mutex
	shards  map[lagoonlanding.ShardID]map[string]*entry
	lost    map[lagoonlanding.ShardID]time.Time
	expiry  expiry
	kept    int
	running int
}

// NewLedger returns an empty ledger with the bounds of the configuration.
func NewLedger(config Config) *Ledger {
	if config.MaxEntries == 0 {
		config.MaxEntries = DefaultMaxEntries
	}
	if config.MaxBytes == 0 {
		config.MaxBytes = DefaultMaxBytes
	}
	if config.MaxAnswer == 0 {
		config.MaxAnswer = DefaultMaxAnswer
	}
	return &Ledger{config: config, shards: map[lagoonlanding.ShardID]map[string]*entry{}, lost: map[lagoonlanding.ShardID]time.Time{}}
}

// Begin decides on a try of a request to a shard whose ledger is complete from the store revision since on.
//
// Idempotent requests run without an entry. The caller has refused tickets of revisions that the instance does not know yet.
func (ledger *Ledger) Begin(now time.Time, shard lagoonlanding.ShardID, request lagoonlanding.Request, since uint64) Verdict {
	if request.IsIdempotent() {
		return Verdict{kind: Run}
	}
	if request.IdempotencyKey() == "" {
		return refuse(request, lagoonlanding.ReasonKeyMissing)
	}
	if request.Ticket().IsZero() {
		return refuse(request, lagoonlanding.ReasonTicketMissing)
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.expire(now)
	if earlier, ok := ledger.shards[shard][attemptKey(request)]; ok {
		return again(request, earlier)
	}
	if verdict, ok := date(now, request, since); !ok {
		return verdict
	}
	if lost, ok := ledger.lost[shard]; ok && !request.Ticket().Issued().After(lost) {
		return unknown(request, lagoonlanding.ReasonTicketPredates)
	}
	if len(ledger.expiry) >= ledger.config.MaxEntries {
		reply := lagoonlanding.Refuse(request, lagoonlanding.ReasonLedgerFull)
		return Verdict{kind: Refuse, reply: reply.WithRetryAfter(ledger.expiry[0].expires)}
	}
	return Verdict{kind: Run, entry: ledger.open(now, shard, request)}
}

// Finish notes what became of the request of a Run verdict; one that was not run may be tried again.
func (ledger *Ledger) Finish(verdict Verdict, reply lagoonlanding.Reply) {
	entry := verdict.entry
	if entry == nil {
		return
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if entry.done {
		panic(fmt.Sprintf("deduplicator: a request to shard %s was finished twice", entry.shard))
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
	ledger.keep(entry)
}

// Running returns how many requests have begun and not finished.
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

// open adds the entry of a request that runs now.
func (ledger *Ledger) open(now time.Time, shard lagoonlanding.ShardID, request lagoonlanding.Request) *entry {
	opened := &entry{
		shard: shard, key: attemptKey(request), digest: digest(request),
		expires: now.Add(EntryTerm), finished: make(chan struct{}),
	}
	ledger.insert(opened)
	ledger.running++
	return opened
}

func (ledger *Ledger) insert(added *entry) {
	entries, ok := ledger.shards[added.shard]
	if !ok {
		entries = map[string]*entry{}
		ledger.shards[added.shard] = entries
	}
	if _, ok := entries[added.key]; ok {
		panic(fmt.Sprintf("deduplicator: a request to shard %s would run twice", added.shard))
	}
	entries[added.key] = added
	heap.Push(&ledger.expiry, added)
}

// keep bounds what a finished entry holds of its answer.
func (ledger *Ledger) keep(entry *entry) {
	size := entry.size()
	if size > ledger.config.MaxAnswer || ledger.kept+size > ledger.config.MaxBytes {
		entry.reply = notKept(entry.reply)
		return
	}
	ledger.kept += size
}

func (ledger *Ledger) remove(entry *entry) {
	heap.Remove(&ledger.expiry, entry.index)
	delete(ledger.shards[entry.shard], entry.key)
	if len(ledger.shards[entry.shard]) == 0 {
		delete(ledger.shards, entry.shard)
	}
	if entry.done {
		ledger.kept -= entry.size()
	}
}

// expire removes the entries whose tickets can no longer be honoured; one that still runs stays until it is finished.
func (ledger *Ledger) expire(now time.Time) {
	for len(ledger.expiry) > 0 && now.After(ledger.expiry[0].expires) {
		oldest := ledger.expiry[0]
		if !oldest.done {
			oldest.expires = now.Add(EntryTerm)
			heap.Fix(&ledger.expiry, oldest.index)
			continue
		}
		ledger.remove(oldest)
	}
}

// again decides on a later try of a request that has an entry.
func again(request lagoonlanding.Request, earlier *entry) Verdict {
	if earlier.digest != 0 && earlier.digest != digest(request) {
		return refuse(request, lagoonlanding.ReasonKeyReused)
	}
	if !earlier.done {
		reply := lagoonlanding.UnknownOutcome(request, lagoonlanding.ReasonInProgress)
		return Verdict{kind: Wait, reply: reply, entry: earlier}
	}
	return Verdict{kind: Repeat, reply: earlier.reply.AsRepeat(request.ID())}
}

// date checks the ticket of a request without an entry: such a request may have run if the ticket is older than what the ledger covers.
func date(now time.Time, request lagoonlanding.Request, since uint64) (Verdict, bool) {
	ticket := request.Ticket()
	if ticket.Revision() < since {
		return unknown(request, lagoonlanding.ReasonTicketPredates), false
	}
	// The age is taken between wall times: another instance's clock has issued the ticket.
	age := now.Round(0).Sub(ticket.Issued())
	if age > TicketTerm {
		return unknown(request, lagoonlanding.ReasonTicketExpired), false
	}
	if age < -SkewBound {
		return refuse(request, lagoonlanding.ReasonTicketAhead), false
	}
	return Verdict{}, true
}

func refuse(request lagoonlanding.Request, reason lagoonlanding.Reason) Verdict {
	return Verdict{kind: Refuse, reply: lagoonlanding.Refuse(request, reason)}
}

func unknown(request lagoonlanding.Request, reason lagoonlanding.Reason) Verdict {
	return Verdict{kind: Refuse, reply: lagoonlanding.UnknownOutcome(request, reason)}
}

// notKept returns the outcome of a request that has run and whose answer is too large to keep.
func notKept(reply lagoonlanding.Reply) lagoonlanding.Reply {
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: reply.RequestID(), Outcome: lagoonlanding.OutcomeUnknown,
		Reason: lagoonlanding.ReasonAnswerNotKept, Owner: reply.Owner(),
	})
}
