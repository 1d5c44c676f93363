package caller

import (
	"bufio"
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
)

// ErrBroken says that the request, or a part of it, was sent and no whole answer came.
var ErrBroken = errors.New("the connection broke before the answer")

// Config holds what a Pool is built from.
type Config struct {
	// DialTerm bounds how long a connection may take to open.
	DialTerm time.Duration
	// IdleTerm is how long a connection is kept without use.
	IdleTerm time.Duration
	// SilenceTerm is how long sent bytes may stay unacknowledged, and how long an idle peer may be silent, before a connection counts as dead.
	SilenceTerm time.Duration
	// MaxIdle bounds the idle connections to one address.
	MaxIdle int
}

// readBuffer is the size of a connection's read buffer in bytes.
const readBuffer = 4 << 10

// Pool keeps connections to many addresses; it is safe for use by many goroutines.
type Pool struct {
	config Config
	dialer net.Dialer

	mutex sync.Mutex
	idle  map[string][]*connection
}

// connection carries one request at a time.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// written counts the bytes that were handed to the kernel for the present request.
	written int
	// expires is when an idle connection is closed.
	expires time.Time
	reused  bool
}

// Write counts what is sent.
func (connection *connection) Write(data []byte) (int, error) {
	count, err := connection.Conn.Write(data)
	connection.written += count
	return count, err
}

// NewPool returns a pool without connections.
func NewPool(config Config) *Pool {
	pool := &Pool{config: config, idle: map[string][]*connection{}}
	pool.dialer = net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: config.SilenceTerm, Interval: time.Second, Count: 2},
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, config.SilenceTerm) },
	}
	return pool
}

func setUserTimeout(raw syscall.RawConn, term time.Duration) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(term.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// Exchange sends the request to the address and returns the head of the answer, whose body must be closed.
//
// It fails with lagoonlanding.ErrNotSent if no byte was sent, and with ErrBroken otherwise. The connection closes when ctx ends.
func (pool *Pool) Exchange(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	connection, err := pool.take(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", lagoonlanding.ErrNotSent, err)
	}
	response, err := pool.exchange(ctx, connection, request)
	if err != nil && connection.reused && connection.written == 0 && ctx.Err() == nil {
		// The peer had closed the idle connection.
		if connection, err = pool.dial(ctx, address); err != nil {
			return nil, fmt.Errorf("%w: %w", lagoonlanding.ErrNotSent, err)
		}
		response, err = pool.exchange(ctx, connection, request)
	}
	if err != nil && connection.written == 0 {
		return nil, fmt.Errorf("%w: %w", lagoonlanding.ErrNotSent, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return response, nil
}

// EndOf returns why a request that was sent got no whole answer: its own time or its client ended it, or else the connection.
func EndOf(ctx context.Context) lagoonlanding.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lagoonlanding.ReasonDeadline
	case ctx.Err() != nil:
		return lagoonlanding.ReasonCancelled
	}
	return lagoonlanding.ReasonConnectionLost
}

func (pool *Pool) exchange(ctx context.Context, connection *connection, request *http.Request) (*http.Response, error) {
	connection.written = 0
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	sent := make(chan error, 1)
	hasBody := request.Body != nil && request.Body != http.NoBody
	send := func() {
		writer := bufio.NewWriter(connection)
		err := request.Write(writer)
		sent <- errors.Join(err, writer.Flush())
	}
	if hasBody {
		go send()
	} else {
		send()
		if err := <-sent; err != nil {
			stop()
			connection.Close()
			return nil, err
		}
		sent <- nil
	}
	response, err := readFinal(connection.reader, request)
	if err != nil {
		stop()
		connection.Close()
		// The writer must have stopped before anyone asks how much was sent.
		return nil, errors.Join(err, <-sent)
	}
	response.Body = newBody(response, func(isWhole bool) {
		isOwn := stop()
		if isOwn && isWhole && isSent(sent) && !response.Close {
			pool.put(connection)
			return
		}
		connection.Close()
	})
	return response, nil
}

// readFinal reads the head of the answer after any interim ones.
func readFinal(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil || response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, err
		}
	}
}

// isSent reports whether the whole request has left, so that the connection may carry another.
func isSent(sent <-chan error) bool {
	select {
	case err := <-sent:
		return err == nil
	default:
		return false
	}
}

// take returns the connection that was used last, or a new one.
func (pool *Pool) take(ctx context.Context, address string) (*connection, error) {
	for {
		connection := pool.pop(address)
		if connection == nil {
			return pool.dial(ctx, address)
		}
		if connection.isQuiet() {
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
	kept := pool.idle[address]
	for len(kept) > 0 && now.After(kept[0].expires) {
		kept[0].Close()
		kept = kept[1:]
	}
	if len(kept) == 0 {
		delete(pool.idle, address)
		return nil
	}
	last := kept[len(kept)-1]
	pool.idle[address] = kept[:len(kept)-1]
	return last
}

// isQuiet reports whether nothing has arrived on an idle connection: neither its end nor bytes that belong to no request.
func (connection *connection) isQuiet() bool {
	if connection.reader.Buffered() > 0 {
		return false
	}
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var octet [1]byte
	err = control.Read(func(descriptor uintptr) bool {
		_, _, failure := unix.Recvfrom(int(descriptor), octet[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failure == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (pool *Pool) dial(ctx context.Context, address string) (*connection, error) {
	limited, cancel := context.WithTimeout(ctx, pool.config.DialTerm)
	defer cancel()
	opened, err := pool.dialer.DialContext(limited, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: opened, address: address, reader: bufio.NewReaderSize(opened, readBuffer)}, nil
}

// Refuses reports whether nothing listens at the address; a connection that opens is kept for use.
func (pool *Pool) Refuses(ctx context.Context, address string) bool {
	connection, err := pool.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	pool.put(connection)
	return false
}

func (pool *Pool) put(connection *connection) {
	connection.expires = time.Now().Add(pool.config.IdleTerm)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	kept := pool.idle[connection.address]
	if len(kept) >= pool.config.MaxIdle {
		connection.Close()
		return
	}
	pool.idle[connection.address] = append(kept, connection)
}

// Sweep closes idle connections that have expired.
func (pool *Pool) Sweep(now time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for address, kept := range pool.idle {
		var left []*connection
		for _, connection := range kept {
			if now.After(connection.expires) {
				connection.Close()
			} else {
				left = append(left, connection)
			}
		}
		pool.idle[address] = left
		if len(left) == 0 {
			delete(pool.idle, address)
		}
	}
}
