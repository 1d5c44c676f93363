package controller

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// TickInterval is the time between two calls of Tick.
const TickInterval = 100 * time.Millisecond

// minWatchDelay is the minimum time between the end of a watch of the store and the start of the next.
const minWatchDelay = 200 * time.Millisecond

// Tick performs the periodic work: renewals, coordination, group membership and the watch of the store.
func (controller *Controller) Tick(now time.Time) {
	for _, id := range controller.groupIDs() {
		controller.tickGroup(now, controller.groups[id])
	}
	controller.updateMembership(now)
	controller.updateWatch(now)
}

func (controller *Controller) tickGroup(now time.Time, group *group) {
	if !now.Before(group.nextRenew) {
		controller.renew(now, group)
	}
	if group.holder != nil {
		before := group.holder.Released()
		group.holder.Advance(now)
		if group.holder.Released() != before {
			controller.renew(now, group)
		}
	}
	controller.requestClearances(now, group)
	if controller.isCoordinator(now, group) {
		controller.coordinate(now, group)
	}
}

// updateWatch keeps a watch of the store pending if no other instance forwards the store's changes.
func (controller *Controller) updateWatch(now time.Time) {
	if !controller.needsWatch(now) {
		// Changes arrive through other instances, so an earlier failure of the store no longer matters.
		controller.disconnected = false
		return
	}
	if now.Before(controller.nextWatch) {
		return
	}
	if controller.disconnected {
		controller.probeStore(now)
		return
	}
	if !controller.watchPending {
		controller.watchPending = true
		controller.outbox.watch = true
	}
}

// probeStore reads one entry to check whether the store is reachable again; a watch would not return before the next change.
func (controller *Controller) probeStore(now time.Time) {
	controller.nextWatch = now.Add(storeRetryInterval)
	controller.outbox.reads = append(controller.outbox.reads, lagoonlanding.SetKey)
}

// markStoreReachable records that the store has responded.
func (controller *Controller) markStoreReachable() { controller.disconnected = false }

// markStoreUnreachable records that a call to the store has failed.
func (controller *Controller) markStoreUnreachable(now time.Time, err error) {
	if !controller.disconnected {
		controller.addFailure(fmt.Errorf("call the store: %w", err))
	}
	controller.disconnected = true
	controller.nextWatch = now.Add(storeRetryInterval)
}

// needsWatch reports whether this instance must watch the store: as a coordinator, or because it has no role in any group.
func (controller *Controller) needsWatch(now time.Time) bool {
	isMember := false
	for _, group := range controller.groups {
		if controller.isCoordinator(now, group) {
			return true
		}
		isMember = isMember || group.holder != nil || group.isWitness()
	}
	return !isMember
}

// Revision returns the store revision that the directory has reached.
func (controller *Controller) Revision() uint64 { return controller.directory.revision }

// Watched handles the result of a watch of the store.
func (controller *Controller) Watched(now time.Time, listing lagoonlanding.Listing, err error) {
	controller.watchPending = false
	if err != nil {
		controller.markStoreUnreachable(now, err)
		return
	}
	controller.markStoreReachable()
	controller.applyListing(now, listing)
	// Each write ends all watches; after the failure of a zone, the store would receive as many calls per write as there are groups.
	controller.nextWatch = now.Add(minWatchDelay)
}

// IsDisconnected reports whether the last call to the store failed.
func (controller *Controller) IsDisconnected() bool { return controller.disconnected }

// Fetched handles another instance's reply to a directory request.
func (controller *Controller) Fetched(now time.Time, reply lagoonlanding.DirectoryReply, err error) {
	controller.fetchDeadline = time.Time{}
	if err != nil {
		return
	}
	controller.fetchAll = false
	controller.applyListing(now, reply.Listing())
}

func (controller *Controller) applyListing(now time.Time, listing lagoonlanding.Listing) {
	for _, entry := range listing.Entries() {
		controller.applyEntry(now, entry)
	}
	if controller.fetchAll {
		return // The published set of this revision is still missing.
	}
	controller.directory.revision = max(controller.directory.revision, listing.Revision())
}

func (controller *Controller) applyEntry(now time.Time, entry lagoonlanding.Entry) {
	update, err := controller.directory.applyEntry(entry)
	if err != nil {
		controller.fetchAll = controller.fetchAll || entry.Key() == lagoonlanding.SetDifferenceKey
		controller.addFailure(err)
		return
	}
	if update.isGroup {
		controller.applyRecord(now, update.record.WithRevision(entry.Revision()))
	}
}
