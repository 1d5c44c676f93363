package coordinator

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Announce takes in what the backend server says, and returns what it is to hold; it is false for old news.
func (coordinator *Coordinator) Announce(now time.Time, announcement lagoonlanding.Announcement) (lagoonlanding.RangeAssignment, bool) {
	if announcement.Service() != coordinator.config.Self.Service() {
		coordinator.config.Log.WithField("backend-server", announcement.Name()).WithField("service", announcement.Service()).
			Warn("Announcement of another service ignored.")
		return lagoonlanding.RangeAssignment{}, false
	}
	before, hadBefore := coordinator.config.Grantor.Latest()
	previous := coordinator.config.Grantor.ID()
	if !coordinator.config.Grantor.Announce(now, announcement) {
		coordinator.config.Log.WithField("backend-server", announcement.Name()).Debug("Old announcement ignored.")
		return lagoonlanding.RangeAssignment{}, false
	}
	if previous != coordinator.config.Grantor.ID() || !hadBefore || before.State() != announcement.State() {
		coordinator.config.Log.WithField("backend-server", coordinator.config.Grantor.ID().String()).
			WithField("state", announcement.State()).WithField("slots", announcement.Slots()).Info("Backend server announced itself.")
	}
	if coordinator.isLeaving(announcement) {
		coordinator.leave(now, coordinator.config.Grantor.ID())
	}
	defer coordinator.steer()
	if !coordinator.mayGrant() {
		return lagoonlanding.RangeAssignment{}, true
	}
	return coordinator.config.Grantor.Order(now, coordinator.session.Proven(), coordinator.allotments[announcement.Service()].allotment), true
}

// mayGrant reports whether the known allotments are as new as the registration under which the daemon grants.
func (coordinator *Coordinator) mayGrant() bool { return !coordinator.session.Proven().IsZero() }

// Depart notes that the backend server is about to leave; it is false if there is none of the name.
func (coordinator *Coordinator) Depart(now time.Time, name string) bool {
	latest, ok := coordinator.config.Grantor.Latest()
	if !ok || latest.Name() != name {
		return false
	}
	if !coordinator.departed[name] {
		coordinator.departed = map[string]bool{name: true}
		coordinator.leave(now, coordinator.config.Grantor.ID())
		coordinator.config.Log.WithField("backend-server", name).Info("Backend server is about to leave.")
		coordinator.steer()
	}
	return true
}

// Lost notes that the process of a life of the backend server has ended.
func (coordinator *Coordinator) Lost(id lagoonlanding.BackendID) {
	if coordinator.config.Grantor.End(id) {
		coordinator.config.Log.WithField("backend-server", id.String()).Warn("Backend server has ended.")
		coordinator.steer()
	}
}

// registration returns what the fleet should know of the daemon now.
func (coordinator *Coordinator) registration(now time.Time) (lagoonlanding.Backend, bool) {
	self := coordinator.config.Self
	config := lagoonlanding.BackendConfig{
		ID: coordinator.config.Grantor.ID(), PeerAddress: self.PeerAddress(), AvailabilityZone: self.AvailabilityZone(),
		Region: self.Region(), Service: self.Service(), State: lagoonlanding.BackendAbsent,
	}
	latest, ok := coordinator.config.Grantor.Latest()
	if !ok {
		// A backend server that has not announced itself since the daemon's start may hold keys of an earlier grant.
		return lagoonlanding.NewBackend(config), coordinator.knowsBackend(now)
	}
	config.Slots, config.Service, config.State = latest.Slots(), latest.Service(), lagoonlanding.BackendReady
	if coordinator.isLeaving(latest) || coordinator.config.Grantor.IsSilent(now) {
		config.State = lagoonlanding.BackendDraining
	}
	return lagoonlanding.NewBackend(config), true
}

// knowsBackend reports whether an absence is sure: a backend server was seen to end, or the grants of an earlier daemon have run out.
func (coordinator *Coordinator) knowsBackend(now time.Time) bool {
	return coordinator.config.Grantor.HasEnded() || now.After(coordinator.config.Fleet.GoneAt(coordinator.started))
}
