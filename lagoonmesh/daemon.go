package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/acceptor"
	"lagoonlanding.example/lagoonlanding/mesh/caller"
	"lagoonlanding.example/lagoonlanding/mesh/carrier"
	"lagoonlanding.example/lagoonlanding/mesh/chooser"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
	"lagoonlanding.example/lagoonlanding/mesh/forwarder"
	"lagoonlanding.example/lagoonlanding/mesh/gatekeeper"
	"lagoonlanding.example/lagoonlanding/mesh/grantor"
	"lagoonlanding.example/lagoonlanding/mesh/recorder"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
	"lagoonlanding.example/lagoonlanding/mesh/relayer"
	"lagoonlanding.example/lagoonlanding/mesh/syncer"
	"lagoonlanding.example/lagoonlanding/platform"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

// daemon is the router's process beside one backend server.
type daemon struct {
	settings    platform.Settings
	path        string
	log         *logrus.Logger
	clock       timekeeper.BootClock
	pool        *caller.Pool
	coordinator *coordinator.Coordinator
	syncer      *syncer.Syncer
	acceptor    *acceptor.Acceptor
	chooser     *chooser.Chooser
	forwarder   *forwarder.Forwarder
	meter       *recorder.Recorder
	quarantine  *quarantiner.Quarantine
	fleet       *relayer.Journal
	orders      *relayer.Journal
}

func newDaemon(settings platform.Settings, path string, log *logrus.Logger, droppedLines func() uint64) *daemon {
	daemon := &daemon{settings: settings, path: path, log: log}
	daemon.fleet, daemon.orders = relayer.NewJournal(coordinator.FleetPrefix), relayer.NewJournal(platform.DirectivePrefix)
	daemon.pool = caller.NewPool(caller.Config{DialTerm: dialTerm, IdleTerm: idleTerm, SilenceTerm: silenceTerm, MaxIdle: maxIdle})
	gate := gatekeeper.NewGate(gatekeeper.Config{Clock: daemon.clock, MaxWaiting: maxWaiting})
	daemon.meter = recorder.New(recorder.Config{
		Load: gate.Load, DroppedLines: droppedLines,
		OnError: func(err error) { daemon.part("metrics").WithError(err).Warn("Metric is not served.") },
	})
	daemon.quarantine = quarantiner.NewQuarantine(quarantiner.Config{Random: newRandom()})
	daemon.buildControl(gate)
	daemon.buildTraffic(gate)
	return daemon
}

// part returns the log of one part of the daemon.
func (daemon *daemon) part(name string) *logrus.Entry {
	return daemon.log.WithField("part", name)
}

func (daemon *daemon) self() lagoonlanding.Backend {
	return lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
		ID: lagoonlanding.NewBackendID(daemon.settings.Daemon(), "", 0), PeerAddress: daemon.settings.AdvertisedPeerAddress(),
		AvailabilityZone: daemon.settings.AvailabilityZone(), Region: daemon.settings.Region(), Service: daemon.settings.Service(),
		State: lagoonlanding.BackendAbsent,
	})
}

func (daemon *daemon) buildControl(gate *gatekeeper.Gate) {
	peers := carrier.NewPeers(daemon.pool)
	daemon.coordinator = coordinator.New(daemon.clock.Now(), coordinator.Config{
		Self:  daemon.self(),
		Fleet: registrar.NewFleet(registrar.Config{GrantTerm: grantTerm, Margin: grantMargin}),
		Grantor: grantor.New(grantor.Config{
			Daemon: daemon.settings.Daemon(), GrantTerm: grantTerm, LongestHold: min(longestHold, daemon.settings.LongestHold(longestHold)),
			SlowClock: slowClock, SilentAfter: silentAfter,
		}),
		Gate: gate, DrainTerm: daemon.settings.DrainTerm(0) / drainPart, EvacuateTerm: daemon.settings.EvacuateTerm(0) / evacuatePart,
		Quarantine: daemon.quarantine, Log: daemon.part("control"),
	})
	daemon.syncer = syncer.New(syncer.Config{
		Coordinator: daemon.coordinator,
		Store:       platform.NewStore(platform.StoreConfig{Pool: daemon.pool, Address: daemon.settings.StoreAddress(), WatchTerm: daemon.watchTerm()}),
		Daemon:      daemon.settings.Daemon(), AvailabilityZone: daemon.settings.AvailabilityZone(), FirstStart: daemon.settings.IsFirstStart(),
		Peers: peers, Stores: peers, Fleet: daemon.fleet, Orders: daemon.orders,
		Directives: platform.DirectiveCodec{}, Clock: daemon.clock, Log: daemon.part("store"),
	})
}

func (daemon *daemon) buildTraffic(gate *gatekeeper.Gate) {
	daemon.acceptor = acceptor.New(acceptor.Config{
		Service: daemon.settings.Service(), Address: daemon.settings.BackendAddress(), Gate: gate,
		Runner:  platform.NewUpstream(daemon.pool, daemon.clock, daemon.part("upstream")),
		Holding: daemon.coordinator.Holding, OnLost: daemon.syncer.Lost, Quarantine: daemon.quarantine, OnCrash: daemon.syncer.Crashed,
		Clock: daemon.clock, Log: daemon.part("backend"),
	})
	daemon.chooser = chooser.New(chooser.Config{
		AvailabilityZone: daemon.settings.AvailabilityZone(), Region: daemon.settings.Region(), ZoneCost: zoneCost, RegionCost: regionCost,
		QueueHalfLife: queueHalfLife, RunTimeHalfLife: speedHalfLife, AvoidTerm: avoidTerm, Random: newRandom(),
	})
	daemon.forwarder = forwarder.New(forwarder.Config{
		Daemon: daemon.settings.Daemon(), Service: daemon.settings.Service(), Local: daemon.acceptor,
		Sender:  carrier.New(carrier.Config{Pool: daemon.pool, Clock: daemon.clock, Log: daemon.part("peers")}),
		Chooser: daemon.chooser,
		Budgets: forwarder.NewBudgets(forwarder.BudgetsConfig{
			Share: retryPart * daemon.settings.RetryShare(defaultRetryShare), Slack: retryPart * daemon.settings.RetrySlack(0),
			Daemons: func() int { return len(daemon.coordinator.Snapshot().Peers()) },
		}),
		Snapshot: daemon.coordinator.Snapshot, Meter: daemon.meter, Clock: daemon.clock, Log: daemon.part("requests"), RandomFloat64: rand.Float64,
	})
}

// watchTerm returns how long a watch of the store waits: one that hears nothing must go on before the store drops its revision.
func (daemon *daemon) watchTerm() time.Duration {
	history := daemon.settings.StoreHistory()
	if history <= 0 {
		return longestWatch
	}
	return min(longestWatch, time.Duration(watchPart*float64(history)))
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// run serves until ctx ends and every request is answered.
func (daemon *daemon) run(ctx context.Context) error {
	servers, err := daemon.listen()
	if err != nil {
		return oops.Wrap(err)
	}
	daemon.part("daemon").WithField("daemon", daemon.settings.Daemon()).WithField("zone", daemon.settings.AvailabilityZone()).
		WithField("service", daemon.settings.Service()).Info("Daemon starts.")
	background, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { daemon.syncer.Run(background) })
	parts.Go(func() { daemon.reload(background) })
	parts.Go(func() { daemon.sweep(background) })
	servers.serve()
	<-ctx.Done()
	daemon.part("daemon").Info("Daemon stops.")
	daemon.syncer.Stop()
	servers.drain(time.Now().Add(daemon.settings.Grace(defaultGrace)))
	cancel()
	parts.Wait()
	daemon.part("daemon").Info("Daemon has stopped.")
	return nil
}

// reload checks the settings file again at each hangup signal.
func (daemon *daemon) reload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := platform.LoadSettings(daemon.path); err != nil {
			daemon.part("daemon").WithError(err).Warn("Changed settings are not valid and are ignored.")
			continue
		}
		daemon.part("daemon").Info("Settings were read again. Addresses take effect at the next start.")
	}
}

// sweep closes connections that nobody uses, and forgets daemons that are gone.
func (daemon *daemon) sweep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepInterval):
			daemon.pool.Sweep(time.Now())
			daemon.chooser.Forget(daemon.coordinator.Snapshot().Has)
		}
	}
}
