package controller

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// TickInterval is the time between two calls of Tick.
const TickInterval = 100 * time.Millisecond

// watchPause is the least time between the end of a watch of the store and the next.
const watchPause = 200 * time.Millisecond

// Tick does what time alone makes due.
func (controller *Controller) Tick(now time.Time) {
	for _, id := range controller.groupIDs() {
		controller.tickGroup(now, controller.groups[id])
	}
	controller.tendMembership(now)
	controller.tendWatch(now)
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
	controller.askClearances(now, group)
	if controller.isActing(now, group) {
		controller.coordinate(now, group)
	}
}

// tendWatch keeps one read of the store waiting if this instance must learn from the store itself.
func (controller *Controller) tendWatch(now time.Time) {
	if !controller.mustWatch(now) {
		// Others tell the news, so an earlier failure says nothing any more.
		controller.blind = false
		return
	}
	if now.Before(controller.nextWatch) {
		return
	}
	if controller.blind {
		controller.probe(now)
		return
	}
	if !controller.watching {
		controller.watching = true
		controller.outbox.watch = true
	}
}

// probe reads one entry of a store that failed a call; a watch would not tell that the store is back until something changes.
func (controller *Controller) probe(now time.Time) {
	controller.nextWatch = now.Add(storeRetryInterval)
	controller.outbox.reads = append(controller.outbox.reads, lagoonlanding.SetKey)
}

// sawStore notes that the store answered.
func (controller *Controller) sawStore() { controller.blind = false }

// missedStore notes that the store did not answer.
func (controller *Controller) missedStore(now time.Time, err error) {
	if !controller.blind {
		controller.fail(fmt.Errorf("reach the store: %w", err))
	}
	controller.blind = true
	controller.nextWatch = now.Add(storeRetryInterval)
}

// mustWatch reports whether no other instance tells this one the news of the store.
func (controller *Controller) mustWatch(now time.Time) bool {
	isMember := false
	for _, group := range controller.groups {
		if controller.isActing(now, group) {
			return true
		}
		isMember = isMember || group.holder != nil || group.isWitness()
	}
	return !isMember
}

// Revision returns the store revision up to which this instance knows the directory.
func (controller *Controller) Revision() uint64 { return controller.directory.revision }

// Watched takes the end of a read of the store.
func (controller *Controller) Watched(now time.Time, listing lagoonlanding.Listing, err error) {
	controller.watching = false
	if err != nil {
		controller.missedStore(now, err)
		return
	}
	controller.sawStore()
	controller.learnListing(now, listing)
	// Every write wakes all watches, so at a zone's loss the store would get as many calls for each write as there are groups.
	controller.nextWatch = now.Add(watchPause)
}

// IsBlind reports whether the last read of the store failed.
func (controller *Controller) IsBlind() bool { return controller.blind }

// Fetched takes another instance's answer to a directory request.
func (controller *Controller) Fetched(now time.Time, reply lagoonlanding.DirectoryReply, err error) {
	controller.fetchEnds = time.Time{}
	if err != nil {
		return
	}
	controller.fetchAll = false
	controller.learnListing(now, reply.Listing())
}

func (controller *Controller) learnListing(now time.Time, listing lagoonlanding.Listing) {
	for _, entry := range listing.Entries() {
		controller.learn(now, entry)
	}
	if controller.fetchAll {
		return // The set of this revision is not known yet.
	}
	controller.directory.revision = max(controller.directory.revision, listing.Revision())
}

func (controller *Controller) learn(now time.Time, entry lagoonlanding.Entry) {
	news, err := controller.directory.learn(entry)
	if err != nil {
		controller.fetchAll = controller.fetchAll || entry.Key() == lagoonlanding.SetDifferenceKey
		controller.fail(err)
		return
	}
	if news.isGroup {
		controller.learnRecord(now, news.record.WithRevision(entry.Revision()))
	}
}
