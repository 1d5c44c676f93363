package controller

import (
	"errors"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/balancer"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
)

// isCoordinator reports whether this instance is the first available witness of the group.
func (controller *Controller) isCoordinator(now time.Time, group *group) bool {
	record, ok := controller.directory.record(group.id)
	if !ok || !group.isWitness() {
		return false
	}
	for _, witness := range record.Current().Witnesses() {
		if witness.ID() == controller.id() {
			return true
		}
		if group.isAvailable(now, witness.ID()) {
			return false
		}
	}
	return false
}

// coordinate writes the next layout of a group if the current one is settled and a change is needed.
func (controller *Controller) coordinate(now time.Time, group *group) {
	if group.swapPending || controller.disconnected || !group.tally.IsSettled() {
		return
	}
	record, _ := controller.directory.record(group.id)
	layout, ok := grouper.Propose(controller.proposal(now, group, record))
	if ok {
		controller.swap(group, grouper.NextRecord(record, layout), record.Revision())
	}
}

func (controller *Controller) proposal(now time.Time, group *group, record lagoonlanding.Record) grouper.ProposalConfig {
	config := grouper.ProposalConfig{
		Record: record, Lost: controller.lostMembers(now, group, record), Released: group.granter.Released(), Leaving: group.leaving,
		OutOfServiceZones: controller.outOfServiceZones(), StoreRegions: controller.storeRegions(), Unreachable: make(map[lagoonlanding.InstanceID]bool),
		Candidates: controller.directory.activeInstances(),
	}
	for _, witness := range record.Current().Witnesses() {
		if witness.ID() != controller.id() && controller.isUnreachable(now, group, record, witness.ID(), config.Lost) {
			config.Unreachable[witness.ID()] = true
		}
	}
	if pins, ok := group.balancer.Decide(now, record.Current(), loadsOf(group, record)); ok {
		config.Pins = pins
	}
	for _, instance := range group.joining {
		config.Joining = append(config.Joining, instance)
	}
	// Of two incarnations at one address, only the last in this order joins, so the order must be deterministic.
	slices.SortFunc(config.Joining, func(a, b lagoonlanding.Instance) int { return grouper.CompareIDs(a.ID(), b.ID()) })
	return config
}

// loadsOf returns the busiest shards that each member last reported.
func loadsOf(group *group, record lagoonlanding.Record) balancer.Loads {
	loads := make(balancer.Loads)
	for _, member := range record.Current().Members() {
		loads[member.ID()] = group.granter.Loads(member.ID())
	}
	return loads
}

// lostMembers returns the members that cannot hold a lease because fewer than a majority of the witnesses may still have promises to them.
//
// A member that cannot reach one witness keeps its lease through the others.
func (controller *Controller) lostMembers(now time.Time, group *group, record lagoonlanding.Record) map[lagoonlanding.InstanceID]bool {
	lost := group.granter.Expired(now)
	disputed := false
	for id := range lost {
		if controller.promisingWitnesses(now, group, record, id) >= record.Current().Majority() {
			delete(lost, id)
			disputed = true
		}
	}
	if len(lost) > 0 && group.granter.MoreMayExpire(now, lost) {
		return nil
	}
	if disputed {
		// The replies show whether the promises of the other witnesses have expired as well.
		controller.renew(now, group)
	}
	return lost
}

// isUnreachable reports whether a witness must be replaced.
//
// A witness that is also a member gets more time, so that one layout removes it from both roles.
func (controller *Controller) isUnreachable(
	now time.Time, group *group, record lagoonlanding.Record, witness lagoonlanding.InstanceID, lost map[lagoonlanding.InstanceID]bool,
) bool {
	if !group.isUnresponsive(now, witness) {
		return false
	}
	_, isMember := record.Current().Member(witness)
	return !isMember || lost[witness] || now.After(group.lastReplies[witness].Add(2*lagoonlanding.PromiseTerm))
}

// promisingWitnesses counts the other responsive witnesses that have not reported their promise to the member as expired.
func (controller *Controller) promisingWitnesses(now time.Time, group *group, record lagoonlanding.Record, member lagoonlanding.InstanceID) int {
	count := 0
	for _, witness := range record.Current().Witnesses() {
		id := witness.ID()
		if id != controller.id() && id != member && !group.isUnresponsive(now, id) && !slices.Contains(group.expired[id], member) {
			count++
		}
	}
	return count
}

func (controller *Controller) storeRegions() map[string]bool {
	regions := make(map[string]bool)
	if controller.directory.set == nil {
		return regions
	}
	for _, region := range controller.directory.set.HomeRegions() {
		if region.HasStore() {
			regions[region.Name()] = true
		}
	}
	return regions
}

func (controller *Controller) outOfServiceZones() map[string]bool {
	out := make(map[string]bool)
	if controller.directory.set == nil {
		return out
	}
	for _, zone := range controller.directory.set.AvailabilityZones() {
		if zone.IsOut() {
			out[zone.Name()] = true
		}
	}
	return out
}

func (controller *Controller) swap(group *group, record lagoonlanding.Record, expected uint64) {
	value, err := controller.config.Records.Encode(record)
	if err != nil {
		controller.addFailure(err)
		return
	}
	group.swapPending = true
	controller.outbox.swaps = append(controller.outbox.swaps, Swap{record: record, value: value, expected: expected})
}

// Swapped handles the result of a write to the store; on an error, the entry is read back, since the write may have taken effect.
func (controller *Controller) Swapped(now time.Time, swap Swap, revision uint64, err error) {
	group := controller.group(swap.record.Group())
	if err != nil {
		controller.outbox.reads = append(controller.outbox.reads, swap.Key())
		return
	}
	group.swapPending = false
	controller.markStoreReachable()
	if revision == controller.directory.revision+1 {
		// No other write came in between, so the directory is complete up to this revision even if the store fails now.
		controller.directory.revision = revision
	}
	controller.applyEntry(now, lagoonlanding.NewEntry(swap.Key(), swap.value, revision))
	controller.written = append(controller.written, swap.record)
	if revision > controller.directory.revision {
		// The pending watch may hang on a dead connection; a new one returns at once because there are newer entries.
		controller.watchPending = true
		controller.outbox.watch = true
	}
	controller.notifyAll(group)
}

// ReadBack handles the entry that was read after a failed write or to check whether the store is reachable.
func (controller *Controller) ReadBack(now time.Time, key string, entry lagoonlanding.Entry, err error) {
	id, isGroup := lagoonlanding.ParseGroupKey(key)
	if isGroup {
		controller.group(id).swapPending = false
	}
	if errors.Is(err, lagoonlanding.ErrNotFound) {
		controller.markStoreReachable()
		return
	}
	if err != nil {
		controller.markStoreUnreachable(now, err)
		return
	}
	controller.markStoreReachable()
	controller.applyEntry(now, entry)
	if isGroup {
		controller.notifyAll(controller.group(id))
	}
}

// notifyAll sends the newest record to the members and witnesses of its current and previous layouts.
func (controller *Controller) notifyAll(group *group) {
	record, ok := controller.directory.record(group.id)
	if !ok {
		return
	}
	notified := map[lagoonlanding.InstanceID]bool{controller.id(): true}
	for _, layout := range []lagoonlanding.Layout{record.Current(), record.Prior()} {
		for _, member := range layout.Members() {
			controller.notifyOnce(notified, member.Instance(), record)
		}
		for _, witness := range layout.Witnesses() {
			controller.notifyOnce(notified, witness, record)
		}
	}
}

func (controller *Controller) notifyOnce(notified map[lagoonlanding.InstanceID]bool, to lagoonlanding.Instance, record lagoonlanding.Record) {
	if notified[to.ID()] {
		return
	}
	notified[to.ID()] = true
	controller.notify(to, record)
}
