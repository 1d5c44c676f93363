package budgeter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shedAbove is the fraction of the limit above which connections are ended, slow readers first, and shedTo the fraction that is then aimed at.
	shedAbove, shedTo = 0.7, 0.6
	// refuseAbove is the fraction above which new requests are refused; the rest is for requests in progress.
	refuseAbove = 0.8
	// reserveBelow is the fraction up to which heads may be held; the rest is for refusing what still arrives.
	reserveBelow = 0.95
	// aheadBelow is the fraction up to which bodies and answers may be held. It is below shedAbove, so that bytes held for those who don't read
	// never take the room of new requests.
	aheadBelow = 0.6
	// exhaustedAbove is the fraction above which too little is left below aheadBelow to hold further answers.
	exhaustedAbove = 0.9 * aheadBelow
	// clientShare is the fraction of the free bytes below aheadBelow that one client may hold. A fraction of what is free, rather than of the limit, leaves room for
	// clients that come later, however many there are.
	clientShare = 1.0 / 8
	// minClientShare is what a client may hold while anything is free: its fixed cost and one more buffer.
	minClientShare = ConnectionCost + GoroutineCost + 16<<10
	// minBlocked is how long a write must have taken before its client counts as a slow reader; the longest round trip takes about 20 ms.
	minBlocked = 500 * time.Millisecond
	// minIdle is how long a connection must have been idle before it may be ended: a request that its client sends at that moment is lost.
	minIdle = 5 * time.Second
	// minSending is how long reads must have waited for sendingBytes of a request's body before its client counts as a slow sender. It is longer than
	// for readers: a client may produce its body while it sends it.
	minSending   = 2 * time.Second
	sendingBytes = 4 << 10
	// shedInterval is the least time between two searches for connections to end.
	shedInterval = 100 * time.Millisecond
	// relaxedBelow is the fraction of the limit up to which a slow reader gets maxWriteTime; the time then falls to minWriteTime at refuseAbove.
	relaxedBelow = 0.5
	// maxWriteTime is twice the deadline of the most patient clients.
	maxWriteTime = 10 * time.Second
	minWriteTime = time.Second
	// maxUnread is how long no further byte of an answer can be held, because its client holds its share, before it is given up: a backend server
	// cuts off an answer that stays unread for some seconds. While the budget is exhausted it is minUnread, since the slot of the backend server
	// is occupied until then; the time is that of a slow reader.
	maxUnread, minUnread = 3 * time.Second, minBlocked
	// The bounds of the time after which a refused request may come again.
	minRetryDelay, maxRetryDelay = 100 * time.Millisecond, 2 * time.Second
)

// Config holds the limit of a Budget.
type Config struct {
	// Limit is the number of bytes that may be held; zero means that bytes are counted only.
	Limit int64
	// OnPressure is called, at most once per shedInterval, when connections were ended or the budget was searched for some; nil if it is not logged.
	OnPressure func(pressure Pressure)
}

// Pressure is the state of a budget near its limit.
type Pressure struct {
	// Held and Limit are in bytes.
	Held, Limit int64
	// SlowReaders, SlowSenders and Idle are the connections that were ended now.
	SlowReaders, SlowSenders, Idle int
	// Refused and Unread are the refusals, and the answers that were given up because they were not read, since the process started.
	Refused, Unread int64
}

// Usage is what a budget holds and has decided.
type Usage struct {
	// Held is in bytes by kind.
	Held [kinds]int64
	// Denied counts by kind the bytes that could not be held.
	Denied [kinds]int64
	// Total, Peak and Limit are in bytes.
	Total, Peak, Limit int64
	// Refused counts new requests and connections, SlowReaders, SlowSenders, Idle and Unread the connections that were ended.
	Refused, SlowReaders, SlowSenders, Idle, Unread int64
}

// Budget counts the bytes that a process holds by kind; it is safe for concurrent use. A nil budget counts nothing and permits everything.
type Budget struct {
	config                                                      Config
	held, denied                                                [kinds]atomic.Int64
	total, peak, released                                       atomic.Int64
	refused, endedReaders, endedSenders, endedIdle, endedUnread atomic.Int64

	mutex sync.Mutex
	// clients are the accounts of connections.
	clients map[*Account]struct{}
	// nextShed is the earliest time of the next search for connections to end.
	nextShed time.Time
	// sampledAt and sampledReleased are those of the last measurement of releaseRate, which is in bytes per second.
	sampledAt       time.Time
	sampledReleased int64
	releaseRate     float64
}

// New returns an empty budget.
func New(config Config) *Budget { return &Budget{config: config, clients: map[*Account]struct{}{}} }

// IsLimited reports whether the budget has a limit.
func (budget *Budget) IsLimited() bool { return budget != nil && budget.config.Limit > 0 }

// part returns a fraction of the limit in bytes.
func (budget *Budget) part(fraction float64) int64 {
	return int64(float64(budget.config.Limit) * fraction)
}

// Usage returns what is held now.
func (budget *Budget) Usage() Usage {
	usage := Usage{
		Total: budget.total.Load(), Peak: budget.peak.Load(), Limit: budget.config.Limit, Refused: budget.refused.Load(),
		SlowReaders: budget.endedReaders.Load(), SlowSenders: budget.endedSenders.Load(), Idle: budget.endedIdle.Load(), Unread: budget.endedUnread.Load(),
	}
	for _, kind := range Kinds() {
		usage.Held[kind], usage.Denied[kind] = budget.held[kind].Load(), budget.denied[kind].Load()
	}
	return usage
}

// Admit reports whether a new request may be accepted, and otherwise how long its client should wait.
func (budget *Budget) Admit(now time.Time) (retryDelay time.Duration, ok bool) {
	if !budget.IsLimited() || budget.total.Load() <= budget.part(shedAbove) {
		return 0, true
	}
	budget.shed(now)
	if budget.total.Load() <= budget.part(refuseAbove) {
		return 0, true
	}
	budget.refused.Add(1)
	return budget.RetryDelay(now), false
}

// RetryDelay returns after which time there will be room for new requests at the rate at which bytes are released now.
func (budget *Budget) RetryDelay(now time.Time) time.Duration {
	if !budget.IsLimited() {
		return minRetryDelay
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.measure(now)
	excess := float64(budget.total.Load() - budget.part(shedAbove))
	if budget.releaseRate <= 0 {
		return maxRetryDelay
	}
	return min(max(time.Duration(excess/budget.releaseRate*float64(time.Second)), minRetryDelay), maxRetryDelay)
}

// measure updates the release rate; the mutex must be locked.
func (budget *Budget) measure(now time.Time) {
	elapsed := now.Sub(budget.sampledAt)
	if elapsed < shedInterval {
		return
	}
	released := budget.released.Load()
	if elapsed <= maxRetryDelay {
		budget.releaseRate = float64(released-budget.sampledReleased) / elapsed.Seconds()
	}
	budget.sampledAt, budget.sampledReleased = now, released
}

// WriteDeadline returns until when a write to a client may take; without a limit it is the fallback.
func (budget *Budget) WriteDeadline(now, fallback time.Time) time.Time {
	if !budget.IsLimited() {
		return fallback
	}
	used := float64(budget.total.Load()) / float64(budget.config.Limit)
	pressed := min(max((used-relaxedBelow)/(refuseAbove-relaxedBelow), 0), 1)
	return now.Add(maxWriteTime - time.Duration(pressed*float64(maxWriteTime-minWriteTime)))
}

// HoldDeadline returns until when an answer is kept of which no further byte could be held since the given time.
func (budget *Budget) HoldDeadline(since time.Time) time.Time {
	if budget.total.Load() > budget.part(exhaustedAbove) {
		return since.Add(minUnread)
	}
	return since.Add(maxUnread)
}

// add counts bytes.
func (budget *Budget) add(kind Kind, bytes int64) {
	budget.held[kind].Add(bytes)
	total := budget.total.Add(bytes)
	if bytes < 0 {
		budget.released.Add(-bytes)
	}
	for peak := budget.peak.Load(); total > peak && !budget.peak.CompareAndSwap(peak, total); peak = budget.peak.Load() {
	}
}

// Count counts bytes that belong to no client, as held if positive and as released if negative.
func (budget *Budget) Count(kind Kind, bytes int64) {
	if budget != nil {
		budget.add(kind, bytes)
	}
}

// fits reports whether a client that holds some bytes may hold more of the kind.
func (budget *Budget) fits(kind Kind, clientBytes, bytes int64) bool {
	total := budget.total.Load()
	switch {
	case budget.config.Limit <= 0:
		return true
	case kind == Connections:
		return total+bytes <= budget.config.Limit
	}
	if kind == Heads {
		return total+bytes <= budget.part(reserveBelow)
	}
	free := budget.part(aheadBelow) - total
	return bytes <= free && clientBytes+bytes <= max(minClientShare, int64(float64(free)*clientShare))
}

// shed ends connections if too many bytes are held: the readers that have been slow for longest, then idle connections, then
// slow senders.
func (budget *Budget) shed(now time.Time) {
	excess := budget.total.Load() - budget.part(shedTo)
	if budget.total.Load() <= budget.part(shedAbove) {
		return
	}
	budget.mutex.Lock()
	if now.Before(budget.nextShed) {
		budget.mutex.Unlock()
		return
	}
	budget.nextShed = now.Add(shedInterval)
	budget.measure(now)
	ended := choose(budget.clients, now, excess)
	budget.mutex.Unlock()
	budget.endedReaders.Add(int64(len(ended[SlowReader])))
	budget.endedSenders.Add(int64(len(ended[SlowSender])))
	budget.endedIdle.Add(int64(len(ended[IdleConnection])))
	for cause, accounts := range ended {
		for _, account := range accounts {
			go account.end(cause)
		}
	}
	if budget.config.OnPressure != nil {
		budget.config.OnPressure(Pressure{
			Held: budget.total.Load(), Limit: budget.config.Limit, SlowReaders: len(ended[SlowReader]),
			SlowSenders: len(ended[SlowSender]), Idle: len(ended[IdleConnection]), Refused: budget.refused.Load(),
			Unread: budget.endedUnread.Load(),
		})
	}
}

type contextKey struct{}

// NewContext returns a context with an account.
func NewContext(ctx context.Context, account *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, account)
}

// FromContext returns the account of the request that ctx belongs to, nil if it has none.
func FromContext(ctx context.Context) *Account {
	account, _ := ctx.Value(contextKey{}).(*Account)
	return account
}
