package controller

import (
	"errors"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/balancer"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
)

// isActing reports whether this instance coordinates the group: no witness before it answers.
func (controller *Controller) isActing(now time.Time, group *group) bool {
	record, ok := controller.directory.record(group.id)
	if !ok || !group.isWitness() {
		return false
	}
	for _, witness := range record.Current().Witnesses() {
		if witness.ID() == controller.id() {
			return true
		}
		if group.isAlive(now, witness.ID()) {
			return false
		}
	}
	return false
}

// coordinate writes the next layout of a group once the current one is settled and something must change.
func (controller *Controller) coordinate(now time.Time, group *group) {
	if group.swapping || controller.blind || !group.tally.IsSettled() {
		return
	}
	record, _ := controller.directory.record(group.id)
	layout, ok := grouper.Propose(controller.proposal(now, group, record))
	if ok {
		controller.swap(group, grouper.Succeed(record, layout), record.Revision())
	}
}

func (controller *Controller) proposal(now time.Time, group *group, record lagoonlanding.Record) grouper.ProposalConfig {
	config := grouper.ProposalConfig{
		Record: record, Lost: controller.lost(now, group, record), Released: group.granter.Released(), Leaving: group.leaving,
		ZonesOut: controller.zonesOut(), StoreRegions: controller.storeRegions(), Unreachable: make(map[lagoonlanding.InstanceID]bool),
		Candidates: controller.directory.instances(),
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
	// Of two runs at one address the later in this order joins, so the order must not vary.
	slices.SortFunc(config.Joining, func(a, b lagoonlanding.Instance) int { return grouper.CompareIDs(a.ID(), b.ID()) })
	return config
}

// loadsOf returns the busiest shards that the members reported last.
func loadsOf(group *group, record lagoonlanding.Record) balancer.Loads {
	loads := make(balancer.Loads)
	for _, member := range record.Current().Members() {
		loads[member.ID()] = group.granter.Loads(member.ID())
	}
	return loads
}

// lost returns the members that cannot hold a lease: fewer witnesses than a majority may still keep promises to them.
//
// One witness that a member cannot reach is not enough, since the member serves on with the others.
func (controller *Controller) lost(now time.Time, group *group, record lagoonlanding.Record) map[lagoonlanding.InstanceID]bool {
	lost := group.granter.Lost(now)
	unsure := false
	for id := range lost {
		if controller.keepers(now, group, record, id) >= record.Current().Majority() {
			delete(lost, id)
			unsure = true
		}
	}
	if len(lost) > 0 && group.granter.MayLoseMore(now, lost) {
		return nil
	}
	if unsure {
		// Fresh answers tell whether the other witnesses miss the member too.
		controller.renew(now, group)
	}
	return lost
}

// isUnreachable reports whether a witness must be replaced; one that is about to be lost as a member goes with the same layout.
func (controller *Controller) isUnreachable(
	now time.Time, group *group, record lagoonlanding.Record, witness lagoonlanding.InstanceID, lost map[lagoonlanding.InstanceID]bool,
) bool {
	if !group.isSilent(now, witness) {
		return false
	}
	_, isMember := record.Current().Member(witness)
	return !isMember || lost[witness] || now.After(group.heard[witness].Add(2*lagoonlanding.PromiseTerm))
}

// keepers counts the other witnesses that answer and have not said that their promise to the member has lapsed.
func (controller *Controller) keepers(now time.Time, group *group, record lagoonlanding.Record, member lagoonlanding.InstanceID) int {
	keepers := 0
	for _, witness := range record.Current().Witnesses() {
		id := witness.ID()
		if id != controller.id() && id != member && !group.isSilent(now, id) && !slices.Contains(group.lapsed[id], member) {
			keepers++
		}
	}
	return keepers
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

func (controller *Controller) zonesOut() map[string]bool {
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
		controller.fail(err)
		return
	}
	group.swapping = true
	controller.outbox.swaps = append(controller.outbox.swaps, Swap{record: record, value: value, expected: expected})
}

// Swapped takes the store's answer to a write; a failed or lost one is read back before anything is concluded.
func (controller *Controller) Swapped(now time.Time, swap Swap, revision uint64, err error) {
	group := controller.group(swap.record.Group())
	if err != nil {
		controller.outbox.reads = append(controller.outbox.reads, swap.Key())
		return
	}
	group.swapping = false
	controller.sawStore()
	if revision == controller.directory.revision+1 {
		// Nothing was written in between, so the directory is whole up to here even if the store fails now.
		controller.directory.revision = revision
	}
	controller.learn(now, lagoonlanding.NewEntry(swap.Key(), swap.value, revision))
	controller.written = append(controller.written, swap.record)
	if revision > controller.directory.revision {
		// A waiting watch may be lost in a silent connection; a new one is answered at once, since there is news.
		controller.watching = true
		controller.outbox.watch = true
	}
	controller.tellRecord(group)
}

// ReadBack takes the entry of a record whose write failed or whose answer was lost.
func (controller *Controller) ReadBack(now time.Time, key string, entry lagoonlanding.Entry, err error) {
	id, isGroup := lagoonlanding.ParseGroupKey(key)
	if isGroup {
		controller.group(id).swapping = false
	}
	if errors.Is(err, lagoonlanding.ErrNotFound) {
		controller.sawStore()
		return
	}
	if err != nil {
		controller.missedStore(now, err)
		return
	}
	controller.sawStore()
	controller.learn(now, entry)
	if isGroup {
		controller.tellRecord(controller.group(id))
	}
}

// tellRecord tells the members and witnesses of the current and the prior layout of the newest record.
func (controller *Controller) tellRecord(group *group) {
	record, ok := controller.directory.record(group.id)
	if !ok {
		return
	}
	told := map[lagoonlanding.InstanceID]bool{controller.id(): true}
	for _, layout := range []lagoonlanding.Layout{record.Current(), record.Prior()} {
		for _, member := range layout.Members() {
			controller.tellOnce(told, member.Instance(), record)
		}
		for _, witness := range layout.Witnesses() {
			controller.tellOnce(told, witness, record)
		}
	}
}

func (controller *Controller) tellOnce(told map[lagoonlanding.InstanceID]bool, to lagoonlanding.Instance, record lagoonlanding.Record) {
	if told[to.ID()] {
		return
	}
	told[to.ID()] = true
	controller.notify(to, record)
}
