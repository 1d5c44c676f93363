package coordinator

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Announce processes an announcement of the backend server and returns its range assignment; it returns false if the announcement is ignored.
func (coordinator *Coordinator) Announce(now time.Time, announcement lagoonlanding.Announcement) (lagoonlanding.RangeAssignment, bool) {
	if announcement.Service() != coordinator.config.Self.Service() {
		coordinator.config.Log.WithField("backend-server", announcement.Name()).WithField("service", announcement.Service()).
			Warn("Announcement for another service ignored.")
		return lagoonlanding.RangeAssignment{}, false
	}
	if coordinator.isOutlived(announcement) {
		coordinator.config.Log.WithField("backend-server", announcement.Name()).WithField("started", announcement.StartedMilli()).
			Warn("Announcement of a process that a later one has replaced ignored.")
		return lagoonlanding.RangeAssignment{}, false
	}
	previous, hadPrevious := coordinator.config.Assigner.Latest()
	previousID := coordinator.config.Assigner.ID()
	if !coordinator.config.Assigner.Announce(now, announcement) {
		coordinator.config.Log.WithField("backend-server", announcement.Name()).Debug("Old announcement ignored.")
		return lagoonlanding.RangeAssignment{}, false
	}
	if previousID != coordinator.config.Assigner.ID() || !hadPrevious || previous.State() != announcement.State() {
		coordinator.config.Log.WithField("backend-server", coordinator.config.Assigner.ID().String()).
			WithField("state", announcement.State()).WithField("slots", announcement.Slots()).Info("Backend server started or changed state.")
	}
	if announcement.State() != lagoonlanding.BackendReady {
		coordinator.depart(now, coordinator.config.Assigner.ID(), "announcement")
	}
	defer coordinator.updateGate()
	if !coordinator.mayAssign() {
		return lagoonlanding.RangeAssignment{}, true
	}
	return coordinator.assign(now, announcement.Service()), true
}

// isOutlived reports whether a later process of the backend server has been registered: after a restart of the daemon, a delayed announcement
// of an earlier one may arrive first.
func (coordinator *Coordinator) isOutlived(announcement lagoonlanding.Announcement) bool {
	registered, ok := coordinator.config.Fleet.Backend(coordinator.config.Self.ID().Daemon())
	return ok && announcement.StartedMilli() < registered.ID().StartedMilli()
}

// mayAssign reports whether the registration was ever verified: only then are the known allotments as new as it.
func (coordinator *Coordinator) mayAssign() bool { return !coordinator.session.VerifiedAt().IsZero() }

// BackendLeaving records that a process of the backend server said in a response that it is about to stop; its announcements may say so later.
func (coordinator *Coordinator) BackendLeaving(now time.Time, id lagoonlanding.BackendID) {
	if id == coordinator.config.Assigner.ID() {
		coordinator.depart(now, id, "response")
	}
}

// ProcessEnded records that a process of the backend server refuses connections and so has ended, unless it is draining: then it may still
// run the tasks that it has, and owns their keys.
func (coordinator *Coordinator) ProcessEnded(id lagoonlanding.BackendID) {
	if coordinator.isDraining() {
		coordinator.config.Log.WithField("backend-server", id.String()).Info("Draining backend server refuses connections.")
		return
	}
	if coordinator.config.Assigner.End(id) {
		coordinator.config.Log.WithField("backend-server", id.String()).Warn("Backend server process ended.")
		coordinator.updateGate()
	}
}
