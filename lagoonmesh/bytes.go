package main

// The kinds of exchanges whose bytes are counted.
const (
	// kindTask exchanges are tasks for other daemons, with their answers.
	kindTask = "task"
	// kindControl exchanges are changes relayed by other daemons, and calls to the store through them.
	kindControl = "control"
	// kindStore exchanges are calls to the store.
	kindStore = "store"
	// kindBackend exchanges are tasks for the daemon's own backend server.
	kindBackend = "backend"
)

// The distances of the other end of an exchange.
const (
	distanceZone    = "zone"
	distanceRegion  = "region"
	distanceRegions = "other-region"
	distanceUnknown = "unknown"
)

// countBytes counts the bytes of an exchange by its kind and the distance of the other end.
func (daemon *daemon) countBytes(kind, address string, sent, received int) {
	distance := distanceUnknown
	switch address {
	case daemon.settings.StoreAddress():
		kind = kindStore
	case daemon.settings.BackendAddress():
		kind, distance = kindBackend, distanceZone
	default:
		if peer, ok := daemon.coordinator.Snapshot().At(address); ok {
			distance = daemon.distanceOf(peer.AvailabilityZone(), peer.Region())
		}
	}
	if distance == distanceRegions {
		daemon.countCrossing(kind, sent+received)
	}
	daemon.recorder.Transferred(kind, distance, sent, received)
}

func (daemon *daemon) distanceOf(zone, region string) string {
	switch {
	case zone == daemon.settings.AvailabilityZone():
		return distanceZone
	case region == daemon.settings.Region():
		return distanceRegion
	}
	return distanceRegions
}
