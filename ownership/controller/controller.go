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
	// storeRetryInterval is the time between two attempts to reach a store that does not respond.
	storeRetryInterval = 500 * time.Millisecond
	// joinInterval is the time between two requests to join or leave a group.
	joinInterval = 500 * time.Millisecond
	// loadInterval is the time between two reports of the busiest shards.
	loadInterval = 3 * time.Second
	// fetchTimeout is the time after which a directory request is considered lost.
	fetchTimeout = time.Second
	// defaultMaxRunTime is the assumed maximum run time of a request until the published set is known.
	defaultMaxRunTime = 30 * time.Second
)

// Config holds the configuration of a Controller.
type Config struct {
	// Self is this instance; its service is empty until a backend server has announced itself.
	Self lagoonlanding.Instance
	// Now is the start time of the process.
	Now time.Time
	// Placer computes the owners of the shards.
	Placer lagoonlanding.Placer
	// Records encodes and decodes the records of groups.
	Records lagoonlanding.Codec[lagoonlanding.Record]
	// Sets encodes and decodes the published set.
	Sets lagoonlanding.Codec[*publisher.Set]
	// Differences computes and applies differences between published sets; if nil, instances exchange complete sets.
	Differences lagoonlanding.Differ[*publisher.Set]
	// Loads returns this instance's busiest shards of a group; if nil, no loads are reported.
	Loads func(lagoonlanding.GroupID) []lagoonlanding.ShardLoad
}

// Controller is the control state of one instance; it is not safe for concurrent use.
type Controller struct {
	config    Config
	directory *directory
	groups    map[lagoonlanding.GroupID]*group
	outbox    Outbox
	failures  []error
	written   []lagoonlanding.Record
	// watchPending means that a watch of the store has not returned yet.
	watchPending  bool
	disconnected  bool
	nextWatch     time.Time
	fetchDeadline time.Time
	// fetchAll means that a difference could not be applied, so the next fetch requests the complete directory.
	fetchAll bool
	// withdrawn means that there is no backend server; stopping means that the process is shutting down.
	withdrawn bool
	stopping  bool
}

// New returns the control state of an instance with an empty directory.
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

// Announce records that the local backend server runs the service and accepts requests.
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
		controller.makeLeaveRequestsDue()
		controller.Tick(now)
	}
}

// Leave hands all shards over and gives up all roles permanently.
func (controller *Controller) Leave(now time.Time) {
	controller.stopping = true
	controller.makeLeaveRequestsDue()
	controller.Tick(now)
}

func (controller *Controller) isLeaving() bool { return controller.stopping || controller.withdrawn }

func (controller *Controller) makeLeaveRequestsDue() {
	for _, group := range controller.groups {
		group.nextJoin = time.Time{}
	}
}

// HasLeft reports whether this instance has no role left that another instance could take over.
func (controller *Controller) HasLeft() bool {
	for _, group := range controller.groups {
		record, ok := controller.directory.record(group.id)
		if !ok {
			continue
		}
		if group.holder != nil && controller.hasSuccessor(record.Current()) {
			return false
		}
		if group.isWitness() && controller.hasWitnessCandidate(record.Current()) {
			return false
		}
	}
	return true
}

// hasSuccessor reports whether the layout has another active member that can take over this instance's shards.
func (controller *Controller) hasSuccessor(layout lagoonlanding.Layout) bool {
	return slices.ContainsFunc(layout.Members(), func(member lagoonlanding.Member) bool {
		return member.ID() != controller.id() && member.State() == lagoonlanding.MemberActive
	})
}

// hasWitnessCandidate reports whether an active instance that is not a witness of the layout could replace this one as a witness.
func (controller *Controller) hasWitnessCandidate(layout lagoonlanding.Layout) bool {
	return slices.ContainsFunc(controller.directory.activeInstances(), func(instance lagoonlanding.Instance) bool {
		return !layout.HasWitness(instance.ID())
	})
}

// TakeOutbox returns the pending actions and clears them.
func (controller *Controller) TakeOutbox() Outbox {
	outbox := controller.outbox
	controller.outbox = Outbox{}
	return outbox
}

// TakeFailures returns the errors since the last call, to be logged.
func (controller *Controller) TakeFailures() []error {
	failures := controller.failures
	controller.failures = nil
	return failures
}

// TakeWritten returns the records that this instance has written since the last call, to be logged.
func (controller *Controller) TakeWritten() []lagoonlanding.Record {
	written := controller.written
	controller.written = nil
	return written
}

func (controller *Controller) addFailure(err error) {
	controller.failures = append(controller.failures, err)
}

// Snapshot returns the routing state for the traffic path.
func (controller *Controller) Snapshot() *router.Snapshot {
	leases := make(map[lagoonlanding.GroupID]router.Lease, len(controller.groups))
	for id, group := range controller.groups {
		if group.holder == nil {
			continue
		}
		leases[id] = router.NewLease(router.LeaseConfig{
			Version: group.holder.Version(), Deadline: group.holder.Deadline(),
			Tokens: group.holder.Tokens(), Since: group.holder.Since(),
		})
	}
	return router.NewSnapshot(router.SnapshotConfig{
		Self: controller.config.Self, Set: controller.directory.set, Revision: controller.directory.revision,
		Groups: controller.directory.groups, Changes: controller.directory.changes, Leases: leases, Leaving: controller.isLeaving(),
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

// rules returns the service settings that apply to a takeover of the group's shards.
func (controller *Controller) rules(id lagoonlanding.GroupID) holder.Rules {
	if controller.directory.set != nil {
		if service, ok := controller.directory.set.Service(id.Service()); ok {
			return holder.NewRules(service.ChecksFence(), service.LongestDeadline())
		}
	}
	return holder.NewRules(false, defaultMaxRunTime)
}

// applyRecord updates this instance's roles in a group to a newer record.
func (controller *Controller) applyRecord(now time.Time, record lagoonlanding.Record) {
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
		known.granter.Update(now, record)
	} else if isWitness {
		known.granter = granter.New(granter.Config{Self: controller.id(), Record: record, Now: now})
	}
	known.resetForRecord(now, record)
	if controller.isLeaving() {
		// A different witness may be the coordinator now; it has not received the leave request yet.
		known.nextJoin = time.Time{}
	}
	if isMember {
		controller.adopt(now, known, record)
	} else if known.holder != nil {
		controller.dropAll(known)
	}
	controller.renew(now, known)
	controller.requestClearances(now, known)
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
	// The witnesses of a new layout need time to respond.
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

// dropAll gives up the lease in a group of which this instance is no longer a member.
func (controller *Controller) dropAll(group *group) {
	for shard := range group.holder.Record().Current().Shards() {
		controller.outbox.drops = append(controller.outbox.drops, Drop{group: group.id, shard: shard})
	}
	group.holder = nil
}
