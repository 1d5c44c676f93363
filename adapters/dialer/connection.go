package dialer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Dial opens a TCP connection with the dialer; its reads fail if the peer has reset it.
func Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	dialed, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: dialed}, nil
}

// connection is a TCP connection that tells its reader of a reset.
//
// The kernel reports a reset to one call only. If that is a write, a later read returns the end of the stream, as if the peer had closed it.
type connection struct {
	net.Conn

	writing sync.Mutex
	// lost is the failure that a write was told of in place of the reader, nil if there is none.
	lost error
}

var _ syscall.Conn = (*connection)(nil)

// Write writes to the connection.
func (connection *connection) Write(data []byte) (int, error) {
	connection.writing.Lock()
	defer connection.writing.Unlock()
	count, err := connection.Conn.Write(data)
	var failure syscall.Errno
	// EPIPE means that the peer had ended the stream, or that the failure was reported before.
	if errors.As(err, &failure) && failure != syscall.EPIPE {
		connection.lost = err
	}
	return count, err
}

// Read reads from the connection; it returns io.EOF only if the peer has ended the stream.
func (connection *connection) Read(data []byte) (int, error) {
	count, err := connection.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if lost := connection.awaitLoss(); lost != nil {
			return count, lost
		}
	}
	return count, err
}

// SyscallConn returns the raw connection.
func (connection *connection) SyscallConn() (syscall.RawConn, error) {
	raw, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// awaitLoss returns the failure that was reported to a write, also to one that has not returned yet.
func (connection *connection) awaitLoss() error {
	if !connection.writing.TryLock() {
		if connection.isHalfClosed() {
			// The peer has ended the stream and may leave the write waiting.
			return nil
		}
		// On a closed connection the write in progress returns at once.
		connection.writing.Lock()
	}
	defer connection.writing.Unlock()
	return connection.lost
}

// isHalfClosed reports whether the peer has ended its stream and still accepts ours.
func (connection *connection) isHalfClosed() bool {
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	isHalfClosed := false
	err = raw.Control(func(descriptor uintptr) {
		info, failure := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		isHalfClosed = failure == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && isHalfClosed
}
