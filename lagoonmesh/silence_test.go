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

	"lagoonlanding.example/lagoonlanding/platform/simulator"
	"lagoonlanding.example/lagoonlanding/runtime/silencer"
)

// silentListener accepts connections that can go silent: nothing that is sent on them is acknowledged any more, and they are not reset.
type silentListener struct {
	net.Listener

	mutex    sync.Mutex
	accepted []*silenceableConnection
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
func (silentlistener *silentListener) Accept() (net.Conn, error) {
	accepted, err := silentlistener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	connection := &silenceableConnection{Conn: accepted}
	silentlistener.mutex.Lock()
	defer silentlistener.mutex.Unlock()
	silentlistener.accepted = append(silentlistener.accepted, connection)
	return connection, nil
}

// silence silences all open connections, or only those with a watch in progress.
func (silentlistener *silentListener) silence(t *testing.T, onlyWatches bool) {
	silentlistener.mutex.Lock()
	defer silentlistener.mutex.Unlock()
	for _, connection := range silentlistener.accepted {
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
	return silencer.Silence(silenceableconnection.Conn.(*net.TCPConn))
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
func startSilenceableFleet(t *testing.T) (*simulator.Store, *silentListener, map[string]*testDaemon) {
	store := simulator.NewStore()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/kv-watch") {
			connection := request.Context().Value(connectionKey{}).(*silenceableConnection)
			connection.setWatching(true)
			defer connection.setWatching(false)
		}
		store.ServeHTTP(writer, request)
	}))
	silentlistener := &silentListener{Listener: server.Listener}
	server.Listener = silentlistener
	server.Config.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return store, silentlistener, startFleetAt(t, store, silentlistener.Addr().String())
}

// TestConfigurationIsInForceAfterStoreConnectionsGoSilent allows the contact time after the connections went silent, as the platform does.
func TestConfigurationIsInForceAfterStoreConnectionsGoSilent(t *testing.T) {
	for name, onlyWatches := range map[string]bool{"watches only": true, "all connections": false} {
		t.Run(name, func(t *testing.T) {
			store, silentlistener, fleet := startSilenceableFleet(t)
			put(t, store, "op/config", fmt.Sprintf(testConfig, 2))
			waitForVersion(t, fleet, 2, 2*time.Second)
			// The next watches are in progress.
			time.Sleep(300 * time.Millisecond)
			silentlistener.silence(t, onlyWatches)
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
