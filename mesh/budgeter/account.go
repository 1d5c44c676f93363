package budgeter

import (
	"sync"
	"sync/atomic"
	"time"
)

// Cause is why a connection is ended.
type Cause int

// The causes.
const (
	// SlowReader means that the client does not read its answer in time.
	SlowReader Cause = iota + 1
	// SlowSender means that the client does not send the body of its request in time.
	SlowSender
	// IdleConnection means that the connection has no request in progress; one that has got a request meanwhile is to be kept.
	IdleConnection
)

// Account counts what is held for one connection, or for one request on it; it is safe for concurrent use. A nil account permits everything.
type Account struct {
	budget *Budget
	// client is the account of the connection; it is the account itself for a connection.
	client *Account
	// end ends the connection.
	end func(cause Cause)
	// bytes is what is held for the connection with all of its requests.
	bytes atomic.Int64
	// writingSince, readingSince and idleSince are the times in nanoseconds since 1970 at which the current write, read of a body and idle period
	// began, zero for none.
	writingSince, readingSince, idleSince atomic.Int64
	isEnding                              atomic.Bool

	mutex  sync.Mutex
	held   [kinds]int64
	closed bool
	// waited is how long reads of a body have waited for the last bytes that arrived, fewer than sendingBytes.
	waited  time.Duration
	arrived int
}

// Open returns the account of a connection, which end must reset if a response on it is incomplete; false means that it may not be accepted.
func (budget *Budget) Open(end func(cause Cause)) (*Account, bool) {
	if budget == nil {
		return nil, true
	}
	if !budget.fits(Connections, 0, ConnectionCost) {
		budget.refused.Add(1)
		budget.shed(time.Now())
		return nil, false
	}
	return budget.OpenPeer(end), true
}

// OpenPeer returns the account of a connection of another daemon, which is accepted in any case: its sender could not tell whether a task that it
// lost with the connection has run. Its tasks are refused instead.
func (budget *Budget) OpenPeer(end func(cause Cause)) *Account {
	if budget == nil {
		return nil
	}
	account := &Account{budget: budget, end: end}
	account.client = account
	account.Charge(Connections, ConnectionCost)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.clients[account] = struct{}{}
	return account
}

// OpenRequest returns the account of a request on the connection.
func (account *Account) OpenRequest() *Account {
	if account == nil {
		return nil
	}
	request := &Account{budget: account.budget, client: account.client}
	request.Charge(Goroutines, GoroutineCost)
	return request
}

// Budget returns the budget of the account, nil for a nil account.
func (account *Account) Budget() *Budget {
	if account == nil {
		return nil
	}
	return account.budget
}

// Charge counts bytes that are held in any case.
func (account *Account) Charge(kind Kind, bytes int) {
	if account == nil {
		return
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if !account.closed {
		account.add(kind, int64(bytes))
	}
}

// Reserve counts bytes that are about to be held; it returns false if they may not be held.
func (account *Account) Reserve(kind Kind, bytes int) bool {
	if account == nil {
		return true
	}
	account.mutex.Lock()
	isClosed := account.closed
	fits := !isClosed && account.budget.fits(kind, account.client.bytes.Load(), int64(bytes))
	if fits {
		account.add(kind, int64(bytes))
	}
	account.mutex.Unlock()
	if !fits && !isClosed {
		account.budget.denied[kind].Add(int64(bytes))
		account.budget.shed(time.Now())
	}
	return fits
}

// Release counts bytes that are no longer held.
func (account *Account) Release(kind Kind, bytes int) {
	if account == nil {
		return
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if !account.closed {
		account.add(kind, -min(int64(bytes), account.held[kind]))
	}
}

// add counts bytes; the mutex must be locked.
func (account *Account) add(kind Kind, bytes int64) {
	account.held[kind] += bytes
	account.client.bytes.Add(bytes)
	account.budget.add(kind, bytes)
}

// Close releases all that the account still holds; later reservations fail.
func (account *Account) Close() {
	if account == nil {
		return
	}
	account.mutex.Lock()
	if !account.closed {
		for _, kind := range Kinds() {
			account.add(kind, -account.held[kind])
		}
		account.closed = true
	}
	account.mutex.Unlock()
	if account.client == account {
		account.budget.mutex.Lock()
		defer account.budget.mutex.Unlock()
		delete(account.budget.clients, account)
	}
}

// BeginWrite records that a write to the client has begun.
func (account *Account) BeginWrite(now time.Time) {
	if account != nil {
		account.client.writingSince.Store(now.UnixNano())
	}
}

// EndWrite records that a write to the client has ended.
func (account *Account) EndWrite() {
	if account != nil {
		account.client.writingSince.Store(0)
	}
}

// BeginRead records that a read of a request's body has begun. It counts as begun earlier by the time that was spent on waiting for the bytes before.
func (account *Account) BeginRead(now time.Time) {
	if account == nil {
		return
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.client.readingSince.Store(now.Add(-account.waited).UnixNano())
}

// EndRead records that a read of a request's body has ended with a number of bytes. Time in which nothing is read, because the server is slow, does
// not count for the client.
func (account *Account) EndRead(now time.Time, count int) {
	if account == nil {
		return
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.waited = now.Sub(time.Unix(0, account.client.readingSince.Swap(0)))
	if account.arrived += count; account.arrived >= sendingBytes {
		account.waited, account.arrived = 0, 0
	}
}

// SetIdle records that the connection has no request in progress since the given time, the zero time for one that has.
func (account *Account) SetIdle(since time.Time) {
	switch {
	case account == nil:
	case since.IsZero():
		account.client.idleSince.Store(0)
	default:
		account.client.idleSince.Store(since.UnixNano())
	}
}

// Keep states that a connection that was to be ended is kept.
func (account *Account) Keep() {
	if account != nil {
		account.client.isEnding.Store(false)
	}
}

// EndUnread ends the connection because its client has not read what is held for it, and no more can be held.
func (account *Account) EndUnread() {
	if account != nil && account.client.isEnding.CompareAndSwap(false, true) {
		account.budget.endedUnread.Add(1)
		account.client.end(SlowReader)
	}
}
