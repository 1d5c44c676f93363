package main

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/announcer"
	"lagoonlanding.example/lagoonlanding/adapters/invoker"
	"lagoonlanding.example/lagoonlanding/requests/prober"
)

// upstreamManager connects to the backend server beside the daemon and runs its health checks.
type upstreamManager struct {
	daemon *daemon
	mutex  sync.Mutex
	cancel context.CancelFunc
}

// connect returns a client of the announced backend server.
func (upstreammanager *upstreamManager) connect(announcement announcer.Announcement) lagoonlanding.Upstream {
	return invoker.New(invoker.Config{
		Address: announcement.Address(), Clock: upstreammanager.daemon.clock, MaxConnections: upstreammanager.maxConnections(announcement.Service()),
	})
}

// maxConnections returns the service's limit in the published set, or zero if no set is known.
func (upstreammanager *upstreamManager) maxConnections(service string) int {
	set := upstreammanager.daemon.runner.Current().Set()
	if set == nil {
		return 0
	}
	configured, _ := set.Service(service)
	return configured.Connections()
}

// onAnnouncement puts the backend server into service; it may have restarted, so it gets a slow start.
func (upstreammanager *upstreamManager) onAnnouncement(announcement announcer.Announcement) {
	upstreammanager.daemon.log.WithFields(logrus.Fields{
		componentField: "announcer", "service": announcement.Service(), "address": announcement.Address(),
	}).Info("Backend server announced itself; joining the groups of its service.")
	upstreammanager.daemon.dispatcher.OnUpstreamRestart()
	upstreammanager.daemon.runner.Announce(announcement.Service())
	upstreammanager.startProber(announcement.Service())
}

// startProber starts the health checks of the backend server and stops those of the previous one.
func (upstreammanager *upstreamManager) startProber(service string) {
	ctx, cancel := context.WithCancel(context.Background())
	upstreammanager.mutex.Lock()
	defer upstreammanager.mutex.Unlock()
	if upstreammanager.cancel != nil {
		upstreammanager.cancel()
	}
	upstreammanager.cancel = cancel
	daemon := upstreammanager.daemon
	log := daemon.log.WithField(componentField, "prober")
	prober := prober.New(prober.Config{
		Upstream: daemon.upstream, Clock: daemon.clock,
		OnDown: func() {
			log.Warn("Backend server is down or not ready; handing over its shards.")
			daemon.runner.Withdraw()
		},
		OnUp: func() {
			log.Info("Backend server is ready again.")
			daemon.dispatcher.OnUpstreamRestart()
			daemon.runner.Announce(service)
		},
	})
	daemon.running.Go(func() { prober.Run(ctx) })
}

// stop ends the health checks.
func (upstreammanager *upstreamManager) stop() {
	upstreammanager.mutex.Lock()
	defer upstreammanager.mutex.Unlock()
	if upstreammanager.cancel != nil {
		upstreammanager.cancel()
	}
}
