package controller

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/ownership/granter"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
	"lagoonlanding.example/lagoonlanding/ownership/holder"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

const (
	// storeRetryInterval is the time between two tries to reach a store that does not answer.
	storeRetryInterval = 500 * time.Millisecond
	// joinInterval is the time between two requests to join or to leave a group.
	joinInterval = 500 * time.Millisecond
	// loadInterval is the time between two reports of the busiest shards.
	loadInterval = 3 * time.Second
	// fetchTimeout is when a directory request is taken for lost.
	fetchTimeout = time.Second
	// defaultLongestRun bounds a request's run while the published set is not known.
	defaultLongestRun = 30 * time.Second
)

// Config holds what a Controller works with.
type Config struct {
	// Self is this instance; its service is empty until its backend server has announced itself.
	Self lagoonlanding.Instance
	// Now is the time at which the process started.
	Now time.Time
	// Placer derives the owners of the shards.
	Placer lagoonlanding.Placer
	// Records is the codec of the groups' records.
	Records lagoonlanding.Codec[lagoonlanding.Record]
	// Sets is the codec of the published set.
	Sets lagoonlanding.Codec[*publisher.Set]
	// Differences makes differences between published sets for other instances; nil to send whole sets.
	Differences lagoonlanding.Differ[*publisher.Set]
	// Loads returns this instance's busiest shards of a group; nil for none.
	Loads func(lagoonlanding.GroupID) []lagoonlanding.ShardLoad
}

// Controller is the control state of one instance; one thread at a time calls it.
type Controller struct {
	config    Config
	directory *directory
	groups    map[lagoonlanding.GroupID]*group
	outbox    Outbox
	failures  []error
	written   []lagoonlanding.Record
	// watching says that a read of the store is under way.
	watching  bool
	blind     bool
	nextWatch time.Time
	fetchEnds time.Time
	// fetchAll says that a difference could not be applied, so that the next fetch asks for everything.
	fetchAll bool
	// withdrawn says that the backend server is gone, stopping that the process ends.
	withdrawn bool
	stopping  bool
}

// New returns the control state of an instance that knows nothing yet.
func New(config Config) *Controller {
	return &Controller{
		config:    config,
		directory: newDirectory(config),
		groups:    make(map[lagoonlanding.GroupID]*group),
	}
}

// Self returns this instance.
func (controller *Controller) Self() lagoonlanding.Instance { return controller.config.Self }

func (controller *Controller) id() lagoonlanding.InstanceID { return controller.config.Self.ID() }

// Announce notes that the backend server beside this instance runs the service and takes work.
func (controller *Controller) Announce(now time.Time, service string) {
	self := controller.config.Self
	if self.Service() == service && !controller.withdrawn {
		return
	}
	controller.config.Self = self.WithService(service)
	controller.withdrawn = false
	controller.Tick(now)
}

// Withdraw hands all shards over until the backend server announces itself again.
func (controller *Controller) Withdraw(now time.Time) {
	if !controller.withdrawn {
		controller.withdrawn = true
		controller.leaveSoon()
		controller.Tick(now)
	}
}

// Leave hands all shards over and gives up all roles for good.
func (controller *Controller) Leave(now time.Time) {
	controller.stopping = true
	controller.leaveSoon()
	controller.Tick(now)
}

func (controller *Controller) isLeaving() bool { return controller.stopping || controller.withdrawn }

func (controller *Controller) leaveSoon() {
	for _, group := range controller.groups {
		group.nextJoin = time.Time{}
	}
}

// HasLeft reports whether no group's newest layout names this instance in a role that another instance could take.
func (controller *Controller) HasLeft() bool {
	for _, group := range controller.groups {
		record, ok := controller.directory.record(group.id)
		if !ok {
			continue
		}
		if group.holder != nil && controller.hasHeir(record.Current()) {
			return false
		}
		if group.isWitness() && controller.hasSpareWitness(record.Current()) {
			return false
		}
	}
	return true
}

// hasHeir reports whether another member may own this instance's shards.
func (controller *Controller) hasHeir(layout lagoonlanding.Layout) bool {
	return slices.ContainsFunc(layout.Members(), func(member lagoonlanding.Member) bool {
		return member.ID() != controller.id() && member.State() == lagoonlanding.MemberActive
	})
}

// hasSpareWitness reports whether an instance that is no witness yet could become one.
func (controller *Controller) hasSpareWitness(layout lagoonlanding.Layout) bool {
	return slices.ContainsFunc(controller.directory.instances(), func(instance lagoonlanding.Instance) bool {
		return !layout.HasWitness(instance.ID())
	})
}

// TakeOutbox returns what there is to do and empties the outbox.
func (controller *Controller) TakeOutbox() Outbox {
	outbox := controller.outbox
	controller.outbox = Outbox{}
	return outbox
}

// TakeFailures returns what went wrong since the last call, for the log.
func (controller *Controller) TakeFailures() []error {
	failures := controller.failures
	controller.failures = nil
	return failures
}

// TakeWritten returns the records that this instance has written since the last call, for the log.
func (controller *Controller) TakeWritten() []lagoonlanding.Record {
	written := controller.written
	controller.written = nil
	return written
}

func (controller *Controller) fail(err error) {
	controller.failures = append(controller.failures, err)
}

// Snapshot returns what traffic needs to know.
func (controller *Controller) Snapshot() *router.Snapshot {
	holdings := make(map[lagoonlanding.GroupID]router.Holding, len(controller.groups))
	for id, group := range controller.groups {
		if group.holder == nil {
			continue
		}
		holdings[id] = router.NewHolding(router.HoldingConfig{
			Version: group.holder.Version(), Deadline: group.holder.Deadline(),
			Tokens: group.holder.Tokens(), Since: group.holder.Since(),
		})
	}
	return router.NewSnapshot(router.SnapshotConfig{
		Self: controller.config.Self, Set: controller.directory.set, Revision: controller.directory.revision,
		Groups: controller.directory.groups, Changes: controller.directory.changes, Holdings: holdings, Leaving: controller.isLeaving(),
	})
}

func (controller *Controller) group(id lagoonlanding.GroupID) *group {
	known, ok := controller.groups[id]
	if !ok {
		known = newGroup(id, controller.config.Placer)
		if record, ok := controller.directory.record(id); ok {
			known.tally = grouper.NewTally(record)
		}
		controller.groups[id] = known
	}
	return known
}

// rules returns what a takeover of the group's shards depends on.
func (controller *Controller) rules(id lagoonlanding.GroupID) holder.Rules {
	if controller.directory.set != nil {
		if service, ok := controller.directory.set.Service(id.Service()); ok {
			return holder.NewRules(service.ChecksFence(), service.LongestDeadline())
		}
	}
	return holder.NewRules(false, defaultLongestRun)
}

// learnRecord takes a group's newer record into the roles of this instance.
func (controller *Controller) learnRecord(now time.Time, record lagoonlanding.Record) {
	isMember := controller.isMember(record.Current())
	isWitness := record.Current().HasWitness(controller.id()) || record.Prior().HasWitness(controller.id())
	known, ok := controller.groups[record.Group()]
	if !ok {
		if !isMember && !isWitness {
			return
		}
		known = controller.group(record.Group())
	}
	if known.granter != nil {
		known.granter.Learn(now, record)
	} else if isWitness {
		known.granter = granter.New(granter.Config{Self: controller.id(), Record: record, Now: now})
	}
	known.noteRecord(now, record)
	if controller.isLeaving() {
		// Another witness may coordinate now, and does not know yet.
		known.nextJoin = time.Time{}
	}
	if isMember {
		controller.adopt(now, known, record)
	} else if known.holder != nil {
		controller.dropAll(known)
	}
	controller.renew(now, known)
	controller.askClearances(now, known)
}

func (controller *Controller) isMember(layout lagoonlanding.Layout) bool {
	_, ok := layout.Member(controller.id())
	return ok
}

func (controller *Controller) adopt(now time.Time, group *group, record lagoonlanding.Record) {
	if group.holder == nil {
		group.holder = holder.New(holder.Config{Self: controller.id(), Group: group.id, Placer: controller.config.Placer})
	}
	change := group.holder.Adopt(now, record, controller.rules(group.id))
	// The witnesses of a new layout need time to answer.
	group.nextRebuild = now.Add(2 * lagoonlanding.PromiseTerm)
	for _, shard := range change.Dropped() {
		controller.outbox.drops = append(controller.outbox.drops, Drop{group: group.id, shard: shard})
	}
	for _, drain := range change.Drains() {
		owner, _ := record.Current().Member(drain.To())
		controller.outbox.drains = append(controller.outbox.drains, Drain{
			group: group.id, version: record.Version(), shard: drain.Shard(), to: owner.Instance(),
			since: drain.Since(), deadline: now.Add(lagoonlanding.DrainTerm),
		})
	}
}

// dropAll gives up a lease in a group whose newest layout does not name this instance.
func (controller *Controller) dropAll(group *group) {
	for shard := range group.holder.Record().Current().Shards() {
		controller.outbox.drops = append(controller.outbox.drops, Drop{group: group.id, shard: shard})
	}
	group.holder = nil
}
