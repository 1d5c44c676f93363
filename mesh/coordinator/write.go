package coordinator

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

const (
	// planDelay is how long changes of the fleet are collected before keys move.
	planDelay = 300 * time.Millisecond
	// initialPlanDelay is how long a new daemon waits before it writes the first allotment of a service: backend servers send their first
	// announcement within about two seconds, and keys that move again right away cost a write by each owner.
	initialPlanDelay = 4 * time.Second
	// rankDelay is the additional delay per rank, so that the daemons before this one can write first.
	rankDelay = 1200 * time.Millisecond
	// maxPlanners is how many daemons compute allotments: the others would only repeat the work and write too late.
	maxPlanners = 6
	// minRetryDelay is the delay after a failed write; it doubles while the store does not answer.
	minRetryDelay = 250 * time.Millisecond
	// maxRetryDelay bounds that delay; it also ends early when the store answers another call.
	maxRetryDelay = 2 * time.Second
)

// writeKind tells what a write contains.
type writeKind uint8

const (
	registrationKind writeKind = iota + 1
	allotmentKind
	suspectsKind
	departureKind
)

// Write is a store write requested by the control state.
type Write struct {
	kind writeKind
	put  lagoonlanding.Put
	// zonePut is the zone entry by which starting daemons discover this one; it is written with the registration.
	zonePut lagoonlanding.Put
	// proofs are the other entries that the write depends on.
	proofs []lagoonlanding.Precondition
	// expected is the revision that the main entry must have.
	expected uint64
	backend  lagoonlanding.Backend
	// departing is the process whose departure is written.
	departing lagoonlanding.BackendID
	sent      time.Time
}

// LeaseTerm returns the term of the lease that has to be granted for the write, zero if it needs no lease of its own.
func (write Write) LeaseTerm() time.Duration {
	if write.kind == departureKind {
		return departureTerm
	}
	return 0
}

// WithLease returns the write of an entry that is attached to the lease.
func (write Write) WithLease(lease lagoonlanding.LeaseID) Write {
	write.put = lagoonlanding.NewPut(write.put.Key(), write.put.Value(), lease)
	return write
}

// Transaction returns the write with what it depends on.
func (write Write) Transaction() lagoonlanding.Transaction {
	config := lagoonlanding.TransactionConfig{
		Puts:          []lagoonlanding.Put{write.put},
		Preconditions: slices.Concat([]lagoonlanding.Precondition{lagoonlanding.NewPrecondition(write.put.Key(), write.expected)}, write.proofs),
	}
	if write.kind == registrationKind {
		config.Puts = append(config.Puts, write.zonePut)
	}
	return lagoonlanding.NewTransaction(config)
}

// NextWrite returns the write that is due, or when to call again; the zero time means after the next change.
func (coordinator *Coordinator) NextWrite(now time.Time) (Write, time.Time, bool) {
	if coordinator.inFlight != 0 {
		return Write{}, time.Time{}, false
	}
	coordinator.endRestore(now)
	if now.Before(coordinator.nextWriteAt) {
		return Write{}, coordinator.nextWriteAt, false
	}
	coordinator.config.Fleet.RemoveExpired(now)
	if write, ok := coordinator.registrationWrite(now); ok {
		coordinator.inFlight = write.kind
		return write, time.Time{}, true
	}
	if write, ok := coordinator.departureWrite(); ok {
		coordinator.inFlight = write.kind
		return write, time.Time{}, true
	}
	if write, ok := coordinator.suspectWrite(now); ok {
		coordinator.inFlight = write.kind
		return write, time.Time{}, true
	}
	if !coordinator.session.IsRegistered() || coordinator.routing == nil || coordinator.viewRevision == 0 {
		return Write{}, time.Time{}, false
	}
	var next time.Time
	for _, policy := range coordinator.routing.Services() {
		if !policy.IsDivided() {
			continue
		}
		write, at, ok := coordinator.allotmentWrite(now, policy.Name())
		if ok {
			coordinator.inFlight = write.kind
			return write, time.Time{}, true
		}
		next = earlier(next, at)
	}
	return Write{}, next, false
}

// earlier returns the earlier of two times; zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// allotmentWrite returns the write of the next allotment of a service if it differs from the current one, or when to check again.
func (coordinator *Coordinator) allotmentWrite(now time.Time, service string) (Write, time.Time, bool) {
	known, exists := coordinator.allotments[service]
	if !exists {
		known.allotment = allocator.InitialAllotment(service, coordinator.era)
	}
	if write, at, ok := coordinator.eraWrite(now, service, known, exists); ok || !at.IsZero() {
		return write, at, ok
	}
	if next, ok := coordinator.inherit(now, service, known.allotment); ok {
		return coordinator.conditionalWrite(now, next, known.revision, nil)
	}
	if next, ok := coordinator.release(now, known.allotment); ok {
		return coordinator.conditionalWrite(now, next, known.revision, nil)
	}
	if next, ok := coordinator.shed(now, service, known); ok {
		return coordinator.conditionalWrite(now, next, known.revision, nil)
	}
	if validity, ok := coordinator.upToDate[service]; ok && validity.generation == coordinator.generation && (validity.until.IsZero() || now.Before(validity.until)) {
		return Write{}, validity.until, false
	}
	rank := coordinator.rank()
	if rank >= maxPlanners {
		delete(coordinator.planNeededSince, service)
		return Write{}, time.Time{}, false
	}
	proofs := newProofs(coordinator.config.Fleet)
	next, ok := known.allotment.Plan(allocator.PlanConfig{
		Backends:  coordinator.eligibleBackends(now, service),
		IsExpired: func(id lagoonlanding.BackendID) bool { return proofs.isExpired(now, id) },
	})
	if !ok {
		delete(coordinator.planNeededSince, service)
		until := coordinator.config.Fleet.NextExpiry(now)
		coordinator.upToDate[service] = planValidity{generation: coordinator.generation, until: until}
		return Write{}, until, false
	}
	since, isKnown := coordinator.planNeededSince[service]
	if !isKnown {
		since = now
		coordinator.planNeededSince[service] = since
	}
	due := since.Add(planDelay + time.Duration(rank)*rankDelay)
	if first := coordinator.startedAt.Add(initialPlanDelay); !exists && due.Before(first) {
		due = first
	}
	if now.Before(due) {
		return Write{}, due, false
	}
	return coordinator.conditionalWrite(now, next, known.revision, proofs.preconditions)
}

// inherit returns the allotment in which a restarted backend server keeps the keys of its previous process, as nobody else owns them.
func (coordinator *Coordinator) inherit(now time.Time, service string, allotment *allocator.Allotment) (*allocator.Allotment, bool) {
	latest, ok := coordinator.config.Assigner.Latest()
	isEligible := ok && latest.Service() == service && !coordinator.isDraining() && !coordinator.isEvacuated(coordinator.config.Self.AvailabilityZone())
	if !isEligible {
		return nil, false
	}
	var others []lagoonlanding.BackendID
	for _, backend := range coordinator.eligibleBackends(now, service) {
		others = append(others, backend.ID())
	}
	return allotment.Inherit(coordinator.config.Assigner.ID(), others...)
}

// release returns the allotment after the daemon's backend server has released the keys that move away from it.
func (coordinator *Coordinator) release(now time.Time, allotment *allocator.Allotment) (*allocator.Allotment, bool) {
	id := coordinator.config.Assigner.ID()
	if !allotment.AwaitsRelease(id) {
		return nil, false
	}
	return allotment.Release(id, func(first, last int) (string, bool) {
		return coordinator.config.Assigner.HasReleased(now, first, last)
	})
}

// conditionalWrite returns the write that replaces an allotment, if it still has the given revision and so have the given registrations.
func (coordinator *Coordinator) conditionalWrite(
	now time.Time, next *allocator.Allotment, revision uint64, proofs []lagoonlanding.Precondition,
) (Write, time.Time, bool) {
	value, err := allocator.Codec{}.Encode(next)
	if err != nil {
		coordinator.config.Log.WithError(err).Error("Cannot encode the allotment; it was not written.")
		return Write{}, time.Time{}, false
	}
	return Write{
		kind: allotmentKind, put: lagoonlanding.NewPut(allotmentPrefix+next.Service(), value, 0), expected: revision, proofs: proofs, sent: now,
	}, time.Time{}, true
}

// eligibleBackends returns the backend servers of a sharded service that keys may be assigned to.
func (coordinator *Coordinator) eligibleBackends(now time.Time, service string) []lagoonlanding.Backend {
	var eligible []lagoonlanding.Backend
	for _, backend := range coordinator.config.Fleet.Backends() {
		isReady := backend.Service() == service && backend.State() == lagoonlanding.BackendReady
		if isReady && !coordinator.isEvacuated(backend.AvailabilityZone()) && !coordinator.config.Fleet.IsExpired(now, backend.ID()) {
			eligible = append(eligible, backend)
		}
	}
	return eligible
}

// rank returns how many registered daemons come before this one in the order in which daemons write allotments.
func (coordinator *Coordinator) rank() int {
	registered := coordinator.config.Fleet.Registered()
	return max(slices.IndexFunc(registered, func(backend lagoonlanding.Backend) bool {
		return backend.ID().Daemon() == coordinator.config.Self.ID().Daemon()
	}), 0)
}

// WriteDone records the result of a write.
func (coordinator *Coordinator) WriteDone(now time.Time, write Write, revision uint64, err error) {
	coordinator.inFlight = 0
	coordinator.BeginEra(now, eraOfResult(revision, err))
	if err == nil && lagoonlanding.EraOf(revision) < coordinator.era {
		err = fmt.Errorf("%w: written in an earlier era", lagoonlanding.ErrUnknown)
	}
	if err == nil {
		coordinator.failedWrites = 0
	}
	switch write.kind {
	case registrationKind:
		coordinator.registrationDone(now, write, revision, err)
	case allotmentKind:
		coordinator.allotmentDone(now, write, revision, err)
	case suspectsKind:
		coordinator.suspectsDone(now, write, revision, err)
	case departureKind:
		coordinator.departureDone(now, write, revision, err)
	}
}

// allotmentDone records the result of a write of an allotment.
func (coordinator *Coordinator) allotmentDone(now time.Time, write Write, revision uint64, err error) {
	log := coordinator.config.Log.WithField("key", write.put.Key()).WithField("expected", write.expected)
	switch {
	case err == nil:
		coordinator.conflicts = 0
		coordinator.applyAllotment(lagoonlanding.NewEntry(write.put.Key(), write.put.Value(), revision))
		coordinator.publish()
		log.WithField("revision", revision).Info("Allotment written.")
	case coordinator.applyConflict(write, err):
		coordinator.conflicts++
		delay := conflictDelay(coordinator.conflicts, coordinator.awaitedOwners(write.put.Key()), coordinator.conflictHash(write.put.Key()))
		coordinator.nextWriteAt = now.Add(delay)
		log.WithField("conflicts", coordinator.conflicts).WithField("delay", delay.String()).
			Info("Allotment was written by another daemon. Retrying with the newer version.")
	default:
		coordinator.nextWriteAt = now.Add(coordinator.retryDelay(err))
		log.WithError(err).Warn("Write of the allotment failed. Retrying after a delay.")
	}
}

// applyConflict applies the allotment that the store held instead of the one that a write expected; it returns false if the error does not
// contain a newer one.
func (coordinator *Coordinator) applyConflict(write Write, err error) bool {
	var conflict *lagoonlanding.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	current, ok := conflict.Current(write.put.Key())
	if !ok || current.Revision() <= write.expected {
		return false
	}
	coordinator.applyAllotment(current)
	coordinator.publish()
	return true
}

// retryDelay returns the delay after a failed write.
func (coordinator *Coordinator) retryDelay(err error) time.Duration {
	if errors.Is(err, lagoonlanding.ErrConflict) {
		return minRetryDelay
	}
	delay := min(minRetryDelay<<min(coordinator.failedWrites, 4), maxRetryDelay)
	coordinator.failedWrites++
	return delay
}

// storeAnswered records that the store answers, so that a delayed write becomes due at once.
func (coordinator *Coordinator) storeAnswered() {
	if coordinator.failedWrites > 0 {
		coordinator.failedWrites, coordinator.nextWriteAt = 0, time.Time{}
	}
}
