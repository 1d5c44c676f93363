package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/carrier"
	"lagoonlanding.example/lagoonlanding/platform"
)

const (
	// maxHeader bounds a header in bytes before the published limit is known to the handler.
	maxHeader = 64 << 10
	// headerTerm bounds how long a client may take to send a header.
	headerTerm = 10 * time.Second
	// clientIdleTerm is how long an idle connection of a client is kept, longer than the platform lets clients use one.
	clientIdleTerm = 75 * time.Second
)

// servers are the daemon's listeners.
type servers struct {
	all       []*http.Server
	listeners []net.Listener
	drainer
}

func (daemon *daemon) listen() (*servers, error) {
	made := &servers{}
	routing := func() *lagoonlanding.Routing { return daemon.coordinator.Snapshot().Routing() }
	clients := platform.NewClientServer(daemon.forwarder, routing, daemon.clock, daemon.part("clients"))
	peers := carrier.NewServer(carrier.ServerConfig{
		Handler: daemon.acceptor, Clock: daemon.clock, Log: daemon.part("peers"), Store: daemon.syncer.Lend(),
		Feeds: map[string]lagoonlanding.Feed{daemon.fleet.Prefix(): daemon.fleet, daemon.orders.Prefix(): daemon.orders},
	})
	announcements := platform.NewAnnouncementServer(daemon.syncer, daemon.clock, daemon.part("announcements"))
	for _, server := range []struct {
		address string
		handler http.Handler
	}{
		{daemon.settings.AnnouncementAddress(), announcements},
		{daemon.settings.PeerAddress(), made.wrap(peers, peers.Refuse)},
		{daemon.settings.ClientAddress(), made.wrap(clients, clients.Refuse)},
		{daemon.settings.ReadyAddress(), http.HandlerFunc(daemon.ready)},
		{daemon.settings.MetricsAddress(), daemon.meter.Handler()},
	} {
		if err := made.add(server.address, server.handler); err != nil {
			return nil, err
		}
	}
	return made, nil
}

func (servers *servers) add(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTerm, IdleTimeout: clientIdleTerm,
	}
	servers.all, servers.listeners = append(servers.all, server), append(servers.listeners, listener)
	return nil
}

func (servers *servers) serve() {
	for index, server := range servers.all {
		go server.Serve(servers.listeners[index])
	}
}

// ready tells whether the daemon can serve.
func (daemon *daemon) ready(writer http.ResponseWriter, _ *http.Request) {
	if !daemon.syncer.IsReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}
