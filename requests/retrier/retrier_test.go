package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func newRetrier(share, burst float64) *Retrier {
	return NewRetrier(Config{Budget: NewBudget(BudgetConfig{Share: share, Burst: burst}), Random: rand.New(rand.NewPCG(1, 7))})
}

func TestRetry(t *testing.T) {
	const deadline = 200 * time.Millisecond
	read := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{Idempotent: true, Deadline: start.Add(deadline)})
	write := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{Deadline: start.Add(deadline)})
	cases := []struct {
		name     string
		request  lagoonlanding.Request
		reply    lagoonlanding.Reply
		attempts int
		want     bool
	}{
		{"refused write", write, lagoonlanding.Refuse(write, lagoonlanding.ReasonMoving), 1, true},
		{"write with unknown outcome", write, lagoonlanding.UnknownOutcome(write, lagoonlanding.ReasonUpstreamFailed), 1, false},
		{"read with unknown outcome", read, lagoonlanding.UnknownOutcome(read, lagoonlanding.ReasonUpstreamFailed), 1, true},
		{"read with lost connection", read, lagoonlanding.UnknownOutcome(read, lagoonlanding.ReasonConnectionLost), 1, true},
		{"permanent reason", read, lagoonlanding.Refuse(read, lagoonlanding.ReasonQuarantined), 1, false},
		{"answered", read, lagoonlanding.NewReply(lagoonlanding.ReplyConfig{Outcome: lagoonlanding.OutcomeAnswered}), 1, false},
		{"too many attempts", read, lagoonlanding.Refuse(read, lagoonlanding.ReasonMoving), DefaultMaxAttempts, false},
		{"after the deadline", read, lagoonlanding.Refuse(read, lagoonlanding.ReasonQueueFull).WithRetryAfter(start.Add(deadline)), 1, false},
	}
	for _, test := range cases {
		at, ok := newRetrier(0.1, 10).Retry(start, test.request, test.reply, test.attempts)
		if ok != test.want {
			t.Errorf("%s: got %v", test.name, ok)
		}
		if ok && (at.Before(start) || !at.Before(start.Add(DefaultBaseBackoff))) {
			t.Errorf("%s: retry after %v", test.name, at.Sub(start))
		}
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	retrier := newRetrier(0.1, 10)
	request := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{Idempotent: true})
	reply := lagoonlanding.Refuse(request, lagoonlanding.ReasonUnreachable)
	const first = 10_000
	retries := 0
	for range first {
		retrier.Start()
		for attempts := 1; attempts < DefaultMaxAttempts; attempts++ {
			if _, ok := retrier.Retry(start, request, reply, attempts); ok {
				retries++
			}
		}
	}
	if bound := int(0.1*first) + 10; retries > bound || retries < bound/2 {
		t.Errorf("%d retries for %d first attempts", retries, first)
	}
}

func TestBackoffIsBounded(t *testing.T) {
	request := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{Idempotent: true})
	retrier := NewRetrier(Config{MaxAttempts: 200, Random: rand.New(rand.NewPCG(1, 7))})
	at, ok := retrier.Retry(start, request, lagoonlanding.Refuse(request, lagoonlanding.ReasonMoving), 199)
	if !ok || at.Sub(start) >= maxBackoff {
		t.Errorf("got %v, %v", at.Sub(start), ok)
	}
}
