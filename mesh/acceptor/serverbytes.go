package acceptor

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
)

// serverLoad counts the bytes of one request at the backend server.
type serverLoad struct {
	serverBytes *budgeter.ServerBytes
	// declared is the length of the request's body, -1 if it is unknown.
	declared int64
	// cancel ends the request: a server that waits for the rest of a body would answer never.
	cancel context.CancelFunc

	mutex sync.Mutex
	bytes int64
	left  bool
}

// enterServer counts the request for the backend server, or returns a refusal if it may exceed the server's memory.
func (acceptor *Acceptor) enterServer(task lagoonlanding.Task, cancel context.CancelFunc) (*serverLoad, lagoonlanding.Result) {
	load := &serverLoad{serverBytes: acceptor.config.ServerBytes, declared: task.BodyLength(), cancel: cancel}
	if load.serverBytes == nil {
		return load, lagoonlanding.Result{}
	}
	// A body of unknown length is counted as it is sent.
	load.bytes = max(load.declared, 0)
	now := acceptor.config.Clock.Now()
	delay, ok := load.serverBytes.Enter(now, load.bytes)
	if !ok {
		held, limit, _ := load.serverBytes.State()
		acceptor.config.Log.WithFields(logrus.Fields{"request": task.ID(), "bytes": load.bytes, "held": held, "limit": limit, "retry-ms": delay.Milliseconds()}).
			Info("Task does not fit into the memory that the backend server is expected to have.")
		return nil, lagoonlanding.NotRun(lagoonlanding.ReasonUpstreamBytes, now.Add(delay))
	}
	return load, lagoonlanding.Result{}
}

// withCountedBody returns the task with a body whose bytes are counted if its length is unknown.
func (serverload *serverLoad) withCountedBody(task lagoonlanding.Task) lagoonlanding.Task {
	if serverload.serverBytes == nil || task.Body() == nil || serverload.declared >= 0 {
		return task
	}
	return task.With(func(config *lagoonlanding.TaskConfig) {
		config.Body = &countedBody{Reader: config.Body, load: serverload}
	})
}

// add counts bytes that are about to be sent to the backend server; it returns false if they may exceed the server's memory.
func (serverload *serverLoad) add(bytes int64) bool {
	serverload.mutex.Lock()
	defer serverload.mutex.Unlock()
	if serverload.left || !serverload.serverBytes.Add(serverload.bytes, bytes) {
		return false
	}
	serverload.bytes += bytes
	return true
}

// leave ends the count; it may be called for a request that was not counted.
func (serverload *serverLoad) leave(now time.Time, answered bool) {
	if serverload == nil || serverload.serverBytes == nil {
		return
	}
	serverload.mutex.Lock()
	defer serverload.mutex.Unlock()
	if !serverload.left {
		serverload.left = true
		serverload.serverBytes.Leave(now, serverload.bytes, answered)
	}
}

// errServerBytes ends the body of a request which the backend server may not be able to hold; the request may have run.
var errServerBytes = errors.New("the backend server may not have the memory for the body")

// countedBody counts the bytes that are read from a body.
type countedBody struct {
	io.Reader
	load *serverLoad
}

// Read reads from the body.
func (countedbody *countedBody) Read(data []byte) (int, error) {
	count, err := countedbody.Reader.Read(data)
	if count > 0 && !countedbody.load.add(int64(count)) {
		countedbody.load.cancel()
		return 0, errServerBytes
	}
	return count, err
}

// recordCrash lowers the bound after a crash of a process of the backend server.
func (acceptor *Acceptor) recordCrash(process lagoonlanding.BackendID) {
	if acceptor.config.ServerBytes == nil {
		return
	}
	held, previous, current := acceptor.config.ServerBytes.Crashed(acceptor.config.Clock.Now(), process)
	if previous != current {
		acceptor.config.Log.WithFields(logrus.Fields{
			"backend-server": process.String(), "held": held, "limit": current, "previous-limit": previous,
		}).Warn("Backend server crashed with more bytes of requests than it may hold from now on.")
	}
}
