package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleBeforeClose is how long all callers' connections must have been idle before a shutdown closes them.
	idleBeforeClose = 250 * time.Millisecond
	// idlePollInterval is the interval at which a shutdown checks for idleness.
	idlePollInterval = 20 * time.Millisecond
)

// connections tracks the callers' connections, so that a shutdown can finish once no request is in progress.
//
// http.Server.Shutdown is not used because it drops requests that arrive after it was called.
type connections struct {
	mutex      sync.Mutex
	active     map[net.Conn]bool
	lastChange time.Time
}

func newConnections() *connections { return &connections{active: make(map[net.Conn]bool)} }

// onStateChange is the ConnState hook of an http.Server.
func (connections *connections) onStateChange(conn net.Conn, state http.ConnState) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.lastChange = time.Now()
	if state == http.StateActive {
		connections.active[conn] = true
		return
	}
	delete(connections.active, conn)
}

func (connections *connections) isIdle(now time.Time) bool {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	return len(connections.active) == 0 && now.Sub(connections.lastChange) >= idleBeforeClose
}

// awaitIdle waits until no connection has been active for idleBeforeClose or until ctx is done.
func (connections *connections) awaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for !connections.isIdle(time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
