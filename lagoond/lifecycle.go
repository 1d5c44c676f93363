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

// lingerDuration is how long a daemon keeps accepting requests after the handover, for senders that have not yet learned of it.
const lingerDuration = 500 * time.Millisecond

const warningHandoverTimeout = "Shutdown timeout expired before all shards were handed over."

// start starts serving on all listeners.
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

func (daemon *daemon) serveHTTP(component string, server *http.Server, listener net.Listener) {
	daemon.running.Go(func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !daemon.stopping.Load() {
			daemon.fail(oops.In(component).Wrapf(err, "serve on %s", listener.Addr()))
		}
	})
}

// fail stops the daemon with the error; only the first error is kept.
func (daemon *daemon) fail(err error) {
	select {
	case daemon.fatal <- err:
	default:
	}
}

// stop hands over all shards, waits for requests in progress and closes the servers, all within the shutdown timeout.
func (daemon *daemon) stop(log *logrus.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), daemon.settings.ShutdownTimeout())
	defer cancel()
	log.Info("Shutting down; handing over all shards.")
	daemon.stopping.Store(true)
	daemon.runner.Leave(ctx)
	if ctx.Err() != nil {
		log.Warn(warningHandoverTimeout)
	}
	select {
	case <-daemon.clock.Until(daemon.clock.Now().Add(lingerDuration)):
	case <-ctx.Done():
	}
	daemon.close(ctx, log)
}

// close waits for requests in progress until ctx is done and then closes the servers.
func (daemon *daemon) close(ctx context.Context, log *logrus.Entry) {
	_ = daemon.listeners.caller.Close()
	if err := daemon.connections.awaitIdle(ctx); err != nil {
		log.WithError(err).Warn("Shutdown timeout expired; callers' requests were aborted.")
	}
	_ = daemon.callers.Close()
	if err := daemon.peers.Shutdown(ctx); err != nil {
		log.WithError(err).Warn("Shutdown timeout expired; forwarded requests were aborted.")
	}
	daemon.upstreamManager.stop()
	_ = daemon.local.Close()
	_ = daemon.admin.Close()
	daemon.messenger.Close()
}
