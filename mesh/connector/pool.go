package connector

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/dialer"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
	"lagoonlanding.example/lagoonlanding/mesh/framer"
)

// ErrBroken means that at least a part of the request was sent, but no complete response was received.
var ErrBroken = errors.New("connection broken before the response")

// Config holds the limits of a Pool.
type Config struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// SilenceTimeout is how long sent bytes may stay unacknowledged, and how long an idle peer may be silent, before a connection counts as broken.
	SilenceTimeout time.Duration
	// SilenceProbes is the number of keep-alive probes, a second apart, that a silent peer is sent before the connection counts as broken; zero
	// selects the default.
	SilenceProbes int
	// MaxIdle limits the idle connections per address.
	MaxIdle int
	// RespondsPromptly means that peers respond well before the deadline of a request, so that a deadline without a response shows a silent
	// connection.
	RespondsPromptly bool
	// OnSilence is called when a connection delivered nothing to a request that was sent at the given time; nil if that is not recorded.
	OnSilence func(address string, sent time.Time)
	// OnEnd is called with the bytes of each exchange once it has ended; nil if they are not counted.
	OnEnd func(address string, sent, received int)
	// Matches reports whether a response belongs to the request; responses that don't are skipped. Nil accepts every response.
	Matches func(request *http.Request, response *http.Response) bool
	// Memory counts the connections; nil if they are not counted.
	Memory *budgeter.Budget
	// Framed means that heads are sent and received in the compact form, which only daemons understand.
	Framed bool
}

// Pool is a pool of connections by address; it is safe for concurrent use.
type Pool struct {
	config Config
	dialer net.Dialer

	mutex sync.Mutex
	idle  map[string][]*connection
}

// defaultSilenceProbes tolerates the loss of one probe.
const defaultSilenceProbes = 2

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	if config.SilenceProbes == 0 {
		config.SilenceProbes = defaultSilenceProbes
	}
	pool := &Pool{config: config, idle: map[string][]*connection{}}
	pool.dialer = net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: config.SilenceTimeout, Interval: time.Second, Count: config.SilenceProbes},
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, config.SilenceTimeout) },
	}
	return pool
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// Exchange sends the request to the address and returns the response once its header has been read; its body must be closed.
//
// It fails with lagoonlanding.ErrNotSent if no byte was sent, and with ErrBroken otherwise. The connection is closed when ctx is done.
func (pool *Pool) Exchange(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	connection, err := pool.acquire(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", lagoonlanding.ErrNotSent, err)
	}
	response, err := pool.exchange(ctx, connection, request)
	if err != nil && connection.reused && connection.sentBytes() == 0 && ctx.Err() == nil {
		// The peer has closed the idle connection.
		if connection, err = pool.dial(ctx, address); err != nil {
			return nil, fmt.Errorf("%w: %w", lagoonlanding.ErrNotSent, err)
		}
		response, err = pool.exchange(ctx, connection, request)
	}
	if err != nil && connection.sentBytes() == 0 {
		return nil, fmt.Errorf("%w: %w", lagoonlanding.ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return response, nil
}

// FailureReason returns why a request that was sent got no complete response: its deadline, its cancellation or a lost connection.
func FailureReason(ctx context.Context) lagoonlanding.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lagoonlanding.ReasonDeadline
	case ctx.Err() != nil:
		return lagoonlanding.ReasonCancelled
	}
	return lagoonlanding.ReasonConnectionLost
}

func (pool *Pool) exchange(ctx context.Context, connection *connection, request *http.Request) (*http.Response, error) {
	connection.begin()
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	sent := make(chan error, 1)
	hasBody := request.Body != nil && request.Body != http.NoBody
	send := func() { sent <- connection.send(request) }
	if hasBody {
		go send()
	} else {
		send()
		if err := <-sent; err != nil {
			stop()
			connection.Close()
			return nil, err
		}
		// The result is read again when the response fails or its body ends.
		sent <- nil
	}
	response, err := pool.readOwnResponse(connection, request)
	if err != nil {
		if pool.isSilent(ctx, connection, err) {
			pool.discardSilent(connection)
		}
		stop()
		connection.Close()
		pool.count(connection)
		// A goroutine that still waits for the rest of the body ends with the client's request.
		return nil, errors.Join(err, sendError(sent))
	}
	response.Body = newBody(response, func(isComplete bool) {
		isOpen := stop()
		pool.count(connection)
		if isOpen && isComplete && isSent(sent) && !response.Close {
			pool.release(connection)
			return
		}
		connection.Close()
	})
	return response, nil
}

// isSilent reports whether an exchange failed although its connection was neither closed nor reset: the peer acknowledged nothing, or did not
// respond at all.
func (pool *Pool) isSilent(ctx context.Context, connection *connection, err error) bool {
	if connection.received.Load() > 0 {
		return false
	}
	return errors.Is(err, syscall.ETIMEDOUT) || pool.config.RespondsPromptly && errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// discardSilent reports a silent connection and closes the idle ones to its address that were last used before its request was sent: they
// may have gone silent with it, and each would cost another timeout.
func (pool *Pool) discardSilent(silent *connection) {
	if pool.config.OnSilence != nil {
		pool.config.OnSilence(silent.address, silent.requestedAt)
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.keepIdle(silent.address, func(connection *connection) bool { return connection.releasedAt.After(silent.requestedAt) })
}

// count reports the bytes of an exchange that has ended.
func (pool *Pool) count(connection *connection) {
	if pool.config.OnEnd != nil {
		pool.config.OnEnd(connection.address, connection.sentBytes(), connection.takeReceived())
	}
}

// isSent reports whether the whole request has been sent, so that the connection can be reused.
func isSent(sent <-chan error) bool { return sendError(sent) == nil }

// sendError returns why the request has not been sent completely, nil if it has.
func sendError(sent <-chan error) error {
	select {
	case err := <-sent:
		return err
	default:
		return errSending
	}
}

// acquire returns the most recently used idle connection, or a new one.
func (pool *Pool) acquire(ctx context.Context, address string) (*connection, error) {
	for {
		connection := pool.pop(address)
		if connection == nil {
			return pool.dial(ctx, address)
		}
		if connection.isReusable() {
			connection.reused = true
			return connection, nil
		}
		connection.Close()
	}
}

func (pool *Pool) pop(address string) *connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	idle := pool.idle[address]
	for len(idle) > 0 && now.After(idle[0].expiresAt) {
		idle[0].Close()
		idle = idle[1:]
	}
	if len(idle) == 0 {
		delete(pool.idle, address)
		return nil
	}
	last := idle[len(idle)-1]
	pool.idle[address] = idle[:len(idle)-1]
	return last
}

func (pool *Pool) dial(ctx context.Context, address string) (*connection, error) {
	dialContext, cancel := context.WithTimeout(ctx, pool.config.DialTimeout)
	defer cancel()
	dialed, err := dialer.Dial(dialContext, &pool.dialer, "tcp4", address)
	if err != nil {
		return nil, err
	}
	opened := newConnection(dialed, address)
	opened.memory = pool.config.Memory
	opened.memory.Count(budgeter.Connections, budgeter.OutgoingCost)
	if pool.config.Framed {
		opened.encoder, opened.decoder = framer.NewEncoder(), framer.NewDecoder(maxResponseHead)
	}
	return opened, nil
}

// Refuses reports whether the address refuses connections; if a connection succeeds, it is added to the pool.
func (pool *Pool) Refuses(ctx context.Context, address string) bool {
	connection, err := pool.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	pool.release(connection)
	return false
}

func (pool *Pool) release(connection *connection) {
	connection.releasedAt = time.Now()
	connection.expiresAt = connection.releasedAt.Add(pool.config.IdleTimeout)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	idle := pool.idle[connection.address]
	if len(idle) >= pool.config.MaxIdle {
		connection.Close()
		return
	}
	pool.idle[connection.address] = append(idle, connection)
}

// Sweep closes expired idle connections.
func (pool *Pool) Sweep(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address := range pool.idle {
		pool.keepIdle(address, func(connection *connection) bool { return !now.After(connection.expiresAt) })
	}
}

// keepIdle closes the idle connections to an address that the predicate rejects; the caller holds the mutex.
func (pool *Pool) keepIdle(address string, isKept func(connection *connection) bool) {
	var remaining []*connection
	for _, connection := range pool.idle[address] {
		if isKept(connection) {
			remaining = append(remaining, connection)
		} else {
			connection.Close()
		}
	}
	pool.idle[address] = remaining
	if len(remaining) == 0 {
		delete(pool.idle, address)
	}
}
