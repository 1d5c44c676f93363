package main

import (
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/biller"
	"lagoonlanding.example/lagoonlanding/mesh/chooser"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

// moveReports are the load reports with which keys move from several backend servers to several others at a time.
type moveReports struct {
	lagoonlanding.LoadReports
	lagoonlanding.MoveMeter
}

var (
	_ lagoonlanding.LoadReports = moveReports{}
	_ lagoonlanding.MoveMeter   = moveReports{}
)

// loadReports returns the reports by which keys move for load.
func (daemon *daemon) loadReports() lagoonlanding.LoadReports {
	if !daemon.settings.HasOverloadControl() {
		return daemon.chooser
	}
	return moveReports{LoadReports: daemon.chooser, MoveMeter: daemon.recorder}
}

// newBiller returns the sender that counts the bytes between regions by cause.
func (daemon *daemon) newBiller(sender lagoonlanding.TaskSender) *biller.Biller {
	return biller.New(biller.Config{Region: daemon.settings.Region(), Sender: sender, Crossed: daemon.recorder.Crossed})
}

// countCrossing counts the bytes of an exchange with a daemon in another region.
func (daemon *daemon) countCrossing(kind string, bytes int) {
	switch kind {
	case kindTask:
		daemon.biller.Ended(bytes)
	case kindControl:
		daemon.recorder.Crossed(biller.CauseControl, int64(bytes))
	}
}

// crossingLogInterval is the shortest time between two log lines of choices of another region: in a peak there are hundreds a second.
const crossingLogInterval = time.Second

// recordChoice counts a choice by distance, and logs some of those of another region.
func (daemon *daemon) recordChoice(choice chooser.Choice) {
	backend := choice.Backend()
	distance := daemon.distanceOf(backend.AvailabilityZone(), backend.Region())
	daemon.recorder.Chose(backend.Service(), distance)
	if distance != distanceRegions {
		return
	}
	now := daemon.clock.Now()
	if next := daemon.nextCrossingLog.Load(); now.UnixNano() < next || !daemon.nextCrossingLog.CompareAndSwap(next, now.Add(crossingLogInterval).UnixNano()) {
		return
	}
	fields := logrus.Fields{
		"service": backend.Service(), "backend-server": backend.ID().String(), "region": backend.Region(), "expected-wait-ms": choice.Wait().Milliseconds(),
		"expected-run-ms": choice.RunTime().Milliseconds(), "in-time": choice.IsInTime(), "fleet-revision": daemon.coordinator.Snapshot().Revision(),
	}
	if !choice.ReportedAt().IsZero() {
		fields["report-age-ms"] = now.Sub(choice.ReportedAt()).Milliseconds()
	}
	daemon.logFor("balancing").WithFields(fields).Info("Task goes to a backend server of another region.")
}

// minBalanceReports is the number of recent reports from which the balance of a service is recorded.
const minBalanceReports = 3

// recordBalance records the busiest over the mean load of each service, as the daemon's own traffic reports it.
func (daemon *daemon) recordBalance(snapshot *coordinator.Snapshot) {
	daemon.biller.Flush()
	if snapshot.Routing() == nil || !daemon.settings.HasOverloadControl() {
		return
	}
	now := daemon.clock.Now()
	for _, policy := range snapshot.Routing().Services() {
		busiest, sum, count := 0.0, 0.0, 0
		for _, backend := range snapshot.Candidates(policy.Name()) {
			if perSlot, _, ok := daemon.chooser.Utilization(now, backend.ID().Daemon()); ok {
				busiest, sum, count = max(busiest, perSlot), sum+perSlot, count+1
			}
		}
		if count >= minBalanceReports && sum > 0 {
			daemon.recorder.Balance(policy.Name(), busiest*float64(count)/sum)
		}
	}
}
