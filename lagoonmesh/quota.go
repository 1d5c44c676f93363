package main

import (
	"context"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/apportioner"
	"lagoonlanding.example/lagoonlanding/mesh/distributor"
	"lagoonlanding.example/lagoonlanding/mesh/throttler"
	"lagoonlanding.example/lagoonlanding/mesh/transmitter"
)

const (
	// daemonQuotaTerm is how long a daemon may use its share of a quota after its last answered report: three reports may be lost.
	daemonQuotaTerm = 1600 * time.Millisecond
	// zoneQuotaTerm is that time for a zone: a daemon's lease ends within that of its zone.
	zoneQuotaTerm = 2 * time.Second
	// arbiterVoteTerm is how long a daemon supports no other arbiter: a stamp is up to 2 s old until the next one replaces it.
	arbiterVoteTerm = 2600 * time.Millisecond
	// quotaMargin exceeds the time after which a report counts as lost.
	quotaMargin = 400 * time.Millisecond
)

// routing returns the configuration in force, nil before the first.
func (daemon *daemon) routing() *lagoonlanding.Routing {
	return daemon.coordinator.Snapshot().Routing()
}

func (daemon *daemon) buildQuota() {
	rules := daemon.settings.QuotaRules()
	daemon.throttler = throttler.New(throttler.Config{
		Rules: rules, StartedAt: daemon.clock.Now(), Daemons: func() int { return len(daemon.coordinator.Snapshot().Peers()) }, Meter: daemon.recorder,
	})
	daemon.distributor = distributor.New(distributor.Config{
		Daemon: daemon.settings.Daemon(), Instance: rand.Uint64(), Zone: daemon.settings.AvailabilityZone(), Throttler: daemon.throttler,
		FirstStart: daemon.settings.IsFirstStart(),
		Peers:      transmitter.NewPeers(daemon.control), Snapshot: daemon.coordinator.Snapshot, Rules: rules, Clock: daemon.clock, Log: daemon.logFor("quotas"),
		Terms: apportioner.Terms{Daemon: daemonQuotaTerm, Zone: zoneQuotaTerm, Vote: arbiterVoteTerm, Margin: quotaMargin},
	})
}

// peerTasks handles the tasks of other daemons.
type peerTasks struct {
	acceptor  lagoonlanding.TaskHandler
	forwarder lagoonlanding.TaskHandler
}

// Handle runs a task, or forwards a task that was relayed to this daemon because it has credits of the workspace.
func (peertasks peerTasks) Handle(ctx context.Context, task lagoonlanding.Task) lagoonlanding.Result {
	if task.IsRelayed() {
		return peertasks.forwarder.Handle(ctx, task)
	}
	return peertasks.acceptor.Handle(ctx, task)
}
