package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/announcer"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/adapters/loader"
	"lagoonlanding.example/lagoonlanding/adapters/messenger"
	"lagoonlanding.example/lagoonlanding/adapters/receiver"
	"lagoonlanding.example/lagoonlanding/adapters/reporter"
	"lagoonlanding.example/lagoonlanding/operations/administrator"
	"lagoonlanding.example/lagoonlanding/ownership/controller"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
	"lagoonlanding.example/lagoonlanding/requests/deduplicator"
	"lagoonlanding.example/lagoonlanding/requests/dispatcher"
	"lagoonlanding.example/lagoonlanding/requests/picker"
	"lagoonlanding.example/lagoonlanding/requests/router"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

// daemon holds the components of the process.
type daemon struct {
	settings   loader.Settings
	log        *logrus.Logger
	clock      lagoonlanding.Clock
	store      lagoonlanding.Store
	listeners  listeners
	runner     *controller.Runner
	dispatcher *dispatcher.Dispatcher
	messenger  *messenger.Messenger
	traffic    *messenger.Traffic
	reporter   *reporter.Reporter
	// peers serves other daemons.
	peers   *messenger.Server
	callers *http.Server
	// local serves the backend server beside the daemon.
	local *http.Server
	// admin serves operators and metrics.
	admin           *http.Server
	upstream        *announcer.Upstream
	upstreamManager *upstreamManager
	// fatal receives the error that stops the daemon.
	fatal chan error
	// drainRequested is closed when an operator requests a drain.
	drainRequested chan struct{}
	drainOnce      sync.Once
	stopping       atomic.Bool
	// connections are the callers' connections.
	connections *connections
	running     sync.WaitGroup
}

// peerHandler serves other daemons; the control thread and the traffic path each implement a part of the interfaces.
type peerHandler struct {
	*controller.Runner
	*dispatcher.Dispatcher
}

var (
	_ lagoonlanding.PeerHandler    = peerHandler{}
	_ lagoonlanding.SuspectHandler = peerHandler{}
)

// lateSnapshots breaks the dependency cycle: the dispatcher and the reporter are created before the runner whose snapshots they read.
type lateSnapshots struct{ runner *controller.Runner }

func (latesnapshots *lateSnapshots) Current() *router.Snapshot { return latesnapshots.runner.Current() }

func (latesnapshots *lateSnapshots) Changed() <-chan struct{} { return latesnapshots.runner.Changed() }

func newDaemon(settings loader.Settings, store lagoonlanding.Store, log *logrus.Logger) (*daemon, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	opened, err := listen(settings)
	if err != nil {
		return nil, err
	}
	daemon := &daemon{
		settings: settings, log: log, clock: timekeeper.Clock{}, listeners: opened, fatal: make(chan error, 1),
		drainRequested: make(chan struct{}), connections: newConnections(),
		store: store, upstream: announcer.NewUpstream(), traffic: &messenger.Traffic{},
	}
	daemon.buildControl(lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID:               lagoonlanding.NewInstanceID(settings.Name(), incarnation),
		PeerAddress:      settings.PeerAddress(),
		CallerAddress:    settings.CallerAddress(),
		AvailabilityZone: settings.AvailabilityZone(),
		Region:           settings.Region(),
	}))
	if err := daemon.buildServers(); err != nil {
		opened.close()
		return nil, err
	}
	return daemon, nil
}

// newIncarnation returns a random non-zero number that distinguishes this process from all others.
func newIncarnation() (uint64, error) {
	var data [8]byte
	if _, err := rand.Read(data[:]); err != nil {
		return 0, oops.In("lagoond").Wrapf(err, "generate the incarnation")
	}
	return binary.BigEndian.Uint64(data[:]) | 1, nil
}

// buildControl creates the control thread, the traffic path and the client and server for other daemons.
func (daemon *daemon) buildControl(self lagoonlanding.Instance) {
	daemon.messenger = messenger.New(messenger.Config{
		Clock: daemon.clock, MaxConnections: daemon.settings.PeerConnections(), Traffic: daemon.traffic,
	})
	latesnapshots := &lateSnapshots{}
	failurelog := &failureLog{log: daemon.log.WithField(componentField, "controller")}
	daemon.reporter = reporter.New(reporter.Config{
		Snapshots: latesnapshots, OnError: failurelog.record,
		UpstreamLoad: func() (limit, inFlight, waiting int) { return daemon.dispatcher.UpstreamLoad() },
	})
	daemon.dispatcher = dispatcher.New(dispatcher.Config{
		Snapshots: latesnapshots, Clock: daemon.clock, Peers: daemon.messenger, Upstream: daemon.upstream,
		Ledger: deduplicator.NewLedger(deduplicator.Config{}), OnRetry: daemon.reporter.Retried,
		Link: daemon.newLinkBudget(),
	})
	daemon.runner = controller.NewRunner(controller.RunnerConfig{
		Controller: controller.New(controller.Config{
			Self: self, Now: daemon.clock.Now(), Placer: placer.NewRendezvous(),
			Records: encoder.Records{}, Sets: encoder.Sets{}, Differences: encoder.Sets{}, Loads: daemon.dispatcher.Loads,
		}),
		Clock: daemon.clock, Store: daemon.store,
		Peers: daemon.messenger, Traffic: daemon.dispatcher, OnError: failurelog.record,
		OnWrite: logWrittenLayout(daemon.log.WithField(componentField, "controller")),
	})
	latesnapshots.runner = daemon.runner
	daemon.peers = messenger.NewServer(messenger.ServerConfig{
		Handler: peerHandler{Runner: daemon.runner, Dispatcher: daemon.dispatcher},
		Clock:   daemon.clock, Log: daemon.log.WithField(componentField, "messenger"), Traffic: daemon.traffic,
	})
}

// newLinkBudget returns the byte budget for traffic between regions, or nil if it is not limited.
func (daemon *daemon) newLinkBudget() *picker.LinkBudget {
	rate := daemon.settings.RegionLinkBytesPerSecond()
	if rate == 0 {
		return nil
	}
	return picker.NewLinkBudget(picker.LinkBudgetConfig{BytesPerSecond: rate, Burst: rate})
}

const (
	// headerTimeout limits the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a request header.
	maxHeaderBytes = 64 << 10
)

// buildServers creates the HTTP servers for callers, the backend server and operators.
func (daemon *daemon) buildServers() error {
	callers := receiver.New(receiver.Config{
		Snapshots: daemon.runner, Handler: daemon.dispatcher, Clock: daemon.clock, Meter: daemon.reporter,
		BodyLimit: daemon.settings.BodyLimit(),
	})
	daemon.callers = newServer(daemon.closeWhileStopping(callers))
	daemon.callers.ConnState = daemon.connections.onStateChange
	daemon.upstreamManager = &upstreamManager{daemon: daemon}
	daemon.local = newServer(announcer.New(announcer.Config{
		Upstream: daemon.upstream, Connect: daemon.upstreamManager.connect, OnAnnouncement: daemon.upstreamManager.onAnnouncement,
	}).Handler())
	operators, err := daemon.newAdministrator()
	if err != nil {
		return oops.In("administrator").Wrapf(err, "create the operators' API")
	}
	admin := http.NewServeMux()
	admin.Handle("GET /metrics", daemon.reporter.Handler())
	admin.Handle("/", operators.Handler())
	daemon.admin = newServer(admin)
	return nil
}

func (daemon *daemon) newAdministrator() (*administrator.Administrator, error) {
	return administrator.New(administrator.Config{
		Address: daemon.settings.AdminAddress(), KeyFile: daemon.settings.AdminKeyFile(), Store: daemon.store,
		Records: encoder.Records{}, Sets: encoder.Sets{}, Placer: placer.NewRendezvous(), Peers: daemon.messenger,
		Clock: daemon.clock, Snapshots: daemon.runner, Status: daemon.runner.Status, Drain: daemon.drain,
		Log: daemon.log.WithField(componentField, "administrator"),
	})
}

// drain starts a planned shutdown at the request of an operator.
func (daemon *daemon) drain() { daemon.drainOnce.Do(func() { close(daemon.drainRequested) }) }

// closeWhileStopping closes each connection after its next response while the daemon shuts down.
//
// Closing idle connections immediately would lose requests that clients are sending over them.
func (daemon *daemon) closeWhileStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		if daemon.stopping.Load() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, message)
	})
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// run serves until ctx is cancelled, a drain is requested or a listener fails; it then hands over all shards and returns.
func (daemon *daemon) run(ctx context.Context) error {
	control, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	daemon.running.Go(func() { daemon.runner.Run(control) })
	daemon.running.Go(func() { daemon.dispatcher.Run(control) })
	daemon.running.Go(func() { daemon.reporter.Run(control, daemon.traffic) })
	daemon.start()
	log := daemon.log.WithField(componentField, "lagoond")
	log.WithFields(logrus.Fields{
		"name": daemon.settings.Name(), "callers": daemon.settings.CallerListenAddress(), "peers": daemon.settings.PeerListenAddress(),
	}).Info("Started; waiting for the store and the backend server.")
	var err error
	select {
	case <-ctx.Done():
	case <-daemon.drainRequested:
	case err = <-daemon.fatal:
	}
	daemon.stop(log)
	stopControl()
	daemon.running.Wait()
	if closeErr := daemon.reporter.Close(); closeErr != nil {
		log.WithError(closeErr).Warn("Failed to close the metrics; the last values may be missing.")
	}
	log.Info("Stopped.")
	return err
}
