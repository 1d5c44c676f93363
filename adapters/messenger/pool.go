package messenger

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// firstBackoff and lastBackoff bound the wait before a failed peer is dialled again.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = time.Second
	// keepAlive is the interval of the probes that detect a lost machine.
	keepAlive = time.Second
	// lostProbes is the number of unanswered probes after which a connection is closed.
	lostProbes = 3
	// idleLimit is how long a connection is kept without a message.
	idleLimit = time.Minute
	// sweepInterval is the least time between two looks for idle connections.
	sweepInterval = 5 * time.Second
)

var errTooManyConnections = errors.New("the limit of connections to peers is reached")

// pool holds a bounded number of connections to peers.
type pool struct {
	limit   int
	traffic *Traffic
	dial    func(ctx context.Context, address string) (net.Conn, error)
	mutex   sync.Mutex
	used    int
	// nextSweep is when connections are next looked through for idle ones.
	nextSweep time.Time
	places    map[place]*slot
}

// place is where one connection belongs.
type place struct {
	address string
	lane    Lane
	number  int
}

// slot holds the connection of a place; whoever dials holds its turn.
type slot struct {
	turn    chan struct{}
	evicted bool
	link    *link
	// failures counts the dials that failed in a row.
	failures int
	retryAt  time.Time
	failure  error
}

func newPool(limit int, traffic *Traffic) *pool {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: lostProbes},
	}
	return &pool{
		limit: limit, traffic: traffic, places: make(map[place]*slot),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// link returns the connection of the place and opens it if there is none; its errors prove that nothing was sent.
func (pool *pool) link(ctx context.Context, where place) (*link, error) {
	slot, err := pool.take(ctx, where)
	if err != nil {
		return nil, notSent(err)
	}
	now := time.Now()
	if slot.link != nil && slot.link.isUsable(now) {
		defer slot.release()
		return slot.link, nil
	}
	pool.drop(slot)
	if now.Before(slot.retryAt) {
		defer slot.release()
		return nil, notSent(slot.failure)
	}
	return pool.open(ctx, where, slot)
}

// take waits for the turn of the place's slot.
func (pool *pool) take(ctx context.Context, where place) (*slot, error) {
	for {
		slot := pool.slot(where)
		select {
		case slot.turn <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if !slot.evicted {
			return slot, nil
		}
		slot.release()
	}
}

// open dials in a goroutine that keeps the turn, so that a caller who gives up early does not spoil the attempt for the next.
func (pool *pool) open(ctx context.Context, where place, slot *slot) (*link, error) {
	type result struct {
		link *link
		err  error
	}
	opened := make(chan result, 1)
	go func() {
		link, err := pool.connect(where)
		slot.note(link, err)
		// Whoever hears of the outcome may rely on the turn being free.
		slot.release()
		opened <- result{link: link, err: err}
	}()
	select {
	case result := <-opened:
		if result.err != nil {
			return nil, notSent(result.err)
		}
		return result.link, nil
	case <-ctx.Done():
		return nil, notSent(ctx.Err())
	}
}

// tryTake takes the turn unless another has it.
func (slot *slot) tryTake() bool {
	select {
	case slot.turn <- struct{}{}:
		return true
	default:
		return false
	}
}

func (slot *slot) release() { <-slot.turn }

// note keeps the outcome of an attempt to connect.
func (slot *slot) note(link *link, err error) {
	if err == nil {
		slot.link, slot.failures = link, 0
		return
	}
	slot.retryAt, slot.failure = time.Now().Add(backoffAfter(slot.failures)), err
	slot.failures++
}

// backoffAfter returns the wait after a failed dial with as many failures before it.
func backoffAfter(failures int) time.Duration {
	backoff := firstBackoff
	for range failures {
		if backoff *= 2; backoff >= lastBackoff {
			return lastBackoff
		}
	}
	return backoff
}

func (pool *pool) slot(where place) *slot {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	found := pool.places[where]
	if found == nil {
		found = &slot{turn: make(chan struct{}, 1)}
		pool.places[where] = found
	}
	return found
}

func (pool *pool) drop(slot *slot) {
	if slot.link == nil {
		return
	}
	slot.link.close()
	slot.link = nil
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.used--
}

func (pool *pool) connect(where place) (*link, error) {
	if err := pool.reserve(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.Background(), dialTimeout)
	defer stop()
	conn, err := pool.dial(ctx, where.address)
	if err == nil {
		if err = greet(conn, where.lane); err != nil {
			_ = conn.Close()
		}
	}
	if err != nil {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.used--
		return nil, err
	}
	return newLink(&countedConn{Conn: conn, lane: where.lane, traffic: pool.traffic}, where.lane), nil
}

// reserve counts a new connection and, at the limit, closes the idle one that was used least recently.
func (pool *pool) reserve() error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.sweep(time.Now())
	if pool.used >= pool.limit && !pool.evict() {
		return errTooManyConnections
	}
	pool.used++
	return nil
}

// sweep closes connections that have been idle for long and forgets places without one.
func (pool *pool) sweep(now time.Time) {
	if now.Before(pool.nextSweep) {
		return
	}
	pool.nextSweep = now.Add(sweepInterval)
	for where, slot := range pool.places {
		if !slot.tryTake() {
			continue
		}
		isUnused := slot.link == nil && now.After(slot.retryAt)
		if isUnused || slot.link != nil && slot.link.isSpent(now) {
			pool.forget(where, slot)
		}
		slot.release()
	}
}

func (pool *pool) evict() bool {
	var oldest place
	var victim *slot
	for where, slot := range pool.places {
		if !slot.tryTake() {
			continue
		}
		isCandidate := slot.link != nil && slot.link.isIdle()
		if isCandidate && (victim == nil || slot.link.lastUse().Before(victim.link.lastUse())) {
			if victim != nil {
				victim.release()
			}
			oldest, victim = where, slot
			continue
		}
		slot.release()
	}
	if victim == nil {
		return false
	}
	pool.forget(oldest, victim)
	victim.release()
	return true
}

// forget takes a slot, whose turn the caller holds, out of the pool; those who wait for it come back for a new one.
func (pool *pool) forget(where place, slot *slot) {
	if slot.link != nil {
		slot.link.close()
		slot.link = nil
		pool.used--
	}
	slot.evicted = true
	delete(pool.places, where)
}

func (pool *pool) close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for where, slot := range pool.places {
		if slot.tryTake() {
			pool.forget(where, slot)
			slot.release()
		}
	}
}
