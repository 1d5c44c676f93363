package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// quietTerm is how long no caller may have sent anything before the remaining connections are closed.
	quietTerm = 250 * time.Millisecond
	// quietCheck is the interval at which a stop looks for it.
	quietCheck = 20 * time.Millisecond
)

// connections follows the callers' connections, so that a stop can end once no request is under way.
//
// The server's own Shutdown drops requests that it reads after its start, so it is not used.
type connections struct {
	mutex  sync.Mutex
	active map[net.Conn]bool
	last   time.Time
}

func newConnections() *connections { return &connections{active: make(map[net.Conn]bool)} }

// note is the ConnState hook of an http.Server.
func (connections *connections) note(conn net.Conn, state http.ConnState) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.last = time.Now()
	if state == http.StateActive {
		connections.active[conn] = true
		return
	}
	delete(connections.active, conn)
}

func (connections *connections) isQuiet(now time.Time) bool {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	return len(connections.active) == 0 && now.Sub(connections.last) >= quietTerm
}

// awaitQuiet waits until no request is under way and none has come for a while, or ctx ends.
func (connections *connections) awaitQuiet(ctx context.Context) error {
	ticker := time.NewTicker(quietCheck)
	defer ticker.Stop()
	for !connections.isQuiet(time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
