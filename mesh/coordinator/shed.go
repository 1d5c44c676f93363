package coordinator

import (
	"time"

	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

const (
	// shedCheckInterval is the interval at which a daemon considers to move keys for load.
	shedCheckInterval = time.Second
	// shedSettleTime is how long the allotment must be unchanged before keys move for load: the reports show the effect of a move by then.
	shedSettleTime = 5 * time.Second
)

// shed returns the allotment in which the backend server, if it is overloaded, has given keys to a less loaded one.
func (coordinator *Coordinator) shed(now time.Time, service string, stored storedAllotment) (*allocator.Allotment, bool) {
	if coordinator.config.Demand == nil || service != coordinator.config.Self.Service() {
		return nil, false
	}
	if coordinator.shedRevision != stored.revision {
		coordinator.shedRevision, coordinator.nextShedAt = stored.revision, now.Add(shedSettleTime)
	}
	if now.Before(coordinator.nextShedAt) {
		return nil, false
	}
	coordinator.nextShedAt = now.Add(shedCheckInterval)
	_, ok := coordinator.config.Assigner.Latest()
	if !ok || coordinator.isDraining() || coordinator.isEvacuated(coordinator.config.Self.AvailabilityZone()) {
		return nil, false
	}
	demand := coordinator.config.Demand.Demand(now)
	config := allocator.ShedConfig{
		Donor: coordinator.config.Assigner.ID(), Utilization: demand.Of(0, allocator.Keys-1), MeanRunTime: demand.MeanRunTime(), LoadOf: demand.Of,
		Receivers: coordinator.receivers(now, service),
	}
	next, ok := stored.allotment.Shed(config)
	if !ok {
		return nil, false
	}
	coordinator.config.Log.WithField("service", service).WithField("allotment", stored.allotment.Version()).WithField("utilization", config.Utilization).
		WithField("receivers", len(config.Receivers)).Info("Keys move to a less loaded backend server.")
	return next, true
}

// receivers returns the other backend servers of a service that may take over keys and have reported their load.
func (coordinator *Coordinator) receivers(now time.Time, service string) []allocator.ReceiverConfig {
	var receivers []allocator.ReceiverConfig
	for _, backend := range coordinator.eligibleBackends(now, service) {
		daemon := backend.ID().Daemon()
		if daemon == coordinator.config.Self.ID().Daemon() {
			continue
		}
		if perSlot, meanRunTime, ok := coordinator.config.Reports.Utilization(now, daemon); ok {
			receivers = append(receivers, allocator.ReceiverConfig{ID: backend.ID(), Utilization: perSlot, MeanRunTime: meanRunTime})
		}
	}
	return receivers
}
