package receiver

import (
	"errors"
	"net"
	"os"
	"time"

	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
)

// clientWriter writes to a client, within the time that the memory budget gives a slow reader.
type clientWriter struct {
	connection *connection
}

// Write writes to the connection; a client that does not take the bytes in time loses the connection.
func (clientwriter clientWriter) Write(data []byte) (int, error) {
	connection := clientwriter.connection
	budget := connection.memory.Budget()
	now := time.Now()
	if err := connection.SetWriteDeadline(budget.WriteDeadline(now, now.Add(writeTimeout))); err != nil {
		return 0, err
	}
	connection.memory.BeginWrite(now)
	defer connection.memory.EndWrite()
	count, err := connection.Conn.Write(data)
	if errors.Is(err, os.ErrDeadlineExceeded) && budget.IsLimited() {
		connection.memory.EndUnread()
	}
	return count, err
}

// clientBufferBytes is the size of the system's buffer for what is sent to a client, where memory is limited. By default it grows to megabytes, and a
// write is not reported as progress before a third of it is free, so that a slow reader looks like one that does not read.
const clientBufferBytes = 64 << 10

// open opens the account of the connection; it returns false if the memory budget has no room for it.
//
// Other daemons read promptly and may be distant, so their connections keep the system's buffer.
func (connection *connection) open() (ok bool) {
	if connection.config.AllowsFrames {
		connection.memory = connection.config.Memory.OpenPeer(connection.terminate)
		return true
	}
	if connection.memory, ok = connection.config.Memory.Open(connection.terminate); !ok {
		return false
	}
	connection.setIdle()
	if tcp, ok := connection.Conn.(*net.TCPConn); ok && connection.config.Memory.IsLimited() {
		if err := tcp.SetWriteBuffer(clientBufferBytes); err != nil {
			connection.config.Log.WithError(err).Debug("Cannot bound the send buffer of a client.")
		}
	}
	return true
}

// setIdle records that the connection has no request in progress. That of another daemon is not ended for it, since a task that is sent at that
// moment would have an unknown outcome.
func (connection *connection) setIdle() {
	if !connection.config.AllowsFrames {
		connection.memory.SetIdle(time.Now())
	}
}

// terminate ends the connection to release memory.
//
// With a request in progress the connection is reset, so that a response which is incomplete never looks complete, and what the system still
// buffers for the client is released.
func (connection *connection) terminate(cause budgeter.Cause) {
	connection.mutex.Lock()
	isIdle := connection.pipeline.IsEmpty() && !connection.isReadingHead
	if cause == budgeter.IdleConnection {
		if isIdle {
			connection.pipeline.End()
			connection.interrupt()
		} else {
			connection.memory.Keep()
		}
		connection.mutex.Unlock()
		return
	}
	connection.isReset = true
	setReset(connection.Conn)
	connection.mutex.Unlock()
	connection.config.Log.WithField("client", connection.RemoteAddr().String()).WithField("sends", cause == budgeter.SlowSender).Debug("Connection of a client that reads or sends slowly was reset.")
	connection.abandon()
}

// setReset makes closing the connection reset it.
func setReset(accepted net.Conn) bool {
	tcp, ok := accepted.(*net.TCPConn)
	return ok && tcp.SetLinger(0) == nil
}

// reset resets a connection that is not served.
func reset(accepted net.Conn) {
	setReset(accepted)
	// The connection is not used any more, so a failure to close it has no consequence.
	_ = accepted.Close()
}
