package messenger

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout limits the opening of a TCP connection.
	dialTimeout = time.Second
	// minBackoff and maxBackoff limit the delay before an unreachable peer is dialled again.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// keepAliveInterval is the interval of the TCP keep-alive probes that detect an unreachable host.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes after which a connection is closed.
	keepAliveProbes = 3
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = time.Minute
	// sweepInterval is the minimum time between two sweeps for idle connections.
	sweepInterval = 5 * time.Second
)

var errTooManyConnections = errors.New("connection limit reached")

// pool is a bounded pool of connections to peers.
type pool struct {
	maxConnections int
	traffic        *Traffic
	dial           func(ctx context.Context, address string) (net.Conn, error)
	mutex          sync.Mutex
	openCount      int
	// nextSweep is the earliest time of the next sweep for idle connections.
	nextSweep time.Time
	slots     map[connectionKey]*slot
}

// connectionKey identifies a connection in the pool.
type connectionKey struct {
	address string
	lane    Lane
	index   int
}

// slot holds the connection of a key; its semaphore guards the fields and is held while dialling.
type slot struct {
	semaphore  chan struct{}
	evicted    bool
	connection *connection
	// consecutiveFailures counts the dials that failed since the last success.
	consecutiveFailures int
	retryAt             time.Time
	lastError           error
}

func newPool(maxConnections int, traffic *Traffic) *pool {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return &pool{
		maxConnections: maxConnections, traffic: traffic, slots: make(map[connectionKey]*slot),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// connection returns the open connection for the key or dials a new one; its errors wrap ErrNotSent.
func (pool *pool) connection(ctx context.Context, key connectionKey) (*connection, error) {
	slot, err := pool.acquire(ctx, key)
	if err != nil {
		return nil, notSent(err)
	}
	now := time.Now()
	if slot.connection != nil && slot.connection.isUsable(now) {
		defer slot.release()
		return slot.connection, nil
	}
	pool.closeSlot(slot)
	if now.Before(slot.retryAt) {
		defer slot.release()
		return nil, notSent(slot.lastError)
	}
	return pool.open(ctx, key, slot)
}

// acquire returns the slot for the key once it holds the semaphore of the slot.
func (pool *pool) acquire(ctx context.Context, key connectionKey) (*slot, error) {
	for {
		slot := pool.slot(key)
		select {
		case slot.semaphore <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if !slot.evicted {
			return slot, nil
		}
		slot.release()
	}
}

// open dials in a goroutine that holds the semaphore, so that a caller whose ctx ends early does not abort the dial for the next caller.
func (pool *pool) open(ctx context.Context, key connectionKey, slot *slot) (*connection, error) {
	type result struct {
		connection *connection
		err        error
	}
	opened := make(chan result, 1)
	go func() {
		connection, err := pool.connect(key)
		slot.recordDial(connection, err)
		// The semaphore is released first, so that a receiver of the result finds it free.
		slot.release()
		opened <- result{connection: connection, err: err}
	}()
	select {
	case result := <-opened:
		if result.err != nil {
			return nil, notSent(result.err)
		}
		return result.connection, nil
	case <-ctx.Done():
		return nil, notSent(ctx.Err())
	}
}

// tryAcquire acquires the semaphore without waiting and reports whether it succeeded.
func (slot *slot) tryAcquire() bool {
	select {
	case slot.semaphore <- struct{}{}:
		return true
	default:
		return false
	}
}

func (slot *slot) release() { <-slot.semaphore }

// recordDial records the result of a dial.
func (slot *slot) recordDial(connection *connection, err error) {
	if err == nil {
		slot.connection, slot.consecutiveFailures = connection, 0
		return
	}
	slot.retryAt, slot.lastError = time.Now().Add(backoffAfter(slot.consecutiveFailures)), err
	slot.consecutiveFailures++
}

// backoffAfter returns the delay after a failed dial that followed the given number of consecutive failures.
func backoffAfter(consecutiveFailures int) time.Duration {
	backoff := minBackoff
	for range consecutiveFailures {
		if backoff *= 2; backoff >= maxBackoff {
			return maxBackoff
		}
	}
	return backoff
}

func (pool *pool) slot(key connectionKey) *slot {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	found := pool.slots[key]
	if found == nil {
		found = &slot{semaphore: make(chan struct{}, 1)}
		pool.slots[key] = found
	}
	return found
}

func (pool *pool) closeSlot(slot *slot) {
	if slot.connection == nil {
		return
	}
	slot.connection.close()
	slot.connection = nil
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.openCount--
}

// connect dials the peer and performs the handshake for the lane.
func (pool *pool) connect(key connectionKey) (*connection, error) {
	if err := pool.reserve(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := pool.dial(ctx, key.address)
	if err == nil {
		if err = clientHandshake(conn, key.lane); err != nil {
			_ = conn.Close()
		}
	}
	if err != nil {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.openCount--
		return nil, err
	}
	return newConnection(&countedConn{Conn: conn, lane: key.lane, traffic: pool.traffic}, key.lane), nil
}

// reserve counts a new connection; at the limit it first evicts the least recently used idle connection.
func (pool *pool) reserve() error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.sweep(time.Now())
	if pool.openCount >= pool.maxConnections && !pool.evict() {
		return errTooManyConnections
	}
	pool.openCount++
	return nil
}

// sweep closes expired connections and removes slots without a connection, except those whose peer must not be dialled yet.
func (pool *pool) sweep(now time.Time) {
	if now.Before(pool.nextSweep) {
		return
	}
	pool.nextSweep = now.Add(sweepInterval)
	for key, slot := range pool.slots {
		if !slot.tryAcquire() {
			continue
		}
		isUnused := slot.connection == nil && now.After(slot.retryAt)
		if isUnused || slot.connection != nil && slot.connection.isExpired(now) {
			pool.remove(key, slot)
		}
		slot.release()
	}
}

// evict closes the least recently used idle connection and reports whether there was one.
func (pool *pool) evict() bool {
	var oldestKey connectionKey
	var oldestSlot *slot
	for key, slot := range pool.slots {
		if !slot.tryAcquire() {
			continue
		}
		isCandidate := slot.connection != nil && slot.connection.isIdle()
		if isCandidate && (oldestSlot == nil || slot.connection.lastUse().Before(oldestSlot.connection.lastUse())) {
			if oldestSlot != nil {
				oldestSlot.release()
			}
			oldestKey, oldestSlot = key, slot
			continue
		}
		slot.release()
	}
	if oldestSlot == nil {
		return false
	}
	pool.remove(oldestKey, oldestSlot)
	oldestSlot.release()
	return true
}

// remove removes a slot, whose semaphore the caller holds, from the pool; callers waiting for the slot then acquire a new one.
func (pool *pool) remove(key connectionKey, slot *slot) {
	if slot.connection != nil {
		slot.connection.close()
		slot.connection = nil
		pool.openCount--
	}
	slot.evicted = true
	delete(pool.slots, key)
}

func (pool *pool) close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for key, slot := range pool.slots {
		if slot.tryAcquire() {
			pool.remove(key, slot)
			slot.release()
		}
	}
}
