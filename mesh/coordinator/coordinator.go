package coordinator

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
	"lagoonlanding.example/lagoonlanding/mesh/grantor"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
)

// Config holds what a Coordinator is built from.
type Config struct {
	// Self is the daemon without a backend server.
	Self lagoonlanding.Backend
	// Fleet knows the daemons.
	Fleet *registrar.Fleet
	// Grantor knows the backend server beside the daemon.
	Grantor *grantor.Grantor
	// Gate admits tasks to the backend server.
	Gate lagoonlanding.Gate
	// DrainTerm is how long a backend server that is about to leave still gets tasks that nobody else can take, and EvacuateTerm how long
	// one in a zone that is evacuated does.
	DrainTerm, EvacuateTerm time.Duration
	// Quarantine knows the requests that crash backend servers.
	Quarantine *quarantiner.Quarantine
	// Log takes one line for each change of what the daemon believes.
	Log *logrus.Entry
}

// kept is an allotment with the store's revision of it.
type kept struct {
	allotment *allocator.Allotment
	revision  uint64
}

// Coordinator is the control state of a daemon; only the control thread calls its methods, Snapshot apart.
type Coordinator struct {
	config  Config
	session registrar.Session

	routing *lagoonlanding.Routing
	// evacuated are the evacuated zones, each with when it was known as such.
	evacuated  map[string]time.Time
	allotments map[string]kept
	// view is the store's revision up to which the fleet's entries are known.
	view     uint64
	stopping bool
	// partsAt is when a daemon that stops takes no more tasks for a backend server that others can stand in for.
	partsAt  time.Time
	departed map[string]bool
	// left is the life that was last known to leave, and leavesAt when it gets nothing more.
	left     lagoonlanding.BackendID
	leavesAt time.Time
	// published is the registration as it was last written.
	published lagoonlanding.Backend
	needs     map[string]time.Time
	// crashed says that the quarantine has learned of a crash that other daemons do not know.
	crashed bool
	// rests are the services whose allotment was found to hold.
	rests map[string]rest
	// generation counts the changes from which plans follow.
	generation uint64
	writeAt    time.Time
	writing    bool
	// unanswered counts the writes in a row that the store did not answer.
	unanswered int
	// detoured says that the last renewal went through another daemon.
	detoured bool
	// sentAt is when the registration that was written last was sent.
	sentAt  time.Time
	started time.Time

	snapshot atomic.Pointer[Snapshot]
	holding  atomic.Pointer[grantor.Holding]
}

// New returns the control state of a daemon that has just started.
func New(now time.Time, config Config) *Coordinator {
	coordinator := &Coordinator{
		config: config, evacuated: map[string]time.Time{}, allotments: map[string]kept{}, departed: map[string]bool{},
		needs: map[string]time.Time{}, rests: map[string]rest{}, started: now,
	}
	coordinator.publish()
	return coordinator
}

// Snapshot returns what traffic reads; any goroutine may call it.
func (coordinator *Coordinator) Snapshot() *Snapshot { return coordinator.snapshot.Load() }

// Holding returns which keys the backend server holds; any goroutine may call it.
func (coordinator *Coordinator) Holding() *grantor.Holding { return coordinator.holding.Load() }

// rest says that an allotment holds until a change, or until a daemon counts as gone.
type rest struct {
	generation uint64
	until      time.Time
}

// publish replaces the snapshot after a change.
func (coordinator *Coordinator) publish() {
	coordinator.generation++
	allotments := make(map[string]*allocator.Allotment, len(coordinator.allotments))
	for service, kept := range coordinator.allotments {
		allotments[service] = kept.allotment
	}
	evacuated := make(map[string]bool, len(coordinator.evacuated))
	for zone := range coordinator.evacuated {
		evacuated[zone] = true
	}
	coordinator.snapshot.Store(NewSnapshot(SnapshotConfig{
		Routing: coordinator.routing, Revision: coordinator.view, Backends: coordinator.config.Fleet.Backends(), Allotments: allotments, Evacuated: evacuated,
		Relays: coordinator.relays(),
	}))
	coordinator.steer()
}

const (
	// nearRelays is how many daemons of the zone are asked before the store: one passes news on, the others are there for its loss.
	nearRelays = 3
	// farRelays is how many daemons of other zones are asked after the store, by those that it does not answer.
	farRelays = 2
)

// relays returns the daemons from which this one hears of changes, the preferred one first; itself stands for the store.
//
// The first daemon of each zone by name watches the store, so that its calls grow with the zones and not with the daemons.
func (coordinator *Coordinator) relays() []lagoonlanding.Backend {
	var near, region, far []lagoonlanding.Backend
	self := coordinator.config.Self
	leads := map[string]bool{self.AvailabilityZone(): true}
	for _, backend := range coordinator.config.Fleet.Registered() {
		zone := backend.AvailabilityZone()
		switch {
		case zone == self.AvailabilityZone():
			if len(near) < nearRelays && backend.ID().Daemon() < self.ID().Daemon() {
				near = append(near, backend)
			}
		case leads[zone]:
		case backend.Region() == self.Region():
			region = append(region, backend)
		default:
			far = append(far, backend)
		}
		leads[zone] = true
	}
	others := slices.Concat(region, far)
	return slices.Concat(near, []lagoonlanding.Backend{self}, others[:min(len(others), farRelays)])
}

// steer opens or closes the gate as the backend server's state and the zone's ask.
func (coordinator *Coordinator) steer() {
	latest, ok := coordinator.config.Grantor.Latest()
	coordinator.holding.Store(coordinator.config.Grantor.Holding())
	gate := coordinator.config.Gate
	switch {
	case !ok:
		gate.Close(lagoonlanding.ReasonNoUpstream)
	case coordinator.isLeaving(latest) && !coordinator.isDivided(latest.Service()):
		gate.Close(lagoonlanding.ReasonShuttingDown)
	case coordinator.isEvacuated(coordinator.config.Self.AvailabilityZone()) && !coordinator.isDivided(latest.Service()):
		gate.Close(lagoonlanding.ReasonNotReady)
	default:
		gate.Open(coordinator.config.Grantor.ID(), latest.Slots(), latest.WarmAt(), coordinator.coldRate(latest.Service()))
		switch {
		case coordinator.isLeaving(latest):
			gate.CloseAt(coordinator.leavesAt, lagoonlanding.ReasonShuttingDown)
		case coordinator.isEvacuated(coordinator.config.Self.AvailabilityZone()):
			gate.CloseAt(coordinator.evacuated[coordinator.config.Self.AvailabilityZone()].Add(coordinator.config.EvacuateTerm), lagoonlanding.ReasonNotReady)
		case coordinator.stopping && !coordinator.isDivided(latest.Service()):
			gate.CloseAt(coordinator.partsAt, lagoonlanding.ReasonShuttingDown)
		}
	}
}

func (coordinator *Coordinator) isEvacuated(zone string) bool {
	_, ok := coordinator.evacuated[zone]
	return ok
}

// isDivided reports whether a service is divided by key, so that the tasks of a backend server that leaves wait for their keys to move.
func (coordinator *Coordinator) isDivided(service string) bool {
	if coordinator.routing == nil {
		return false
	}
	terms, ok := coordinator.routing.Service(service)
	return ok && terms.IsDivided()
}

// leave notes when the backend server beside the daemon was first known to leave.
func (coordinator *Coordinator) leave(now time.Time, id lagoonlanding.BackendID) {
	if coordinator.left != id {
		coordinator.left, coordinator.leavesAt = id, now.Add(coordinator.config.DrainTerm)
	}
}

// unknownColdRate is the pace of a cold backend server, in tasks a second, while its service's terms are not known.
const unknownColdRate = 1

func (coordinator *Coordinator) coldRate(service string) float64 {
	if coordinator.routing == nil {
		return unknownColdRate
	}
	terms, ok := coordinator.routing.Service(service)
	if !ok {
		return unknownColdRate
	}
	return terms.ColdRate()
}

func (coordinator *Coordinator) isLeaving(latest lagoonlanding.Announcement) bool {
	return latest.State() != lagoonlanding.BackendReady || coordinator.departed[latest.Name()]
}

// Direct takes in what operators wrote under a key of theirs.
func (coordinator *Coordinator) Direct(now time.Time, directive lagoonlanding.Directive) {
	switch {
	case directive.Routing() != nil:
		coordinator.adopt(directive.Routing())
	case directive.EvacuatedZone() != "" && !coordinator.isEvacuated(directive.EvacuatedZone()):
		coordinator.evacuated[directive.EvacuatedZone()] = now
		coordinator.config.Log.WithField("zone", directive.EvacuatedZone()).Info("Zone is evacuated.")
	}
	coordinator.publish()
}

// adopt takes a publication into force unless it is older than the present one.
func (coordinator *Coordinator) adopt(routing *lagoonlanding.Routing) {
	log := coordinator.config.Log.WithField("version", routing.Version())
	if coordinator.routing != nil && routing.Version() <= coordinator.routing.Version() {
		log.WithField("current", coordinator.routing.Version()).Debug("Older configuration ignored.")
		return
	}
	coordinator.routing = routing
	log.Info("Configuration is in force.")
}

// Restore takes back the evacuation of a zone.
func (coordinator *Coordinator) Restore(zone string) {
	if coordinator.isEvacuated(zone) {
		delete(coordinator.evacuated, zone)
		coordinator.config.Log.WithField("zone", zone).Info("Zone is back.")
		coordinator.publish()
	}
}

// IsReady reports whether the daemon can serve: it knows the configuration and the fleet, and does not stop.
func (coordinator *Coordinator) IsReady() bool {
	return coordinator.routing != nil && coordinator.view > 0 && !coordinator.stopping
}

// partTerm is how long a daemon that stops still takes tasks that others could: clients leave it within two seconds, and what it has
// taken should have ended by then.
const partTerm = 1200 * time.Millisecond

// Stop notes that the daemon is about to end; tasks of divided services are taken until then, since no other backend server holds their keys.
func (coordinator *Coordinator) Stop(now time.Time) {
	coordinator.stopping, coordinator.partsAt = true, now.Add(partTerm)
	coordinator.steer()
}
