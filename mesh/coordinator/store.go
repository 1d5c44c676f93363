package coordinator

import (
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// Key prefixes of the fleet's entries in the store.
const (
	// FleetPrefix is the key prefix of all state that the daemons share.
	FleetPrefix = lagoonlanding.StorePrefix + "fleet/"
	// daemonPrefix is the key prefix of registrations.
	daemonPrefix = FleetPrefix + "daemons/"
	// allotmentPrefix is the key prefix of allotments.
	allotmentPrefix = FleetPrefix + "allotments/"
)

// ZonePrefix returns the key prefix under which the daemons of a zone write their peer addresses, for discovery by starting daemons.
func ZonePrefix(zone string) string { return lagoonlanding.StorePrefix + "zones/" + zone + "/" }

// RegistrationKey returns the store key of the daemon's registration.
func (coordinator *Coordinator) RegistrationKey() string {
	return daemonPrefix + coordinator.config.Self.ID().Daemon()
}

// Apply applies changes of the fleet's entries.
func (coordinator *Coordinator) Apply(now time.Time, list lagoonlanding.ChangeList) {
	coordinator.BeginEra(now, lagoonlanding.EraOf(list.Revision()))
	for _, change := range list.Changes() {
		coordinator.apply(now, change)
	}
	coordinator.viewRevision = max(coordinator.viewRevision, list.Revision())
	coordinator.verifyWritten()
	coordinator.publish()
}

// Replace applies a full listing of the fleet's entries, requested from the store at the given time. The time is zero if the listing
// came from another daemon; such a listing doesn't verify the registration.
func (coordinator *Coordinator) Replace(now, requested time.Time, listing lagoonlanding.Listing) {
	coordinator.BeginEra(now, lagoonlanding.EraOf(listing.Revision()))
	listed := map[string]bool{}
	ownRevision := uint64(0)
	for _, entry := range listing.Entries() {
		listed[entry.Key()] = true
		coordinator.apply(now, lagoonlanding.NewChange(entry, false))
		if entry.Key() == coordinator.RegistrationKey() {
			ownRevision = entry.Revision()
		}
	}
	for _, name := range coordinator.config.Fleet.Names() {
		if !listed[daemonPrefix+name] && coordinator.config.Fleet.Unregister(now, name, listing.Revision()) {
			coordinator.config.Log.WithField("daemon", name).Warn("Daemon is no longer registered.")
		}
	}
	coordinator.viewRevision = max(coordinator.viewRevision, listing.Revision())
	if !requested.IsZero() {
		coordinator.session.Verify(requested, ownRevision)
	}
	coordinator.config.Fleet.SetComplete(now)
	coordinator.publish()
}

// SetConnected records whether changes of the fleet are being received; assignments of unregistered daemons expire only while they are.
func (coordinator *Coordinator) SetConnected(now time.Time, isConnected bool) {
	switch {
	case !isConnected:
		coordinator.config.Fleet.SetIncomplete()
	case !coordinator.config.Fleet.IsComplete():
		coordinator.config.Fleet.SetComplete(now)
	}
}

func (coordinator *Coordinator) apply(now time.Time, change lagoonlanding.Change) {
	entry := change.Entry()
	if name, ok := strings.CutPrefix(entry.Key(), daemonPrefix); ok {
		coordinator.applyDaemon(now, name, change)
		return
	}
	if change.IsRemoved() {
		return
	}
	if strings.HasPrefix(entry.Key(), allotmentPrefix) {
		coordinator.applyAllotment(entry)
	}
	if strings.HasPrefix(entry.Key(), suspectPrefix) && entry.Key() != suspectPrefix+coordinator.config.Self.ID().Daemon() {
		coordinator.applySuspects(now, entry)
	}
}

func (coordinator *Coordinator) applyDaemon(now time.Time, name string, change lagoonlanding.Change) {
	log := coordinator.config.Log.WithField("daemon", name).WithField("revision", change.Entry().Revision())
	if name == coordinator.config.Self.ID().Daemon() {
		coordinator.observeRegistration(change)
	}
	if change.IsRemoved() {
		if coordinator.config.Fleet.Unregister(now, name, change.Entry().Revision()) {
			log.Warn("Daemon is no longer registered.")
		}
		return
	}
	backend, err := registrar.Codec{}.Decode(change.Entry())
	if err != nil {
		log.WithError(err).Warn("Invalid registration ignored.")
		return
	}
	if coordinator.config.Fleet.Register(now, backend, change.Entry().Revision()) {
		log.WithField("backend-server", backend.ID().String()).WithField("state", backend.State()).Info("Registration updated.")
	}
}

func (coordinator *Coordinator) applyAllotment(entry lagoonlanding.Entry) {
	allotment, err := allocator.Codec{}.Decode(entry)
	if err != nil {
		coordinator.config.Log.WithField("key", entry.Key()).WithError(err).Warn("Invalid allotment ignored.")
		return
	}
	known, ok := coordinator.allotments[allotment.Service()]
	if ok && entry.Revision() <= known.revision {
		return
	}
	if era := lagoonlanding.EraOf(entry.Revision()); ok && era > 0 && !allotment.Supersedes(known.allotment, era) {
		coordinator.keepAllotment(known, allotment, entry.Revision())
		return
	}
	coordinator.allotments[allotment.Service()] = storedAllotment{allotment: allotment, revision: entry.Revision()}
	delete(coordinator.planNeededSince, allotment.Service())
	coordinator.config.Log.WithField("service", allotment.Service()).WithField("version", allotment.Version()).
		WithField("revision", entry.Revision()).Info("Allotment updated.")
}
