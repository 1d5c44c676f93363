package coordinator

import (
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
	"lagoonlanding.example/lagoonlanding/mesh/registrar"
)

// The names of the fleet's entries in the store.
const (
	// FleetPrefix starts the keys of everything that the daemons share.
	FleetPrefix = lagoonlanding.StorePrefix + "fleet/"
	// daemonPrefix starts the keys of registrations.
	daemonPrefix = FleetPrefix + "daemons/"
	// allotmentPrefix starts the keys of allotments.
	allotmentPrefix = FleetPrefix + "allotments/"
)

// ZonePrefix starts the keys under which the daemons of a zone write their peer addresses, for those that have just started.
func ZonePrefix(zone string) string { return lagoonlanding.StorePrefix + "zones/" + zone + "/" }

// OwnKey returns the key of the daemon's registration.
func (coordinator *Coordinator) OwnKey() string {
	return daemonPrefix + coordinator.config.Self.ID().Daemon()
}

// Apply takes in changes of the fleet's entries.
func (coordinator *Coordinator) Apply(now time.Time, list lagoonlanding.ChangeList) {
	for _, change := range list.Changes() {
		coordinator.apply(now, change)
	}
	coordinator.view = max(coordinator.view, list.Revision())
	coordinator.verifyWritten()
	coordinator.publish()
}

// Replace takes in a whole listing of the fleet's entries, which the store itself was asked for at the given time; zero if another
// daemon told it, which proves nothing about the registration.
func (coordinator *Coordinator) Replace(now, asked time.Time, listing lagoonlanding.Listing) {
	listed := map[string]bool{}
	own := uint64(0)
	for _, entry := range listing.Entries() {
		listed[entry.Key()] = true
		coordinator.apply(now, lagoonlanding.NewChange(entry, false))
		if entry.Key() == coordinator.OwnKey() {
			own = entry.Revision()
		}
	}
	for _, name := range coordinator.config.Fleet.Names() {
		if !listed[daemonPrefix+name] && coordinator.config.Fleet.Unregister(now, name, listing.Revision()) {
			coordinator.config.Log.WithField("daemon", name).Warn("Daemon is no longer registered.")
		}
	}
	coordinator.view = max(coordinator.view, listing.Revision())
	if !asked.IsZero() {
		coordinator.session.Verify(asked, own)
	}
	coordinator.config.Fleet.Settle(now)
	coordinator.publish()
}

// Connect notes whether the view of the store's entries goes on; absences of daemons count from when it does.
func (coordinator *Coordinator) Connect(now time.Time, isConnected bool) {
	switch {
	case !isConnected:
		coordinator.config.Fleet.Unsettle()
	case !coordinator.config.Fleet.IsSettled():
		coordinator.config.Fleet.Settle(now)
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
	if change.IsRemoved() {
		if coordinator.config.Fleet.Unregister(now, name, change.Entry().Revision()) {
			log.Warn("Daemon is no longer registered.")
		}
		if name == coordinator.config.Self.ID().Daemon() && change.Entry().Revision() > coordinator.session.Revision() {
			coordinator.session.Unregister()
		}
		return
	}
	backend, err := registrar.Codec{}.Decode(change.Entry())
	if err != nil {
		log.WithError(err).Warn("Unreadable registration ignored.")
		return
	}
	if coordinator.config.Fleet.Register(backend, change.Entry().Revision()) {
		log.WithField("backend-server", backend.ID().String()).WithField("state", backend.State()).Info("Daemon is registered.")
	}
}

func (coordinator *Coordinator) applyAllotment(entry lagoonlanding.Entry) {
	allotment, err := allocator.Codec{}.Decode(entry)
	if err != nil {
		coordinator.config.Log.WithField("key", entry.Key()).WithError(err).Warn("Unreadable allotment ignored.")
		return
	}
	known, ok := coordinator.allotments[allotment.Service()]
	if ok && entry.Revision() <= known.revision {
		return
	}
	coordinator.allotments[allotment.Service()] = kept{allotment: allotment, revision: entry.Revision()}
	delete(coordinator.needs, allotment.Service())
	coordinator.config.Log.WithField("service", allotment.Service()).WithField("version", allotment.Version()).
		WithField("revision", entry.Revision()).Info("Allotment of keys is known.")
}
