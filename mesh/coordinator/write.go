package coordinator

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

const (
	// settleTerm is how long changes of the fleet are gathered before keys move.
	settleTerm = 300 * time.Millisecond
	// firstTerm is how long a new daemon gathers the fleet before it allots keys that nobody has allotted yet: backend servers announce
	// themselves within about two seconds, and keys that move again right away cost a write by each holder.
	firstTerm = 4 * time.Second
	// rankTerm is how much longer each further daemon waits for the ones before it to write.
	rankTerm = 1200 * time.Millisecond
	// planners is how many daemons work out allotments: the others would only repeat the work and come too late to write.
	planners = 6
	// retryTerm is the pause after a write that failed; it doubles while the store does not answer.
	retryTerm = 250 * time.Millisecond
	// longestRetryTerm bounds that pause, and so does the first answer of the store to another call.
	longestRetryTerm = 2 * time.Second
)

// kind is what a write is about.
type kind uint8

// The kinds of writes.
const (
	registration kind = iota + 1
	allotment
	suspects
)

// Write is one write to the store that the control state asks for.
type Write struct {
	kind kind
	put  lagoonlanding.Put
	// pointer leads daemons that have just started to this one; it is written with the registration.
	pointer lagoonlanding.Put
	// absent are the keys of registrations that must not be there for an allotment to hold.
	absent   []string
	expected uint64
	backend  lagoonlanding.Backend
	sent     time.Time
}

// Put returns what is to be written.
func (write Write) Put() lagoonlanding.Put { return write.put }

// Puts returns all that is written together.
func (write Write) Puts() []lagoonlanding.Put {
	if write.kind == registration {
		return []lagoonlanding.Put{write.put, write.pointer}
	}
	return []lagoonlanding.Put{write.put}
}

// Absent returns the keys that must have no entry for a conditional write.
func (write Write) Absent() []string { return write.absent }

// IsConditional reports whether the write holds only for an expected revision.
func (write Write) IsConditional() bool { return write.kind == allotment }

// Expected returns the revision that the entry must have.
func (write Write) Expected() uint64 { return write.expected }

// NextWrite returns the write that is due, or when to ask again; the zero time stands for after the next change.
func (coordinator *Coordinator) NextWrite(now time.Time) (Write, time.Time, bool) {
	if coordinator.writing {
		return Write{}, time.Time{}, false
	}
	if now.Before(coordinator.writeAt) {
		return Write{}, coordinator.writeAt, false
	}
	coordinator.config.Fleet.Forget(now)
	if write, ok := coordinator.registrationWrite(now); ok {
		coordinator.writing = true
		return write, time.Time{}, true
	}
	if write, ok := coordinator.suspectWrite(now); ok {
		coordinator.writing = true
		return write, time.Time{}, true
	}
	if !coordinator.session.IsRegistered() || coordinator.routing == nil || coordinator.view == 0 {
		return Write{}, time.Time{}, false
	}
	var next time.Time
	for _, terms := range coordinator.routing.Services() {
		if !terms.IsDivided() {
			continue
		}
		write, at, ok := coordinator.allotmentWrite(now, terms.Name())
		if ok {
			coordinator.writing = true
			return write, time.Time{}, true
		}
		next = sooner(next, at)
	}
	return Write{}, next, false
}

// sooner returns the earlier of two times of which zero stands for never.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (coordinator *Coordinator) registrationWrite(now time.Time) (Write, bool) {
	backend, ok := coordinator.registration(now)
	if !ok || coordinator.session.Lease() == 0 || coordinator.session.IsRegistered() && backend == coordinator.published {
		return Write{}, false
	}
	value, err := registrar.Codec{}.Encode(backend)
	if err != nil {
		coordinator.config.Log.WithError(err).Error("Registration cannot be encoded.")
		return Write{}, false
	}
	lease, self := coordinator.session.Lease(), coordinator.config.Self
	pointer := lagoonlanding.NewPut(ZonePrefix(self.AvailabilityZone())+self.ID().Daemon(), []byte(self.PeerAddress()), lease)
	return Write{
		kind: registration, put: lagoonlanding.NewPut(coordinator.OwnKey(), value, lease), pointer: pointer, backend: backend, sent: now,
	}, true
}

// allotmentWrite returns the next allotment of a service if it should differ from the present one.
func (coordinator *Coordinator) allotmentWrite(now time.Time, service string) (Write, time.Time, bool) {
	known, exists := coordinator.allotments[service]
	if !exists {
		known.allotment = allocator.NewAllotment(allocator.AllotmentConfig{Service: service})
	}
	if next, ok := coordinator.inherit(now, service, known.allotment); ok {
		return coordinator.propose(now, next, known.revision, nil)
	}
	if next, ok := coordinator.release(now, known.allotment); ok {
		return coordinator.propose(now, next, known.revision, nil)
	}
	if rest, ok := coordinator.rests[service]; ok && rest.generation == coordinator.generation && (rest.until.IsZero() || now.Before(rest.until)) {
		return Write{}, rest.until, false
	}
	rank := coordinator.rank()
	if rank >= planners {
		delete(coordinator.needs, service)
		return Write{}, time.Time{}, false
	}
	absences := newAbsences(coordinator.config.Fleet)
	next, ok := known.allotment.Plan(allocator.PlanConfig{
		Backends: coordinator.holders(now, service),
		IsGone:   func(id lagoonlanding.BackendID) bool { return absences.isGone(now, id) },
	})
	if !ok {
		delete(coordinator.needs, service)
		until := coordinator.config.Fleet.NextGone(now)
		coordinator.rests[service] = rest{generation: coordinator.generation, until: until}
		return Write{}, until, false
	}
	since, isKnown := coordinator.needs[service]
	if !isKnown {
		since = now
		coordinator.needs[service] = since
	}
	due := since.Add(settleTerm + time.Duration(rank)*rankTerm)
	if first := coordinator.started.Add(firstTerm); !exists && due.Before(first) {
		due = first
	}
	if now.Before(due) {
		return Write{}, due, false
	}
	return coordinator.propose(now, next, known.revision, absences.keys)
}

// inherit returns the allotment in which a backend server that was started again keeps the keys that it had, as nobody else holds them.
func (coordinator *Coordinator) inherit(now time.Time, service string, allotment *allocator.Allotment) (*allocator.Allotment, bool) {
	latest, ok := coordinator.config.Grantor.Latest()
	isFit := ok && latest.Service() == service && !coordinator.isLeaving(latest) && !coordinator.isEvacuated(coordinator.config.Self.AvailabilityZone())
	if !isFit {
		return nil, false
	}
	var others []lagoonlanding.BackendID
	for _, holder := range coordinator.holders(now, service) {
		others = append(others, holder.ID())
	}
	return allotment.Inherit(coordinator.config.Grantor.ID(), others...)
}

// release returns the allotment after the backend server beside this daemon has let go of what it is to lose.
func (coordinator *Coordinator) release(now time.Time, allotment *allocator.Allotment) (*allocator.Allotment, bool) {
	holder := coordinator.config.Grantor.ID()
	if !allotment.AwaitsRelease(holder) {
		return nil, false
	}
	return allotment.Release(holder, func(first, last int) (string, bool) {
		return coordinator.config.Grantor.HasLetGo(now, first, last)
	})
}

func (coordinator *Coordinator) propose(
	now time.Time, next *allocator.Allotment, revision uint64, absent []string,
) (Write, time.Time, bool) {
	value, err := allocator.Codec{}.Encode(next)
	if err != nil {
		coordinator.config.Log.WithError(err).Error("Allotment cannot be encoded.")
		return Write{}, time.Time{}, false
	}
	return Write{
		kind: allotment, put: lagoonlanding.NewPut(allotmentPrefix+next.Service(), value, 0), expected: revision, absent: absent, sent: now,
	}, time.Time{}, true
}

// holders returns the backend servers of a divided service that may hold keys.
func (coordinator *Coordinator) holders(now time.Time, service string) []lagoonlanding.Backend {
	var holders []lagoonlanding.Backend
	for _, backend := range coordinator.config.Fleet.Backends() {
		isUp := backend.Service() == service && backend.State() == lagoonlanding.BackendReady
		if isUp && !coordinator.isEvacuated(backend.AvailabilityZone()) && !coordinator.config.Fleet.IsGone(now, backend.ID()) {
			holders = append(holders, backend)
		}
	}
	return holders
}

// rank returns how many registered daemons come before this one in writing allotments.
func (coordinator *Coordinator) rank() int {
	registered := coordinator.config.Fleet.Registered()
	return max(slices.IndexFunc(registered, func(backend lagoonlanding.Backend) bool {
		return backend.ID().Daemon() == coordinator.config.Self.ID().Daemon()
	}), 0)
}

// Wrote takes in what became of a write.
func (coordinator *Coordinator) Wrote(now time.Time, write Write, revision uint64, err error) {
	coordinator.writing = false
	if err == nil {
		coordinator.unanswered = 0
	}
	log := coordinator.config.Log.WithField("key", write.put.Key())
	switch {
	case err == nil && write.kind == suspects:
		log.WithField("revision", revision).Info("Suspects written.")
	case err == nil && write.kind == registration:
		coordinator.published, coordinator.sentAt = write.backend, write.sent
		coordinator.session.Register(revision)
		coordinator.verifyWritten()
		log.WithField("revision", revision).Info("Registration written.")
	case err == nil:
		coordinator.applyAllotment(lagoonlanding.NewEntry(write.put.Key(), write.put.Value(), revision))
		coordinator.publish()
		log.WithField("revision", revision).Info("Allotment written.")
	case errors.Is(err, lagoonlanding.ErrLeaseEnded):
		coordinator.session.End()
	case coordinator.learn(write, err):
		coordinator.writeAt = now.Add(coordinator.spread(write.put.Key()))
		log.WithField("expected", write.expected).Info("Allotment was written by another daemon. Trying again on top of it.")
	default:
		coordinator.crashed = coordinator.crashed || write.kind == suspects
		coordinator.writeAt = now.Add(coordinator.nextRetry(err))
		log.WithError(err).Warn("Write to the store failed.")
	}
}

// learn takes in the allotment that stood in the store in place of the one that a write expected; it is false if none was told.
func (coordinator *Coordinator) learn(write Write, err error) bool {
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

// spreadTerm bounds the pause after which a daemon writes on top of another's write: some hundred daemons may let go of keys at once, and a
// write takes some milliseconds.
const spreadTerm = 200 * time.Millisecond

// spread returns a part of that pause, another for each daemon and version.
func (coordinator *Coordinator) spread(key string) time.Duration {
	drawn := xxhash.Sum64String(fmt.Sprint(coordinator.config.Self.ID().Daemon(), key, coordinator.generation))
	return time.Duration(drawn % uint64(spreadTerm))
}

// nextRetry returns the pause after a write that failed.
func (coordinator *Coordinator) nextRetry(err error) time.Duration {
	if errors.Is(err, lagoonlanding.ErrConflict) {
		return retryTerm
	}
	pause := min(retryTerm<<min(coordinator.unanswered, 4), longestRetryTerm)
	coordinator.unanswered++
	return pause
}

// answered notes that the store answers again, so that writes need not wait any longer.
func (coordinator *Coordinator) answered() {
	if coordinator.unanswered > 0 {
		coordinator.unanswered, coordinator.writeAt = 0, time.Time{}
	}
}
