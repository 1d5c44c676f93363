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

// beside tends the backend server beside the daemon: it connects to it and watches it.
type beside struct {
	daemon *daemon
	mutex  sync.Mutex
	cancel context.CancelFunc
}

// connect returns the way to a backend server that has announced itself.
func (beside *beside) connect(announcement announcer.Announcement) lagoonlanding.Upstream {
	return invoker.New(invoker.Config{
		Address: announcement.Address(), Clock: beside.daemon.clock, MaxConnections: beside.connections(announcement.Service()),
	})
}

// connections returns the bound of the published set, zero while it is not known.
func (beside *beside) connections(service string) int {
	set := beside.daemon.runner.Current().Set()
	if set == nil {
		return 0
	}
	known, _ := set.Service(service)
	return known.Connections()
}

// announced takes the backend server into use; it may have started anew, so it counts as cold.
func (beside *beside) announced(announcement announcer.Announcement) {
	beside.daemon.log.WithFields(logrus.Fields{
		partField: "announcer", "service": announcement.Service(), "address": announcement.Address(),
	}).Info("The backend server has announced itself.")
	beside.daemon.dispatcher.RestartUpstream()
	beside.daemon.runner.Announce(announcement.Service())
	beside.watch(announcement.Service())
}

// watch replaces the watch over an earlier backend server.
func (beside *beside) watch(service string) {
	ctx, cancel := context.WithCancel(context.Background())
	beside.mutex.Lock()
	defer beside.mutex.Unlock()
	if beside.cancel != nil {
		beside.cancel()
	}
	beside.cancel = cancel
	daemon := beside.daemon
	log := daemon.log.WithField(partField, "prober")
	watch := prober.New(prober.Config{
		Upstream: daemon.upstream, Clock: daemon.clock,
		Gone: func() {
			log.Warn("The backend server does not take work; handing over its shards.")
			daemon.runner.Withdraw()
		},
		Back: func() {
			log.Info("The backend server takes work again.")
			daemon.dispatcher.RestartUpstream()
			daemon.runner.Announce(service)
		},
	})
	daemon.running.Go(func() { watch.Run(ctx) })
}

func (beside *beside) stop() {
	beside.mutex.Lock()
	defer beside.mutex.Unlock()
	if beside.cancel != nil {
		beside.cancel()
	}
}
