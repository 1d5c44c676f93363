package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

const (
	// shedCheckInterval is the interval at which a daemon considers to move keys for load.
	shedCheckInterval = time.Second
	// shedSettleTime is how long the allotment must be unchanged before keys move for load: the reports show the effect of a move by then.
	shedSettleTime = 5 * time.Second
	// spreadSettleTime is how long the daemon's own keys must be unchanged: its demand counts the keys that it still has, and only the reports of
	// the receivers need time to show a move.
	spreadSettleTime = 2 * time.Second
)

// shed returns the allotment in which the backend server, if it is overloaded, has given keys to a less loaded one.
func (coordinator *Coordinator) shed(now time.Time, service string, stored storedAllotment) (*allocator.Allotment, bool) {
	if coordinator.config.Demand == nil || service != coordinator.config.Self.Service() {
		return nil, false
	}
	if meter, ok := coordinator.config.Reports.(lagoonlanding.MoveMeter); ok {
		return coordinator.spreadLoad(now, service, stored.allotment, meter)
	}
	if coordinator.shedRevision != stored.revision {
		coordinator.shedRevision, coordinator.nextShedAt = stored.revision, now.Add(shedSettleTime)
	}
	if now.Before(coordinator.nextShedAt) {
		return nil, false
	}
	coordinator.nextShedAt = now.Add(shedCheckInterval)
	if !coordinator.keepsKeys() {
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

// keepsKeys reports whether the backend server is there and is not about to give up all keys.
func (coordinator *Coordinator) keepsKeys() bool {
	_, ok := coordinator.config.Assigner.Latest()
	return ok && !coordinator.isDraining() && !coordinator.isEvacuated(coordinator.config.Self.AvailabilityZone())
}

// spreadLoad returns the allotment in which the backend server, if it is overloaded, has given keys to several less loaded ones, as its part of a plan for
// all overloaded ones. Keys that other backend servers move don't delay it.
func (coordinator *Coordinator) spreadLoad(
	now time.Time, service string, allotment *allocator.Allotment, meter lagoonlanding.MoveMeter,
) (*allocator.Allotment, bool) {
	donor := coordinator.config.Assigner.ID()
	if mark := keysMark(allotment, donor); coordinator.shedRevision != mark {
		coordinator.shedRevision, coordinator.nextShedAt = mark, now.Add(spreadSettleTime)
	}
	if now.Before(coordinator.nextShedAt) {
		return nil, false
	}
	coordinator.nextShedAt = now.Add(shedCheckInterval)
	if !coordinator.keepsKeys() {
		return nil, false
	}
	demand := coordinator.config.Demand.Demand(now)
	others := coordinator.receivers(now, service)
	next, spreading, ok := allotment.Spread(allocator.SpreadConfig{
		Donor: donor, MeanRunTime: demand.MeanRunTime(), LoadOf: demand.Of, RecentLoadOf: demand.Recent, HalfLife: lagoonlanding.DemandHalfLife, Others: others,
	})
	if !ok {
		return nil, false
	}
	meter.Moved(spreading.Stripes(), spreading.Gain(), spreading.Loss())
	coordinator.config.Log.WithFields(logrus.Fields{
		"service": service, "allotment": allotment.Version(), "utilization": spreading.Utilization(), "average": spreading.Average(), "reports": len(others),
		"donors": spreading.Donors(), "receivers": spreading.Receivers(), "stripes": spreading.Stripes(), "hot-stripes": spreading.HotStripes(),
		"load": spreading.Load(), "gain-s": spreading.Gain(), "loss-s": spreading.Loss(),
	}).Info("Keys move to less loaded backend servers.")
	return next, true
}

// keysMark returns a number that changes when a backend server gains or loses keys: the greatest token and the number of its stripes.
func keysMark(allotment *allocator.Allotment, id lagoonlanding.BackendID) uint64 {
	count, token := uint64(0), uint64(0)
	for _, stripe := range allotment.Stripes() {
		if stripe.Owner() == id {
			count, token = count+1, max(token, stripe.Token())
		}
	}
	return token*(allocator.MaxStripes+1) + count
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
