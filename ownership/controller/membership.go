package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
)

// minMembers is the size up to which a group takes instances that are members of another partition already.
const minMembers = 3

// tendMembership joins the groups that this instance should be in, or leaves all of them.
func (controller *Controller) tendMembership(now time.Time) {
	if controller.isLeaving() {
		controller.leaveAll(now)
		return
	}
	if controller.directory.set == nil || controller.directory.revision == 0 {
		return
	}
	service, ok := controller.directory.set.Service(controller.config.Self.Service())
	if !ok {
		return
	}
	for _, partition := range controller.wanted(service) {
		controller.join(now, service, partition)
	}
	controller.rebuildOwn(now)
}

// rebuildOwn starts a group anew whose lease has lapsed here and whose witnesses have ended; none of them would replace the others.
func (controller *Controller) rebuildOwn(now time.Time) {
	for _, id := range controller.groupIDs() {
		group := controller.groups[id]
		if group.holder == nil || now.Before(group.holder.Deadline().Add(lagoonlanding.PromiseTerm)) || now.Before(group.nextRebuild) || group.swapping {
			continue
		}
		group.nextRebuild = now.Add(joinInterval)
		if record, ok := controller.directory.record(id); ok {
			controller.rebuild(group, record)
		}
	}
}

// wanted returns the partitions to be a member of: of each set of regions the least populated one, and all with too few members.
func (controller *Controller) wanted(service publisher.Service) []publisher.Partition {
	byRegions := make(map[string][]publisher.Partition)
	for _, partition := range service.Partitions() {
		if slices.Contains(partition.Regions(), controller.config.Self.Region()) {
			regions := strings.Join(partition.Regions(), ",")
			byRegions[regions] = append(byRegions[regions], partition)
		}
	}
	var wanted []publisher.Partition
	for _, partitions := range byRegions {
		wanted = append(wanted, controller.wantedOf(service, partitions)...)
	}
	slices.SortFunc(wanted, func(a, b publisher.Partition) int { return cmp.Compare(a.Name(), b.Name()) })
	return wanted
}

func (controller *Controller) wantedOf(service publisher.Service, partitions []publisher.Partition) []publisher.Partition {
	var wanted []publisher.Partition
	isMember := false
	for _, partition := range partitions {
		members, mine := controller.population(service, partition)
		isMember = isMember || mine
		if !mine && members < minMembers {
			wanted = append(wanted, partition)
		}
	}
	if isMember || len(wanted) > 0 {
		return wanted
	}
	least := slices.MinFunc(partitions, func(a, b publisher.Partition) int {
		first, _ := controller.population(service, a)
		second, _ := controller.population(service, b)
		return cmp.Or(cmp.Compare(first, second), cmp.Compare(controller.preference(a), controller.preference(b)))
	})
	return []publisher.Partition{least}
}

// preference spreads instances that see equal populations over the partitions.
func (controller *Controller) preference(partition publisher.Partition) uint64 {
	return xxhash.Sum64String(controller.id().String() + "\x00" + partition.Name())
}

func (controller *Controller) population(service publisher.Service, partition publisher.Partition) (members int, mine bool) {
	record, ok := controller.directory.record(lagoonlanding.NewGroupID(service.Name(), partition.Name()))
	if !ok {
		return 0, false
	}
	return len(record.Current().Members()), controller.isMember(record.Current())
}

func (controller *Controller) join(now time.Time, service publisher.Service, partition publisher.Partition) {
	group := controller.group(lagoonlanding.NewGroupID(service.Name(), partition.Name()))
	if now.Before(group.nextJoin) || group.swapping {
		return
	}
	group.nextJoin = now.Add(joinInterval)
	record, ok := controller.directory.record(group.id)
	if !ok {
		controller.create(group, partition)
		return
	}
	if len(record.Current().Members()) >= grouper.MaxMembers {
		controller.fail(fmt.Errorf("join %s: the group is full with %d members, more partitions are needed", group.id, grouper.MaxMembers))
	}
	controller.askWitnesses(now, group, record, false)
	controller.rebuild(group, record)
}

func (controller *Controller) create(group *group, partition publisher.Partition) {
	layout := grouper.First(controller.config.Self, partition.Shards(), controller.isZoneOut())
	record := lagoonlanding.NewRecord(group.id, layout, lagoonlanding.Layout{}, 0)
	controller.swap(group, record, 0)
}

func (controller *Controller) isZoneOut() bool {
	return controller.zonesOut()[controller.config.Self.AvailabilityZone()]
}

// askWitnesses asks every witness to let this instance join or leave; the one that coordinates does.
func (controller *Controller) askWitnesses(now time.Time, group *group, record lagoonlanding.Record, leaving bool) {
	request := lagoonlanding.NewJoinRequest(group.id, controller.config.Self, leaving)
	for _, witness := range record.Current().Witnesses() {
		if witness.ID() == controller.id() {
			controller.OnJoin(now, request)
			continue
		}
		controller.outbox.joins = append(controller.outbox.joins, Join{to: witness, request: request})
	}
}

// rebuild starts a group anew once a majority of its witnesses has ended, so that no lease can be valid.
func (controller *Controller) rebuild(group *group, record lagoonlanding.Record) {
	ended := 0
	for _, witness := range record.Current().Witnesses() {
		if group.ended[witness.ID()] {
			ended++
		}
		controller.askClearance(witness, record)
	}
	if ended < record.Current().Majority() {
		return
	}
	if group.tally.IsSettled() {
		layout := grouper.Rebuild(record, controller.config.Self, controller.isZoneOut())
		controller.swap(group, grouper.Succeed(record, layout), record.Revision())
	}
}

func (controller *Controller) leaveAll(now time.Time) {
	for _, id := range controller.groupIDs() {
		group := controller.groups[id]
		if now.Before(group.nextJoin) || group.holder == nil && !group.isWitness() {
			continue
		}
		group.nextJoin = now.Add(joinInterval)
		if record, ok := controller.directory.record(id); ok {
			controller.askWitnesses(now, group, record, true)
		}
	}
}

func (controller *Controller) groupIDs() []lagoonlanding.GroupID {
	ids := make([]lagoonlanding.GroupID, 0, len(controller.groups))
	for id := range controller.groups {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b lagoonlanding.GroupID) int { return cmp.Compare(a.String(), b.String()) })
	return ids
}
