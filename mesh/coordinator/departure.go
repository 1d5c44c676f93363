package coordinator

import (
	"errors"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// departurePrefix is the key prefix of departures. Only the daemon itself reads its entry, so it isn't among those that all daemons follow.
const departurePrefix = lagoonlanding.StorePrefix + "departures/"

// departureTerm is how long the store holds a departure: longer than a backend server goes on serving after it has said that it leaves, and than
// an announcement is delayed.
const departureTerm = 10 * time.Minute

// departureKey returns the store key of the daemon's departure.
func (coordinator *Coordinator) departureKey() string {
	return departurePrefix + coordinator.config.Self.ID().Daemon()
}

// DepartureRecorded returns a channel that is closed once the store holds the departure of the backend server, nil if it does not leave.
func (coordinator *Coordinator) DepartureRecorded() <-chan struct{} {
	return coordinator.departure.Recorded()
}

// isDraining reports whether the current process of the backend server leaves.
func (coordinator *Coordinator) isDraining() bool {
	return coordinator.departure.Covers(coordinator.config.Assigner.ID())
}

// depart records that a process of the backend server leaves.
func (coordinator *Coordinator) depart(now time.Time, id lagoonlanding.BackendID, reason string) {
	if coordinator.departure.Begin(id, now.Add(coordinator.config.DrainTerm)) {
		coordinator.config.Log.WithField("backend-server", id.String()).WithField("reason", reason).Info("Backend server leaves.")
		coordinator.updateGate()
	}
}

// Deregister records that the backend server is shutting down; startedMilli is the Unix time in milliseconds at which its process started, zero if
// the notice doesn't say. It returns false if the notice cannot be assigned to a process, so that it would not bind later processes of the daemon.
func (coordinator *Coordinator) Deregister(now time.Time, name string, startedMilli int64) bool {
	id, ok := coordinator.namedProcess(name, startedMilli)
	log := coordinator.config.Log.WithField("backend-server", name).WithField("started", startedMilli)
	latest, isRunning := coordinator.config.Assigner.Latest()
	switch {
	case ok:
		coordinator.depart(now, id, "deregistration")
	case startedMilli > latest.StartedMilli():
		coordinator.depart(now, lagoonlanding.NewBackendID(coordinator.config.Self.ID().Daemon(), name, startedMilli), "deregistration")
	case isRunning:
		log.Info("Deregistration of an earlier process ignored.")
	default:
		log.Warn("Deregistration of an unknown backend server is not acknowledged.")
		return false
	}
	return true
}

// namedProcess returns the known process that a notice names: the last one that sent an announcement, the registered one or the one that leaves.
func (coordinator *Coordinator) namedProcess(name string, startedMilli int64) (lagoonlanding.BackendID, bool) {
	if name == "" {
		return lagoonlanding.BackendID{}, false
	}
	daemon := coordinator.config.Self.ID().Daemon()
	latest, _ := coordinator.config.Assigner.Latest()
	registered, _ := coordinator.config.Fleet.Backend(daemon)
	for _, id := range []lagoonlanding.BackendID{
		lagoonlanding.NewBackendID(daemon, latest.Name(), latest.StartedMilli()), registered.ID(), coordinator.departure.ID(),
	} {
		if id.Name() == name && (startedMilli == 0 || startedMilli == id.StartedMilli()) {
			return id, true
		}
	}
	return lagoonlanding.BackendID{}, false
}

// departureWrite returns the write of a departure that the store does not hold yet.
func (coordinator *Coordinator) departureWrite() (Write, bool) {
	if coordinator.departure.IsRecorded() {
		return Write{}, false
	}
	id := coordinator.departure.ID()
	value, err := registrar.DepartureCodec{}.Encode(id)
	if err != nil {
		coordinator.config.Log.WithError(err).Error("Cannot encode the departure; it was not written.")
		return Write{}, false
	}
	return Write{
		kind: departureKind, put: lagoonlanding.NewPut(coordinator.departureKey(), value, 0), expected: coordinator.departure.Revision(), departing: id,
	}, true
}

// departureDone records the result of a write of a departure.
func (coordinator *Coordinator) departureDone(now time.Time, write Write, revision uint64, err error) {
	log := coordinator.config.Log.WithField("key", write.put.Key()).WithField("backend-server", write.departing.String()).WithField("expected", write.expected)
	var conflict *lagoonlanding.ConflictError
	switch {
	case err == nil && coordinator.departure.Covers(write.departing):
		coordinator.departure.Record(revision)
		log.WithField("revision", revision).Info("Departure written.")
	case err == nil:
		coordinator.departure.Observe(now, lagoonlanding.BackendID{}, revision)
	case errors.As(err, &conflict):
		if !coordinator.observeDeparture(now, conflict) {
			coordinator.nextWriteAt = now.Add(minRetryDelay)
		}
	default:
		coordinator.nextWriteAt = now.Add(coordinator.retryDelay(err))
		log.WithError(err).Warn("Write of the departure failed. Retrying after a delay.")
	}
}

// observeDeparture records the departure that the store holds according to a conflict, and returns false if its revision is the expected one.
func (coordinator *Coordinator) observeDeparture(now time.Time, conflict *lagoonlanding.ConflictError) bool {
	current, exists := conflict.Current(coordinator.departureKey())
	if current.Revision() == coordinator.departure.Revision() {
		return false
	}
	log := coordinator.config.Log.WithField("key", coordinator.departureKey()).WithField("revision", current.Revision())
	var id lagoonlanding.BackendID
	if exists {
		var err error
		if id, err = (registrar.DepartureCodec{}).Decode(current); err != nil {
			log.WithError(err).Warn("Invalid departure ignored.")
		}
	}
	coordinator.departure.Observe(now, id, current.Revision())
	log.WithField("backend-server", id.String()).Info("Departure in the store differs from the expected one.")
	coordinator.updateGate()
	return true
}
