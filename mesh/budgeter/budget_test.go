package budgeter

import (
	"context"
	"testing"
	"time"
)

const testLimit = 60 << 20

// open opens a connection whose end is sent to the channel.
func open(t *testing.T, budget *Budget, ends chan<- Cause) *Account {
	t.Helper()
	account, ok := budget.Open(func(cause Cause) { ends <- cause })
	if !ok {
		t.Fatal("a connection was refused")
	}
	return account
}

// TestSlowestReadersAreEndedFirst guards against new requests being refused, or quick clients being ended, while slow readers hold the memory.
func TestSlowestReadersAreEndedFirst(t *testing.T) {
	budget, now := New(Config{Limit: testLimit}), time.Unix(1000, 0)
	var accounts []*Account
	for _, since := range []time.Duration{-3 * time.Second, -100 * time.Millisecond, -time.Second, -2 * time.Second} {
		accounts = append(accounts, open(t, budget, make(chan Cause, 1)))
		accounts[len(accounts)-1].BeginWrite(now.Add(since))
		accounts[len(accounts)-1].Charge(Answers, 11<<20)
	}
	if _, ok := budget.Admit(now); !ok {
		t.Error("a request was refused below the limit for refusals")
	}
	// 44 of 60 MB are held, so that one must be ended to come down to 36.
	for number, account := range accounts {
		if account.isEnding.Load() != (number == 0) {
			t.Errorf("connection %d: ended %t", number, account.isEnding.Load())
		}
	}
}

// TestIdleConnectionsAreEndedLast guards against idle connections staying open while their cost exhausts the budget.
func TestIdleConnectionsAreEndedLast(t *testing.T) {
	budget, now := New(Config{Limit: testLimit}), time.Unix(1000, 0)
	ends := make(chan Cause, 4)
	slow, idle, busy, sender := open(t, budget, ends), open(t, budget, ends), open(t, budget, ends), open(t, budget, ends)
	// A byte a second.
	for second := range 3 {
		sender.BeginRead(now.Add(time.Duration(second-3) * time.Second))
		sender.EndRead(now.Add(time.Duration(second-2)*time.Second), 1)
	}
	sender.BeginRead(now)
	slow.BeginWrite(now.Add(-time.Second))
	idle.SetIdle(now.Add(-time.Minute))
	busy.SetIdle(now.Add(-time.Minute))
	busy.SetIdle(time.Time{})
	slow.Charge(Answers, 1<<20)
	budget.Count(Connections, 55<<20)
	if delay, ok := budget.Admit(now); ok || delay < minRetryDelay || delay > maxRetryDelay {
		t.Errorf("got delay %v, admitted %t", delay, ok)
	}
	if causes := map[Cause]bool{<-ends: true, <-ends: true, <-ends: true}; !causes[SlowReader] || !causes[IdleConnection] || !causes[SlowSender] || busy.isEnding.Load() {
		t.Errorf("ended %v", causes)
	}
	if usage := budget.Usage(); usage.Refused != 1 || usage.SlowReaders != 1 || usage.SlowSenders != 1 || usage.Idle != 1 {
		t.Errorf("counted %+v", usage)
	}
}

// TestClientsShareTheBudget guards against one client, or many, that hold everything.
func TestClientsShareTheBudget(t *testing.T) {
	budget := New(Config{Limit: testLimit})
	for number := range 200 {
		request := open(t, budget, make(chan Cause, 1)).OpenRequest()
		held := 0
		for request.Reserve(Answers, 16<<10) {
			held += 16 << 10
		}
		if number == 0 && (held < 3<<20 || held > 5<<20) {
			t.Errorf("the first client may hold %d bytes, want an eighth of what is free", held)
		}
	}
	if held := budget.Usage().Held[Answers]; held > testLimit*6/10 {
		t.Errorf("%d bytes of answers are held", held)
	}
	if _, ok := budget.Admit(time.Now()); !ok {
		t.Error("answers that are not read take the room of new requests")
	}
}

// TestAccountsReleaseEverything guards against bytes that stay counted after their request or connection has ended.
func TestAccountsReleaseEverything(t *testing.T) {
	budget := New(Config{Limit: testLimit})
	connection, _ := budget.Open(func(Cause) {})
	request := connection.OpenRequest()
	ctx := NewContext(context.Background(), request)
	FromContext(ctx).Charge(Heads, 100)
	FromContext(ctx).Release(Requests, 100)
	if !request.Reserve(Answers, 100) {
		t.Fatal("refused")
	}
	request.Close()
	request.Close()
	if request.Reserve(Answers, 1) {
		t.Error("a closed account may hold more")
	}
	request.Release(Answers, 100)
	connection.Close()
	if usage := budget.Usage(); usage.Total != 0 || usage.Held != [kinds]int64{} || len(budget.clients) != 0 {
		t.Errorf("left %+v", usage)
	}
}

// TestUnlimitedBudget guards against changes where overload control is off: nothing is refused, and writes keep their time.
func TestUnlimitedBudget(t *testing.T) {
	for name, budget := range map[string]*Budget{"counting": New(Config{}), "nil": nil} {
		account, ok := budget.Open(nil)
		request, now := account.OpenRequest(), time.Unix(1000, 0)
		if !ok || !request.Reserve(Answers, 1<<40) || !request.Reserve(Heads, 1<<40) {
			t.Errorf("%s: refused", name)
		}
		if _, ok := budget.Admit(now); !ok || !budget.WriteDeadline(now, now.Add(time.Minute)).Equal(now.Add(time.Minute)) {
			t.Errorf("%s: a request is refused or a write has less time", name)
		}
	}
}

// TestTimeOfSlowReaders guards against slow readers that keep their time while the budget is nearly exhausted.
func TestTimeOfSlowReaders(t *testing.T) {
	for percent, want := range map[int64]time.Duration{0: 10 * time.Second, 50: 10 * time.Second, 65: 5500 * time.Millisecond, 80: time.Second, 99: time.Second} {
		budget, now := New(Config{Limit: testLimit}), time.Unix(1000, 0)
		budget.Count(Answers, testLimit/100*percent)
		if got := budget.WriteDeadline(now, time.Time{}).Sub(now); got < want-time.Millisecond || got > want+time.Millisecond {
			t.Errorf("%d percent: %v, want %v", percent, got, want)
		}
	}
}
