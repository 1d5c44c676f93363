package coordinator

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
	"lagoonlanding.example/lagoonlanding/mesh/assigner"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
)

// Config holds the dependencies and settings of a Coordinator.
type Config struct {
	// Self describes the daemon, without its backend server.
	Self lagoonlanding.Backend
	// Fleet tracks the registered daemons.
	Fleet *registrar.Fleet
	// Assigner assigns key ranges to the backend server next to the daemon.
	Assigner *assigner.Assigner
	// Gate is the admission control in front of the backend server.
	Gate lagoonlanding.Gate
	// Demand measures the load of the backend server's keys, and Reports returns the load of other backend servers; without them, keys don't
	// move for load.
	Demand  lagoonlanding.DemandMeter
	Reports lagoonlanding.LoadReports
	// DrainTerm is how long a draining backend server still receives tasks for keys that only it can serve; EvacuateTerm is that time
	// for a backend server in an evacuated zone.
	DrainTerm, EvacuateTerm time.Duration
	// Quarantine tracks the requests that crash backend servers.
	Quarantine *quarantiner.Quarantine
	// Log receives one line for each change of the control state.
	Log *logrus.Entry
}

// storedAllotment is an allotment with the revision of its entry in the store.
type storedAllotment struct {
	allotment *allocator.Allotment
	revision  uint64
	// isReplaced means that the entry now contains another allotment, which does not supersede this one; the other fields are that one's.
	isReplaced                   bool
	replacedVersion, replacedEra uint64
}

// Coordinator is the control state of a daemon; only the control thread may call its methods, except Snapshot and Ownership.
type Coordinator struct {
	config  Config
	session registrar.Session

	routing *lagoonlanding.Routing
	// evacuated maps each evacuated zone to the time at which this daemon applied the evacuation.
	evacuated  map[string]time.Time
	allotments map[string]storedAllotment
	// viewRevision is the store revision up to which the fleet's entries are known.
	viewRevision uint64
	stopping     bool
	// stopDeadline is when a stopping daemon closes the gate of a backend server that others can replace.
	stopDeadline time.Time
	// departure is the process of the backend server that leaves.
	departure registrar.Departure
	// knowsDeparture means that no earlier process of the daemon can have recorded a departure that this one doesn't know.
	knowsDeparture bool
	// writtenRegistration is the registration as last written to the store, zero after a write whose outcome is not known.
	writtenRegistration lagoonlanding.Backend
	// planNeededSince maps each service whose allotment has to change to the time at which this was first seen.
	planNeededSince map[string]time.Time
	// suspectsPending means that the quarantine recorded a crash that has not been written to the store yet.
	suspectsPending bool
	// suspectsRevision is the revision that the daemon's suspects were last seen to have in the store, zero for none.
	suspectsRevision uint64
	// upToDate maps each service whose allotment needs no change to how long that is known to be so.
	upToDate map[string]planValidity
	// generation counts the changes that can affect a plan.
	generation  uint64
	nextWriteAt time.Time
	// nextShedAt is when the daemon next considers to move keys for load, and shedRevision the revision of the allotment to which it applies.
	nextShedAt   time.Time
	shedRevision uint64
	// inFlight is the kind of the write in progress, zero for none.
	inFlight writeKind
	// conflicts counts the consecutive writes that conflicted with another daemon's.
	conflicts int
	// failedWrites counts the consecutive writes that the store did not answer.
	failedWrites int
	// renewedThroughPeer means that the last renewal went through another daemon.
	renewedThroughPeer bool
	// registrationSentAt is when the last successful write of the registration was sent.
	registrationSentAt time.Time
	startedAt          time.Time
	// era is the era of the store, and settledAt when every assignment of earlier eras has expired; zero in era zero.
	era       uint64
	settledAt time.Time
	// restoreAt maps each evacuated zone whose entry a restore of the store has lost to the time until which the operator can write it again.
	restoreAt map[string]time.Time

	snapshot  atomic.Pointer[Snapshot]
	ownership atomic.Pointer[assigner.Ownership]
}

// New returns the control state of a newly started daemon.
func New(now time.Time, config Config) *Coordinator {
	coordinator := &Coordinator{
		config: config, evacuated: map[string]time.Time{}, allotments: map[string]storedAllotment{},
		planNeededSince: map[string]time.Time{}, upToDate: map[string]planValidity{}, startedAt: now,
		restoreAt: map[string]time.Time{},
	}
	coordinator.publish()
	return coordinator
}

// Snapshot returns the current read-only view for request handling; any goroutine may call it.
func (coordinator *Coordinator) Snapshot() *Snapshot { return coordinator.snapshot.Load() }

// Ownership returns which keys the backend server owns; any goroutine may call it.
func (coordinator *Coordinator) Ownership() *assigner.Ownership { return coordinator.ownership.Load() }

// planValidity tells until when an allotment needs no change: until the generation changes or the assignments of an unregistered daemon expire.
type planValidity struct {
	generation uint64
	until      time.Time
}

// publish replaces the snapshot and updates the gate after a change.
func (coordinator *Coordinator) publish() {
	coordinator.generation++
	allotments := make(map[string]*allocator.Allotment, len(coordinator.allotments))
	for service, stored := range coordinator.allotments {
		allotments[service] = stored.allotment
	}
	evacuated := make(map[string]bool, len(coordinator.evacuated))
	for zone := range coordinator.evacuated {
		evacuated[zone] = true
	}
	coordinator.snapshot.Store(NewSnapshot(SnapshotConfig{
		Routing: coordinator.routing, Revision: coordinator.viewRevision, Backends: coordinator.config.Fleet.Backends(), Allotments: allotments, Evacuated: evacuated,
		Relays: coordinator.relays(),
	}))
	coordinator.updateGate()
}

const (
	// maxZoneRelays is how many daemons of the zone are preferred over the store: one relays changes, the others are its backup.
	maxZoneRelays = 3
	// maxRemoteRelays is how many daemons of other zones are asked after the store, for daemons that the store does not answer.
	maxRemoteRelays = 2
)

// relays returns the daemons from which this one receives changes, in order of preference; the daemon itself stands for the store.
//
// The first daemon of each zone by name watches the store, so that the load on the store grows with the number of zones and not of daemons.
func (coordinator *Coordinator) relays() []lagoonlanding.Backend {
	var sameZone, sameRegion, otherRegions []lagoonlanding.Backend
	self := coordinator.config.Self
	seenZones := map[string]bool{self.AvailabilityZone(): true}
	for _, backend := range coordinator.config.Fleet.Registered() {
		zone := backend.AvailabilityZone()
		switch {
		case zone == self.AvailabilityZone():
			if len(sameZone) < maxZoneRelays && backend.ID().Daemon() < self.ID().Daemon() {
				sameZone = append(sameZone, backend)
			}
		case seenZones[zone]:
		case backend.Region() == self.Region():
			sameRegion = append(sameRegion, backend)
		default:
			otherRegions = append(otherRegions, backend)
		}
		seenZones[zone] = true
	}
	remote := slices.Concat(sameRegion, otherRegions)
	return slices.Concat(sameZone, []lagoonlanding.Backend{self}, remote[:min(len(remote), maxRemoteRelays)])
}

// updateGate opens or closes the gate according to the states of the backend server, the zone and the daemon.
func (coordinator *Coordinator) updateGate() {
	latest, ok := coordinator.config.Assigner.Latest()
	coordinator.ownership.Store(coordinator.config.Assigner.Ownership())
	gate := coordinator.config.Gate
	switch {
	case !ok:
		gate.Close(lagoonlanding.ReasonNoUpstream)
	case coordinator.isDraining() && !coordinator.isDivided(latest.Service()):
		gate.Close(lagoonlanding.ReasonShuttingDown)
	case coordinator.isEvacuated(coordinator.config.Self.AvailabilityZone()) && !coordinator.isDivided(latest.Service()):
		gate.Close(lagoonlanding.ReasonNotReady)
	default:
		gate.Open(coordinator.config.Assigner.ID(), latest.Slots(), latest.WarmAt(), coordinator.coldRate(latest.Service()))
		switch {
		case coordinator.isDraining():
			gate.CloseAt(coordinator.departure.Deadline(), lagoonlanding.ReasonShuttingDown)
		case coordinator.isEvacuated(coordinator.config.Self.AvailabilityZone()):
			gate.CloseAt(coordinator.evacuated[coordinator.config.Self.AvailabilityZone()].Add(coordinator.config.EvacuateTerm), lagoonlanding.ReasonNotReady)
		case coordinator.stopping && !coordinator.isDivided(latest.Service()):
			gate.CloseAt(coordinator.stopDeadline, lagoonlanding.ReasonShuttingDown)
		}
	}
}

// isEvacuated reports whether a zone is evacuated.
func (coordinator *Coordinator) isEvacuated(zone string) bool {
	_, ok := coordinator.evacuated[zone]
	return ok
}

// isDivided reports whether a service is sharded by key, so that a draining backend server serves its keys until they have moved.
func (coordinator *Coordinator) isDivided(service string) bool {
	if coordinator.routing == nil {
		return false
	}
	policy, ok := coordinator.routing.Service(service)
	return ok && policy.IsDivided()
}

// defaultColdRate is the rate of a cold backend server, in tasks per second, while the policy of its service is not known.
const defaultColdRate = 1

func (coordinator *Coordinator) coldRate(service string) float64 {
	if coordinator.routing == nil {
		return defaultColdRate
	}
	policy, ok := coordinator.routing.Service(service)
	if !ok {
		return defaultColdRate
	}
	return policy.ColdRate()
}

// ApplyDirective applies an entry that an operator wrote: a configuration or the evacuation of a zone.
func (coordinator *Coordinator) ApplyDirective(now time.Time, directive lagoonlanding.Directive) {
	delete(coordinator.restoreAt, directive.EvacuatedZone())
	switch {
	case directive.Routing() != nil:
		coordinator.applyRouting(directive.Routing())
	case directive.EvacuatedZone() != "" && !coordinator.isEvacuated(directive.EvacuatedZone()):
		coordinator.evacuated[directive.EvacuatedZone()] = now
		coordinator.config.Log.WithField("zone", directive.EvacuatedZone()).Info("Zone is evacuated.")
	}
	coordinator.publish()
}

// applyRouting makes a configuration the current one unless it is not newer.
func (coordinator *Coordinator) applyRouting(routing *lagoonlanding.Routing) {
	log := coordinator.config.Log.WithField("version", routing.Version())
	if coordinator.routing != nil && routing.Version() <= coordinator.routing.Version() {
		log.WithField("current", coordinator.routing.Version()).Debug("Older configuration ignored.")
		return
	}
	coordinator.routing = routing
	log.Info("Configuration is in force.")
}

// RestoreZone ends the evacuation of a zone.
func (coordinator *Coordinator) RestoreZone(zone string) {
	delete(coordinator.restoreAt, zone)
	if coordinator.isEvacuated(zone) {
		delete(coordinator.evacuated, zone)
		coordinator.config.Log.WithField("zone", zone).Info("Zone is no longer evacuated.")
		coordinator.publish()
	}
}

// IsReady reports whether the daemon can serve: it knows the configuration and the fleet, and is not stopping.
func (coordinator *Coordinator) IsReady() bool {
	return coordinator.routing != nil && coordinator.viewRevision > 0 && !coordinator.stopping
}

// stopAcceptTerm is how long a stopping daemon still accepts tasks that others could run: clients move away within two seconds, and the
// accepted tasks should have ended by then.
const stopAcceptTerm = 1200 * time.Millisecond

// Stop records that the daemon is shutting down and must have answered all tasks by the given time. Tasks of sharded services are accepted
// as long as they can end before, since no other backend server owns their keys.
func (coordinator *Coordinator) Stop(now, answerBy time.Time) {
	coordinator.stopping, coordinator.stopDeadline = true, now.Add(stopAcceptTerm)
	coordinator.config.Gate.EndBy(answerBy)
	coordinator.updateGate()
}
