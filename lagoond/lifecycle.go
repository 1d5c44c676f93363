package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// lingerTerm is how long a daemon that has handed over still takes requests from those who have not heard of it.
const lingerTerm = 500 * time.Millisecond

const warningLate = "The shards could not be handed over in time."

// start opens all front ends.
func (daemon *daemon) start() {
	daemon.serveHTTP("receiver", daemon.callers, daemon.listeners.caller)
	daemon.serveHTTP("announcer", daemon.local, daemon.listeners.local)
	daemon.serveHTTP("administrator", daemon.admin, daemon.listeners.admin)
	daemon.running.Go(func() {
		if err := daemon.peers.Serve(daemon.listeners.peer); err != nil {
			daemon.fail(oops.In("messenger").Wrapf(err, "serve peers"))
		}
	})
}

func (daemon *daemon) serveHTTP(part string, server *http.Server, listener net.Listener) {
	daemon.running.Go(func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !daemon.closing.Load() {
			daemon.fail(oops.In(part).Wrapf(err, "serve at %s", listener.Addr()))
		}
	})
}

// fail ends the daemon; only the first reason counts.
func (daemon *daemon) fail(err error) {
	select {
	case daemon.failed <- err:
	default:
	}
}

// stop hands the shards over, lets every request end and closes the front ends.
func (daemon *daemon) stop(log *logrus.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), daemon.settings.ShutdownTimeout())
	defer cancel()
	log.Info("Stopping; handing over all shards.")
	daemon.closing.Store(true)
	daemon.runner.Leave(ctx)
	if ctx.Err() != nil {
		log.Warn(warningLate)
	}
	select {
	case <-daemon.clock.Until(daemon.clock.Now().Add(lingerTerm)):
	case <-ctx.Done():
	}
	daemon.close(ctx, log)
}

func (daemon *daemon) close(ctx context.Context, log *logrus.Entry) {
	_ = daemon.listeners.caller.Close()
	if err := daemon.connections.awaitQuiet(ctx); err != nil {
		log.WithError(err).Warn("Callers' requests were cut.")
	}
	_ = daemon.callers.Close()
	if err := daemon.peers.Shutdown(ctx); err != nil {
		log.WithError(err).Warn("Forwarded requests were cut.")
	}
	daemon.beside.stop()
	_ = daemon.local.Close()
	_ = daemon.admin.Close()
	daemon.messenger.Close()
}
