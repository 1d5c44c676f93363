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

// limitBuffer bounds the system's buffer for a client. Other daemons read promptly and may be distant, so theirs stays as it is.
func limitBuffer(config Config, accepted net.Conn) {
	if tcp, ok := accepted.(*net.TCPConn); ok && config.Memory.IsLimited() && !config.AllowsFrames {
		if err := tcp.SetWriteBuffer(clientBufferBytes); err != nil {
			config.Log.WithError(err).Debug("Cannot bound the send buffer of a client.")
		}
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
	connection.config.Log.WithField("client", connection.RemoteAddr().String()).Debug("Connection of a client that reads slowly was reset.")
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
