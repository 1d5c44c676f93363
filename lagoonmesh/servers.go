package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/receiver"
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

// servers are the daemon's servers with their listeners.
type servers struct {
	starts []func()
}

func (daemon *daemon) listen() (*servers, error) {
	started := &servers{}
	clients := platform.NewClientServer(platform.ClientServerConfig{
		Handler: daemon.forwarder, Routing: daemon.routing, Shutdown: daemon.drain, Clock: daemon.clock, Log: daemon.logFor("clients"),
	})
	peers := transmitter.NewServer(transmitter.ServerConfig{
		Handler: peerTasks{acceptor: daemon.acceptor, forwarder: daemon.forwarder}, Clock: daemon.clock, Log: daemon.logFor("peers"), Store: daemon.syncer.ProxyStore(), Quota: daemon.distributor,
		Feeds: map[string]lagoonlanding.PeerFeed{daemon.fleet.Prefix(): daemon.fleet, daemon.directives.Prefix(): daemon.directives},
	})
	announcements := platform.NewAnnouncementServer(daemon.syncer, daemon.clock, daemon.logFor("announcements"))
	for _, traffic := range []struct {
		address string
		config  receiver.Config
	}{
		{daemon.settings.PeerAddress(), receiver.Config{Handler: peers, Refuse: peers.Refuse, AllowsFrames: true, Log: daemon.logFor("peers")}},
		{daemon.settings.ClientAddress(), receiver.Config{
			Handler: clients, Refuse: clients.Refuse, Overlaps: clients.Overlaps, Log: daemon.logFor("clients"),
		}},
	} {
		traffic.config.Drain, traffic.config.Meter = daemon.drain, daemon.recorder
		traffic.config.Memory = daemon.memory
		traffic.config.HeaderTimeout, traffic.config.IdleTimeout, traffic.config.MaxHeaderBytes = headerTimeout, clientIdleTimeout, maxHeaderBytes
		if err := started.add(traffic.address, receiver.New(traffic.config).Serve); err != nil {
			return nil, err
		}
	}
	for _, control := range []struct {
		address string
		handler http.Handler
	}{
		{daemon.settings.AnnouncementAddress(), announcements},
		{daemon.settings.ReadyAddress(), http.HandlerFunc(daemon.handleReady)},
		{daemon.settings.MetricsAddress(), daemon.recorder.Handler()},
	} {
		server := &http.Server{
			Handler: control.handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdleTimeout,
		}
		serve := func(listener net.Listener) {
			if err := server.Serve(listener); err != nil {
				daemon.logFor("daemon").WithField("address", control.address).WithError(err).Error("A control server has stopped.")
			}
		}
		if err := started.add(control.address, serve); err != nil {
			return nil, err
		}
	}
	return started, nil
}

func (servers *servers) add(address string, serve func(listener net.Listener)) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	servers.starts = append(servers.starts, func() { serve(listener) })
	return nil
}

func (servers *servers) serve() {
	for _, start := range servers.starts {
		go start()
	}
}

// handleReady responds with status 503 unless the daemon is ready to serve.
func (daemon *daemon) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if !daemon.syncer.IsReady() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}
