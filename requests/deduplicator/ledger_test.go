package deduplicator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

const since = 5

var (
	start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	shard = lagoonlanding.NewShardID(lagoonlanding.NewGroupID("hire-desk", "doto"), 3)
)

type change func(*lagoonlanding.RequestConfig)

func reservation(key string, changes ...change) lagoonlanding.Request {
	config := lagoonlanding.RequestConfig{
		ID: key + "-try", Tenant: "ezo", Method: "POST", Path: "/reservations", Body: []byte("script 12"),
		IdempotencyKey: key, Ticket: lagoonlanding.NewTicket(since, start),
	}
	for _, apply := range changes {
		apply(&config)
	}
	return lagoonlanding.NewRequest(config)
}

func answer(request lagoonlanding.Request, body string) lagoonlanding.Reply {
	return lagoonlanding.NewReply(lagoonlanding.ReplyConfig{
		RequestID: request.ID(), Outcome: lagoonlanding.OutcomeAnswered, Status: 201, Body: []byte(body),
	})
}

func TestBeginChecksKeyAndTicket(t *testing.T) {
	ticket := func(revision uint64, issued time.Time) change {
		return func(config *lagoonlanding.RequestConfig) { config.Ticket = lagoonlanding.NewTicket(revision, issued) }
	}
	notRun, unknown := lagoonlanding.OutcomeNotRun, lagoonlanding.OutcomeUnknown
	cases := []struct {
		name    string
		change  change
		kind    Kind
		outcome lagoonlanding.Outcome
		reason  lagoonlanding.Reason
	}{
		{"first attempt", ticket(since, start), Run, 0, ""},
		{"idempotent", func(config *lagoonlanding.RequestConfig) { *config = lagoonlanding.RequestConfig{Idempotent: true} }, Run, 0, ""},
		{"no key", func(config *lagoonlanding.RequestConfig) { config.IdempotencyKey = "" }, Refuse, notRun, lagoonlanding.ReasonKeyMissing},
		{"no ticket", ticket(0, start), Refuse, notRun, lagoonlanding.ReasonTicketMissing},
		{"before owner", ticket(since-1, start), Refuse, unknown, lagoonlanding.ReasonTicketPredates},
		{"oldest ticket", ticket(since, start.Add(-TicketTTL)), Run, 0, ""},
		{"expired", ticket(since, start.Add(-TicketTTL-time.Second)), Refuse, unknown, lagoonlanding.ReasonTicketExpired},
		{"issuer's clock ahead", ticket(since, start.Add(MaxClockSkew)), Run, 0, ""},
		{"issued in the future", ticket(since, start.Add(MaxClockSkew+time.Second)), Refuse, notRun, lagoonlanding.ReasonTicketAhead},
	}
	for _, test := range cases {
		verdict := NewLedger(Config{}).Begin(start, shard, reservation("k", test.change), since)
		if verdict.Kind() != test.kind || verdict.Reply().Outcome() != test.outcome || verdict.Reply().Reason() != test.reason {
			t.Errorf("%s: got %v %v %q", test.name, verdict.Kind(), verdict.Reply().Outcome(), verdict.Reply().Reason())
		}
	}
}

func TestLaterAttemptGetsFirstOutcome(t *testing.T) {
	ledger := NewLedger(Config{MaxReplyBytes: 8})
	request := reservation("k")
	first := ledger.Begin(start, shard, request, since)
	repeated := ledger.Begin(start, shard, request, since)
	if repeated.Kind() != Wait || repeated.Reply().Reason() != lagoonlanding.ReasonInProgress {
		t.Fatalf("got %v while the first attempt is running", repeated.Kind())
	}
	ledger.Finish(first, answer(request, "booked"))
	<-repeated.Finished()
	// The ticket has expired but the outcome is still recorded.
	late := ledger.Begin(start.Add(TicketTTL+time.Second), shard, request, since)
	if diff := cmp.Diff("booked", string(late.Reply().Body())); late.Kind() != Repeat || diff != "" {
		t.Fatalf("kind %v, body %s", late.Kind(), diff)
	}
	other := reservation("k", func(config *lagoonlanding.RequestConfig) { config.Body = []byte("script 13") })
	if reply := ledger.Begin(start, shard, other, since).Reply(); reply.Reason() != lagoonlanding.ReasonKeyReused {
		t.Fatalf("another body under the same key: %q", reply.Reason())
	}
	large := reservation("large")
	ledger.Finish(ledger.Begin(start, shard, large, since), answer(large, strings.Repeat("x", 9)))
	verdict := ledger.Begin(start, shard, large, since)
	if verdict.Kind() != Repeat || verdict.Reply().Reason() != lagoonlanding.ReasonAnswerNotKept {
		t.Fatalf("large answer: %v %q", verdict.Kind(), verdict.Reply().Reason())
	}
}

func TestRequestNotRunMayBeAttemptedAgain(t *testing.T) {
	ledger := NewLedger(Config{MaxEntries: 1})
	request := reservation("k")
	ledger.Finish(ledger.Begin(start, shard, request, since), lagoonlanding.Refuse(request, lagoonlanding.ReasonQueueFull))
	verdict := ledger.Begin(start, shard, request, since)
	if verdict.Kind() != Run {
		t.Fatalf("got %v", verdict.Kind())
	}
	full := ledger.Begin(start, shard, reservation("other"), since)
	if full.Reply().Reason() != lagoonlanding.ReasonLedgerFull || full.Reply().Outcome() != lagoonlanding.OutcomeNotRun {
		t.Fatalf("full ledger: %q", full.Reply().Reason())
	}
	ledger.Finish(verdict, answer(request, "booked"))
	if verdict := ledger.Begin(start.Add(EntryTTL+1), shard, request, since); verdict.Reply().Reason() != lagoonlanding.ReasonTicketExpired {
		t.Fatalf("after the entry has expired: %v %q", verdict.Kind(), verdict.Reply().Reason())
	}
}

func TestTransferKeepsOutcomes(t *testing.T) {
	from, to := NewLedger(Config{}), NewLedger(Config{})
	done, running := reservation("done"), reservation("running")
	from.Finish(from.Begin(start, shard, done, since), answer(done, "booked"))
	from.Begin(start, shard, running, since)
	attempts := from.Export(start, shard)
	if !to.Import(start, shard, append(attempts, attempts...)) || to.Len() != 2 {
		t.Fatalf("imported %d entries", to.Len())
	}
	if verdict := to.Begin(start, shard, done, since); verdict.Kind() != Repeat || string(verdict.Reply().Body()) != "booked" {
		t.Errorf("done: %v", verdict.Kind())
	}
	if verdict := to.Begin(start, shard, running, since); verdict.Kind() != Repeat || verdict.Reply().Outcome() != lagoonlanding.OutcomeUnknown {
		t.Errorf("running: %v", verdict.Kind())
	}
	small := NewLedger(Config{MaxEntries: 1})
	if small.Import(start, shard, attempts) {
		t.Errorf("imported a table that does not fit")
	}
	if verdict := small.Begin(start, shard, done, since); verdict.Reply().Reason() != lagoonlanding.ReasonTicketPredates {
		t.Errorf("after a failed import: %v %q", verdict.Kind(), verdict.Reply().Reason())
	}
	fresh := reservation("fresh", func(config *lagoonlanding.RequestConfig) {
		config.Ticket = lagoonlanding.NewTicket(since, start.Add(MaxClockSkew+1))
	})
	if verdict := small.Begin(start.Add(MaxClockSkew), shard, fresh, since); verdict.Kind() != Run {
		t.Errorf("a ticket issued after a failed import: %v", verdict.Kind())
	}
	to.Drop(shard)
	if to.Len() != 0 || to.storedBytes != 0 {
		t.Errorf("%d entries and %d bytes left", to.Len(), to.storedBytes)
	}
}

// TestRandomAttemptsRunOnce draws attempts, moves between owners and losses of the table at random, and checks that no request
// runs more than once.
func TestRandomAttemptsRunOnce(t *testing.T) {
	for seed := range uint64(50) {
		run := newRandomRun(seed)
		for range 2000 {
			run.step(t)
		}
	}
}

type randomRun struct {
	seed     uint64
	random   *rand.Rand
	now      time.Time
	revision uint64
	since    uint64
	owner    *Ledger
	running  []Verdict
	requests []lagoonlanding.Request
	ran      map[string]int
}

func newRandomRun(seed uint64) *randomRun {
	return &randomRun{
		seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: start, revision: 1, since: 1,
		owner: NewLedger(Config{MaxEntries: 40, MaxBytes: 200}), ran: map[string]int{},
	}
}

func (run *randomRun) step(t *testing.T) {
	run.now = run.now.Add(time.Duration(run.random.IntN(5000)) * time.Millisecond)
	switch draw := run.random.IntN(100); {
	case draw < 50:
		run.attempt(t)
	case draw < 90:
		run.finish()
	case draw < 94:
		run.move()
	case draw < 96:
		run.lose()
	}
}

func (run *randomRun) attempt(t *testing.T) {
	if len(run.requests) == 0 || run.random.IntN(3) == 0 {
		skew := time.Duration(run.random.IntN(120)-60) * time.Second
		ticket := lagoonlanding.NewTicket(run.revision, run.now.Add(skew))
		key := fmt.Sprintf("key-%d", len(run.requests))
		run.requests = append(run.requests, reservation(key, func(config *lagoonlanding.RequestConfig) { config.Ticket = ticket }))
	}
	request := run.requests[run.random.IntN(len(run.requests))]
	verdict := run.owner.Begin(run.now, shard, request, run.since)
	if verdict.Kind() == Run {
		run.ran[entryKey(request)]++
		run.running = append(run.running, verdict)
		if run.ran[entryKey(request)] > 1 {
			t.Fatalf("seed %d: %s ran twice", run.seed, request.IdempotencyKey())
		}
	}
	if run.owner.Len() > 40 || run.owner.storedBytes > 200 {
		t.Fatalf("seed %d: %d entries, %d bytes", run.seed, run.owner.Len(), run.owner.storedBytes)
	}
}

func (run *randomRun) finish() {
	if len(run.running) == 0 {
		return
	}
	verdict := run.running[0]
	run.running = run.running[1:]
	reply := lagoonlanding.NewReply(lagoonlanding.ReplyConfig{Outcome: lagoonlanding.OutcomeAnswered, Body: make([]byte, run.random.IntN(20))})
	if run.random.IntN(4) == 0 {
		reply = lagoonlanding.NewReply(lagoonlanding.ReplyConfig{Outcome: lagoonlanding.OutcomeNotRun})
		// The attempt did not run, so the request may be attempted again.
		run.ran[verdict.entry.key]--
	}
	run.owner.Finish(verdict, reply)
}

// move transfers the table to a new owner after the running requests have finished at the old one.
func (run *randomRun) move() {
	for len(run.running) > 0 {
		run.finish()
	}
	next := NewLedger(run.owner.config)
	if !next.Import(run.now, shard, run.owner.Export(run.now, shard)) {
		panic("the table did not fit")
	}
	run.owner = next
	run.revision++
}

// lose moves the shard to an owner that does not receive the table.
func (run *randomRun) lose() {
	run.owner = NewLedger(run.owner.config)
	run.running = nil
	run.revision++
	run.since = run.revision
}
