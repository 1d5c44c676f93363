package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/acceptor"
	"lagoonlanding.example/lagoonlanding/mesh/admitter"
	"lagoonlanding.example/lagoonlanding/mesh/assigner"
	"lagoonlanding.example/lagoonlanding/mesh/biller"
	"lagoonlanding.example/lagoonlanding/mesh/budgeter"
	"lagoonlanding.example/lagoonlanding/mesh/chooser"
	"lagoonlanding.example/lagoonlanding/mesh/connector"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
	"lagoonlanding.example/lagoonlanding/mesh/distributor"
	"lagoonlanding.example/lagoonlanding/mesh/drainer"
	"lagoonlanding.example/lagoonlanding/mesh/forwarder"
	"lagoonlanding.example/lagoonlanding/mesh/gatekeeper"
	"lagoonlanding.example/lagoonlanding/mesh/recorder"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
	"lagoonlanding.example/lagoonlanding/mesh/relayer"
	"lagoonlanding.example/lagoonlanding/mesh/syncer"
	"lagoonlanding.example/lagoonlanding/mesh/throttler"
	"lagoonlanding.example/lagoonlanding/mesh/transmitter"
	"lagoonlanding.example/lagoonlanding/platform"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
	"lagoonlanding.example/lagoonlanding/runtime/timekeeper"
)

// daemon is the router process beside one backend server.
type daemon struct {
	settings     platform.Settings
	settingsPath string
	log          *logrus.Logger
	clock        timekeeper.BootClock
	// control holds the connections to the store and those to other daemons for control calls.
	control *connector.Pool
	// backend holds the connections to the backend server.
	backend *connector.Pool
	// pool holds the connections to daemons without compact heads.
	pool *connector.Pool
	// framed holds the connections with compact heads to other daemons.
	framed      *connector.Pool
	coordinator *coordinator.Coordinator
	syncer      *syncer.Syncer
	acceptor    *acceptor.Acceptor
	chooser     *chooser.Chooser
	// admission holds the admission levels of other daemons, nil without overload control.
	admission   *admitter.Table
	biller      *biller.Biller
	forwarder   *forwarder.Forwarder
	recorder    *recorder.Recorder
	quarantine  *quarantiner.Quarantine
	drain       *drainer.Drain
	memory      *budgeter.Budget
	serverBytes *budgeter.ServerBytes
	fleet       *relayer.Journal
	directives  *relayer.Journal
	throttler   *throttler.Throttler
	distributor *distributor.Distributor

	// nextCrossingLog is the time in Unix nanoseconds from which a choice of another region is logged again.
	nextCrossingLog atomic.Int64
}

func newDaemon(settings platform.Settings, settingsPath string, log *logrus.Logger, droppedLines func() uint64) *daemon {
	daemon := &daemon{settings: settings, settingsPath: settingsPath, log: log}
	daemon.drain = drainer.New(drainer.Config{Clock: daemon.clock})
	daemon.memory, daemon.serverBytes = daemon.newBudget(), daemon.newServerBytes()
	daemon.fleet, daemon.directives = relayer.NewJournal(coordinator.FleetPrefix), relayer.NewJournal(platform.DirectivePrefix)
	poolConfig := connector.Config{DialTimeout: dialTimeout, IdleTimeout: idleTimeout, SilenceTimeout: silenceTimeout, MaxIdle: maxIdleConnections}
	poolConfig.Memory = daemon.memory
	poolConfig.OnEnd = func(address string, sent, received int) { daemon.countBytes(kindTask, address, sent, received) }
	poolConfig.OnSilence = daemon.recordSilence
	daemon.pool = connector.NewPool(poolConfig)
	backendConfig := poolConfig
	backendConfig.Matches = platform.Answers
	daemon.backend = connector.NewPool(backendConfig)
	framedConfig := poolConfig
	framedConfig.Framed = true
	daemon.framed = connector.NewPool(framedConfig)
	controlConfig := poolConfig
	controlConfig.SilenceTimeout, controlConfig.SilenceProbes, controlConfig.RespondsPromptly = controlSilenceTimeout, controlSilenceProbes, true
	controlConfig.OnEnd = func(address string, sent, received int) { daemon.countBytes(kindControl, address, sent, received) }
	daemon.control = connector.NewPool(controlConfig)
	gate := gatekeeper.NewGate(gatekeeper.Config{Clock: daemon.clock, MaxWaiting: maxWaitingTasks, MaxFirst: maxFirstTasks, OverloadControl: settings.HasOverloadControl(), OnCut: daemon.recordCut})
	if settings.HasOverloadControl() {
		daemon.admission = admitter.NewTable(rand.Float64)
	}
	daemon.recorder = recorder.New(recorder.Config{
		Load: gate.Load, Admission: gate.AdmissionCounts, DroppedLines: droppedLines, Memory: daemon.memoryReport,
		OnError: func(err error) { daemon.logFor("metrics").WithError(err).Warn("Cannot register metric.") },
	})
	daemon.quarantine = quarantiner.NewQuarantine(quarantiner.Config{Random: newRandom()})
	daemon.buildControl(gate)
	daemon.buildQuota()
	daemon.buildTraffic(gate)
	return daemon
}

// recordSilence records a connection that delivered nothing to a request that was sent at the given time.
func (daemon *daemon) recordSilence(address string, sent time.Time) {
	daemon.recorder.Silent()
	daemon.logFor("connections").WithField("address", address).WithField("waited", time.Since(sent).String()).Info("Connection went silent.")
}

// recordCut records that fewer tasks may run at once at the backend server.
func (daemon *daemon) recordCut(cause string, previous, current int, slowdown float64) {
	daemon.logFor("backend").WithField("cause", cause).WithField("previous-slots", previous).WithField("slots", current).
		WithField("slowdown", slowdown).Info("Fewer tasks may run at the backend server.")
}

// logFor returns the log of one component of the daemon.
func (daemon *daemon) logFor(name string) *logrus.Entry {
	return daemon.log.WithField("part", name)
}

func (daemon *daemon) self() lagoonlanding.Backend {
	return lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
		ID: lagoonlanding.NewBackendID(daemon.settings.Daemon(), "", 0), PeerAddress: daemon.settings.AdvertisedPeerAddress(),
		AvailabilityZone: daemon.settings.AvailabilityZone(), Region: daemon.settings.Region(), Service: daemon.settings.Service(),
		State: lagoonlanding.BackendAbsent, AcceptsFrames: true,
	})
}

func (daemon *daemon) buildControl(gate *gatekeeper.Gate) {
	daemon.chooser = chooser.New(chooser.Config{
		AvailabilityZone: daemon.settings.AvailabilityZone(), Region: daemon.settings.Region(), ZoneCost: zoneCost, RegionCost: regionCost,
		QueueHalfLife: queueHalfLife, RunTimeHalfLife: runTimeHalfLife, AvoidTerm: avoidTerm, Random: newRandom(),
		Samples: daemon.settings.HasOverloadControl(), OnPick: daemon.recordChoice,
	})
	peers := transmitter.NewPeers(daemon.control)
	daemon.coordinator = coordinator.New(daemon.clock.Now(), coordinator.Config{
		Self:  daemon.self(),
		Fleet: registrar.NewFleet(registrar.Config{VerificationTerm: verificationTerm, Margin: expiryMargin}),
		Assigner: assigner.New(assigner.Config{
			Daemon: daemon.settings.Daemon(), StartedAt: daemon.clock.Now(), VerificationTerm: verificationTerm, MaxAssignmentTerm: min(maxAssignmentTerm, daemon.settings.MaxAssignmentTerm(maxAssignmentTerm)),
			MaxClockDrift: maxClockDrift, FailAfter: announcementTimeout,
		}),
		Gate: gate, Demand: gate, Reports: daemon.loadReports(), DrainTerm: daemon.settings.DrainTerm(0) / drainDivisor, EvacuateTerm: daemon.settings.EvacuateTerm(0) / evacuateDivisor,
		Quarantine: daemon.quarantine, Log: daemon.logFor("control"),
	})
	daemon.syncer = syncer.New(syncer.Config{
		Coordinator: daemon.coordinator,
		Store: platform.NewStore(platform.StoreConfig{
			Pool: daemon.control, Address: daemon.settings.StoreAddress(), WatchTerm: daemon.watchTerm(), Meter: daemon.recorder, Log: daemon.logFor("store"),
			OnEra: daemon.beginEra,
		}),
		Daemon: daemon.settings.Daemon(), AvailabilityZone: daemon.settings.AvailabilityZone(), FirstStart: daemon.settings.IsFirstStart(),
		Peers: peers, Stores: peers, FleetJournal: daemon.fleet, DirectiveJournal: daemon.directives,
		Directives: platform.DirectiveCodec{}, Clock: daemon.clock, Log: daemon.logFor("store"),
	})
}

func (daemon *daemon) buildTraffic(gate *gatekeeper.Gate) {
	daemon.acceptor = acceptor.New(acceptor.Config{
		Service: daemon.settings.Service(), Address: daemon.settings.BackendAddress(), Gate: gate,
		Runner:    platform.NewUpstream(daemon.backend, daemon.clock, daemon.logFor("upstream")).WithRouting(daemon.routing),
		Ownership: daemon.coordinator.Ownership, OnProcessEnded: daemon.syncer.ProcessEnded, OnLeaving: daemon.syncer.BackendLeaving,
		Quarantine: daemon.quarantine, OnCrashRecorded: daemon.syncer.CrashRecorded,
		ServerBytes: daemon.serverBytes,
		Shutdown:    daemon.drain, Clock: daemon.clock, Log: daemon.logFor("backend"),
	})
	daemon.biller = daemon.newBiller(transmitter.New(transmitter.Config{Pool: daemon.pool, Framed: daemon.framed, Clock: daemon.clock, Log: daemon.logFor("peers")}))
	daemon.forwarder = forwarder.New(forwarder.Config{
		Daemon: daemon.settings.Daemon(), Service: daemon.settings.Service(), Region: daemon.settings.Region(), Local: daemon.acceptor,
		Sender: daemon.biller, Chooser: daemon.chooser,
		Budgets: forwarder.NewBudgets(forwarder.BudgetsConfig{
			Share: retryBudgetShare * daemon.settings.RetryBudgetRatio(defaultRetryBudgetRatio), Slack: retryBudgetShare * daemon.settings.RetryBudgetSlack(0),
			Daemons: func() int { return len(daemon.coordinator.Snapshot().Peers()) },
		}),
		Quota: daemon.distributor, SetWorkspace: platform.SetWorkspace,
		Snapshot: daemon.coordinator.Snapshot, Meter: daemon.recorder, Shutdown: daemon.drain, Clock: daemon.clock, Log: daemon.logFor("requests"), RandomFloat64: rand.Float64,
		Admission: daemon.admission, Returns: admitter.NewReturns(), AdmissionMeter: daemon.recorder,
	})
}

// watchTerm returns how long a watch of the store waits: a watch without changes must be renewed before the store compacts its revision.
func (daemon *daemon) watchTerm() time.Duration {
	history := daemon.settings.StoreHistory()
	if history <= 0 {
		return maxWatchTerm
	}
	return min(maxWatchTerm, time.Duration(watchHistoryShare*float64(history)))
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// run serves until ctx is done and the requests in progress have been answered.
func (daemon *daemon) run(ctx context.Context) error {
	servers, err := daemon.listen()
	if err != nil {
		return oops.Wrap(err)
	}
	daemon.logFor("daemon").WithField("daemon", daemon.settings.Daemon()).WithField("zone", daemon.settings.AvailabilityZone()).
		WithField("service", daemon.settings.Service()).Info("Daemon is starting.")
	background, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	workers.Go(func() { daemon.syncer.Run(background) })
	workers.Go(func() { daemon.reload(background) })
	workers.Go(func() { daemon.distributor.Run(background) })
	workers.Go(func() { daemon.sweep(background) })
	servers.serve()
	<-ctx.Done()
	timeout := daemon.settings.ShutdownTimeout(defaultShutdownTimeout)
	answerBy := daemon.drain.Stop(daemon.clock.Now().Add(timeout))
	daemon.syncer.Stop(answerBy)
	daemon.logFor("daemon").WithField("timeout", timeout.String()).Info("Daemon is shutting down.")
	unanswered := daemon.drain.Wait()
	cancel()
	workers.Wait()
	daemon.logFor("daemon").WithField("unanswered", unanswered).Info("Daemon stopped.")
	return nil
}

// reload validates the settings file on each SIGHUP.
func (daemon *daemon) reload(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		if _, err := platform.LoadSettings(daemon.settingsPath); err != nil {
			daemon.logFor("daemon").WithError(err).Warn("Settings file is invalid; changes are ignored.")
			continue
		}
		daemon.logFor("daemon").Info("Settings file is valid; changes take effect after a restart.")
	}
}

// sweep periodically closes expired idle connections and removes the stats of daemons that have left the fleet.
func (daemon *daemon) sweep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepInterval):
			daemon.control.Sweep(time.Now())
			daemon.backend.Sweep(time.Now())
			daemon.pool.Sweep(time.Now())
			daemon.framed.Sweep(time.Now())
			daemon.chooser.Forget(daemon.coordinator.Snapshot().Has)
			if daemon.admission != nil {
				daemon.admission.Forget(daemon.coordinator.Snapshot().Has)
			}
			daemon.recordBalance(daemon.coordinator.Snapshot())
		}
	}
}
