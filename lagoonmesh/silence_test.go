package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

// silencer accepts connections that can go silent: nothing that is sent on them is acknowledged any more, and they are not reset.
type silencer struct {
	net.Listener

	mutex    sync.Mutex
	accepted map[net.Conn]*silenceableConnection
}

// silenceableConnection is a connection that can go silent.
type silenceableConnection struct {
	net.Conn

	mutex    sync.Mutex
	isSilent bool
	// isWatching means that a watch of the store is in progress on the connection.
	isWatching bool
}

// Accept accepts a connection.
func (silencer *silencer) Accept() (net.Conn, error) {
	accepted, err := silencer.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &silenceableConnection{Conn: accepted}
	silencer.mutex.Lock()
	defer silencer.mutex.Unlock()
	silencer.accepted[connection] = connection
	return connection, nil
}

// silence silences all open connections, or only those with a watch in progress.
func (silencer *silencer) silence(t *testing.T, onlyWatches bool) {
	silencer.mutex.Lock()
	defer silencer.mutex.Unlock()
	for _, connection := range silencer.accepted {
		if err := connection.silence(onlyWatches); err != nil {
			t.Fatal(err)
		}
	}
}

func (silenceableconnection *silenceableConnection) silence(onlyWatches bool) error {
	silenceableconnection.mutex.Lock()
	defer silenceableconnection.mutex.Unlock()
	if onlyWatches && !silenceableconnection.isWatching {
		return nil
	}
	silenceableconnection.isSilent = true
	raw, err := silenceableconnection.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	// The kernel drops every packet that arrives for the socket, keep-alive probes included.
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
	})
	if err == unix.EINVAL || failure == unix.EBADF {
		return nil
	}
	return failure
}

// Write writes to the connection unless it is silent.
func (silenceableconnection *silenceableConnection) Write(data []byte) (int, error) {
	silenceableconnection.mutex.Lock()
	defer silenceableconnection.mutex.Unlock()
	if silenceableconnection.isSilent {
		return len(data), nil
	}
	return silenceableconnection.Conn.Write(data)
}

// setWatching records whether a watch is in progress on the connection.
func (silenceableconnection *silenceableConnection) setWatching(isWatching bool) {
	silenceableconnection.mutex.Lock()
	defer silenceableconnection.mutex.Unlock()
	silenceableconnection.isWatching = isWatching
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// startSilenceableFleet starts a fleet whose connections to the store can go silent.
func startSilenceableFleet(t *testing.T) (*simulator.Store, *silencer, map[string]*testDaemon) {
	store := simulator.NewStore()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/kv-watch") {
			connection := request.Context().Value(connectionKey{}).(*silenceableConnection)
			connection.setWatching(true)
			defer connection.setWatching(false)
		}
		store.ServeHTTP(writer, request)
	}))
	silencer := &silencer{Listener: server.Listener, accepted: map[net.Conn]*silenceableConnection{}}
	server.Listener = silencer
	server.Config.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return store, silencer, startFleetAt(t, store, silencer.Addr().String())
}

// TestConfigurationIsInForceAfterStoreConnectionsGoSilent allows the contact time after the connections went silent, as the platform does.
func TestConfigurationIsInForceAfterStoreConnectionsGoSilent(t *testing.T) {
	for name, onlyWatches := range map[string]bool{"watches only": true, "all connections": false} {
		t.Run(name, func(t *testing.T) {
			store, silencer, fleet := startSilenceableFleet(t)
			put(t, store, "op/config", fmt.Sprintf(testConfig, 2))
			waitForVersion(t, fleet, 2, 2*time.Second)
			// The next watches are in progress.
			time.Sleep(300 * time.Millisecond)
			silencer.silence(t, onlyWatches)
			deadline := time.Now().Add(3 * time.Second)
			time.Sleep(100 * time.Millisecond)
			put(t, store, "op/config", fmt.Sprintf(testConfig, 3))
			waitForVersion(t, fleet, 3, time.Until(deadline))
		})
	}
}

func waitForVersion(t *testing.T, fleet map[string]*testDaemon, version int64, timeout time.Duration) {
	t.Helper()
	waitFor(t, fmt.Sprintf("version %d is in force everywhere", version), timeout, func() bool {
		for _, daemon := range fleet {
			if daemon.coordinator.Snapshot().Routing().Version() != version {
				return false
			}
		}
		return true
	})
}
