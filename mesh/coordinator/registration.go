package coordinator

import (
	"errors"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// currentRegistration returns the registration that the store should hold now; it returns false while that is not certain.
func (coordinator *Coordinator) currentRegistration(now time.Time) (lagoonlanding.Backend, bool) {
	self := coordinator.config.Self
	config := lagoonlanding.BackendConfig{
		ID: coordinator.config.Assigner.ID(), PeerAddress: self.PeerAddress(), AvailabilityZone: self.AvailabilityZone(),
		Region: self.Region(), Service: self.Service(), State: lagoonlanding.BackendAbsent,
		AcceptsFrames: self.AcceptsFrames(),
	}
	latest, ok := coordinator.config.Assigner.Latest()
	if !ok {
		// A backend server that has not sent an announcement since the daemon started may own keys from an earlier assignment.
		return lagoonlanding.NewBackend(config), coordinator.isAbsenceCertain(now)
	}
	config.Slots, config.Service, config.State = latest.Slots(), latest.Service(), lagoonlanding.BackendReady
	if coordinator.isDraining() || coordinator.config.Assigner.IsSilent(now) {
		config.State = lagoonlanding.BackendDraining
	}
	return lagoonlanding.NewBackend(config), true
}

// isAbsenceCertain reports whether there is surely no backend server: its process has ended, or all assignments from before the daemon's start
// have expired.
func (coordinator *Coordinator) isAbsenceCertain(now time.Time) bool {
	return coordinator.config.Assigner.HasEnded() || now.After(coordinator.config.Fleet.AssignmentsExpireAt(coordinator.startedAt))
}

// registrationWrite returns the write of the registration if the store holds another one.
func (coordinator *Coordinator) registrationWrite(now time.Time) (Write, bool) {
	backend, ok := coordinator.currentRegistration(now)
	if !ok || coordinator.session.Lease() == 0 || coordinator.session.IsRegistered() && backend == coordinator.writtenRegistration {
		return Write{}, false
	}
	value, err := registrar.Codec{}.Encode(backend)
	if err != nil {
		coordinator.config.Log.WithError(err).Error("Cannot encode the registration; it was not written.")
		return Write{}, false
	}
	lease, self := coordinator.session.Lease(), coordinator.config.Self
	zonePut := lagoonlanding.NewPut(ZonePrefix(self.AvailabilityZone())+self.ID().Daemon(), []byte(self.PeerAddress()), lease)
	write := Write{
		kind: registrationKind, put: lagoonlanding.NewPut(coordinator.RegistrationKey(), value, lease), zonePut: zonePut,
		expected: coordinator.session.Stored(), backend: backend, sent: now,
	}
	if !coordinator.knowsDeparture {
		write.proofs = []lagoonlanding.Precondition{lagoonlanding.NewPrecondition(coordinator.departureKey(), coordinator.departure.Revision())}
	}
	return write, true
}

// registrationDone records the result of a write of the registration; after a failure it is written again in any case.
//
// The store may carry out a write without an answer seconds later. The next one depends on the same revision of the entry, so only one of them
// can succeed, and once this daemon knows of a success no earlier write can follow.
func (coordinator *Coordinator) registrationDone(now time.Time, write Write, revision uint64, err error) {
	log := coordinator.config.Log.WithField("key", write.put.Key()).WithField("expected", write.expected)
	if err == nil {
		coordinator.writtenRegistration, coordinator.registrationSentAt = write.backend, write.sent
		coordinator.session.Register(revision)
		coordinator.knowsDeparture = true
		coordinator.verifyWritten()
		log.WithField("revision", revision).Info("Registration written.")
		return
	}
	coordinator.writtenRegistration = lagoonlanding.Backend{}
	if errors.Is(err, lagoonlanding.ErrLeaseEnded) {
		coordinator.session.End()
		return
	}
	var conflict *lagoonlanding.ConflictError
	if !errors.As(err, &conflict) {
		coordinator.nextWriteAt = now.Add(coordinator.retryDelay(err))
		log.WithError(err).Warn("Write of the registration failed. Retrying after a delay.")
		return
	}
	current, _ := conflict.Current(write.put.Key())
	coordinator.session.Observe(current.Revision())
	isNews := current.Revision() != write.expected
	if !coordinator.knowsDeparture {
		isNews = coordinator.observeDeparture(now, conflict) || isNews
	}
	if !isNews {
		coordinator.nextWriteAt = now.Add(minRetryDelay)
	}
	log.WithField("current", current.Revision()).Info("Registration has another revision than expected. Writing it on top of that one.")
}

// observeRegistration records a change of the daemon's own entry; if it isn't the daemon's latest write, the registration is written again.
func (coordinator *Coordinator) observeRegistration(change lagoonlanding.Change) {
	revision := change.Entry().Revision()
	if revision <= coordinator.session.Revision() || revision <= coordinator.session.Stored() {
		return
	}
	if change.IsRemoved() {
		coordinator.session.Observe(0)
		coordinator.session.Unregister()
		return
	}
	coordinator.session.Observe(revision)
	// The result of a write in progress may arrive after the change that it makes.
	if coordinator.inFlight != registrationKind && coordinator.session.IsRegistered() {
		coordinator.session.Unregister()
		coordinator.config.Log.WithField("revision", revision).Warn("Registration was replaced by another write. Writing it again.")
	}
}
