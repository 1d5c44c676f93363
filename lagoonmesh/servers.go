package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/transmitter"
	"lagoonlanding.example/lagoonlanding/platform"
)

const (
	// maxHeaderBytes limits the size of a header; the handler enforces the lower limit of the published configuration.
	maxHeaderBytes = 64 << 10
	// headerTimeout limits the time in which a client must send a header.
	headerTimeout = 10 * time.Second
	// clientIdleTimeout is how long an idle client connection is kept; the platform lets clients reuse connections for less time.
	clientIdleTimeout = 75 * time.Second
)

// servers are the HTTP servers of the daemon with their listeners.
type servers struct {
	httpServers []*http.Server
	listeners   []net.Listener
	drainer
}

func (daemon *daemon) listen() (*servers, error) {
	started := &servers{}
	routing := func() *lagoonlanding.Routing { return daemon.coordinator.Snapshot().Routing() }
	clients := platform.NewClientServer(daemon.forwarder, routing, daemon.clock, daemon.logFor("clients"))
	peers := transmitter.NewServer(transmitter.ServerConfig{
		Handler: daemon.acceptor, Clock: daemon.clock, Log: daemon.logFor("peers"), Store: daemon.syncer.ProxyStore(),
		Feeds: map[string]lagoonlanding.Feed{daemon.fleet.Prefix(): daemon.fleet, daemon.directives.Prefix(): daemon.directives},
	})
	announcements := platform.NewAnnouncementServer(daemon.syncer, daemon.clock, daemon.logFor("announcements"))
	for _, server := range []struct {
		address string
		handler http.Handler
	}{
		{daemon.settings.AnnouncementAddress(), announcements},
		{daemon.settings.PeerAddress(), started.wrap(peers, peers.Refuse)},
		{daemon.settings.ClientAddress(), started.wrap(clients, clients.Refuse)},
		{daemon.settings.ReadyAddress(), http.HandlerFunc(daemon.handleReady)},
		{daemon.settings.MetricsAddress(), daemon.recorder.Handler()},
	} {
		if err := started.add(server.address, server.handler); err != nil {
			return nil, err
		}
	}
	return started, nil
}

func (servers *servers) add(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdleTimeout,
	}
	servers.httpServers, servers.listeners = append(servers.httpServers, server), append(servers.listeners, listener)
	return nil
}

func (servers *servers) serve() {
	for index, server := range servers.httpServers {
		go server.Serve(servers.listeners[index])
	}
}

// handleReady responds with status 503 unless the daemon is ready to serve.
func (daemon *daemon) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if !daemon.syncer.IsReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}
