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

// minGroupSize is the number of members below which a group accepts instances that are already members of another partition's group.
const minGroupSize = 3

// updateMembership joins the groups of which this instance should be a member and rebuilds those whose witnesses have terminated, or leaves
// all groups if this instance is leaving.
func (controller *Controller) updateMembership(now time.Time) {
	if controller.isLeaving() {
		controller.leaveGroups(now)
		return
	}
	if controller.directory.set == nil || controller.directory.revision == 0 {
		return
	}
	service, ok := controller.directory.set.Service(controller.config.Self.Service())
	if !ok {
		return
	}
	for _, partition := range controller.partitionsToJoin(service) {
		controller.join(now, service, partition)
	}
	controller.rebuildExpired(now)
}

// rebuildExpired rebuilds groups whose lease has expired here and whose witnesses have terminated, since none of those is left to replace the others.
func (controller *Controller) rebuildExpired(now time.Time) {
	for _, id := range controller.groupIDs() {
		group := controller.groups[id]
		if group.holder == nil || now.Before(group.holder.Deadline().Add(lagoonlanding.PromiseTerm)) || now.Before(group.nextRebuild) || group.swapPending {
			continue
		}
		group.nextRebuild = now.Add(joinInterval)
		if record, ok := controller.directory.record(id); ok {
			controller.rebuild(group, record)
		}
	}
}

// partitionsToJoin returns the partitions whose groups this instance should join: for each set of regions, all whose groups are below
// minGroupSize or else, for an instance without a group there, the one with the fewest members.
func (controller *Controller) partitionsToJoin(service publisher.Service) []publisher.Partition {
	byRegions := make(map[string][]publisher.Partition)
	for _, partition := range service.Partitions() {
		if slices.Contains(partition.Regions(), controller.config.Self.Region()) {
			regions := strings.Join(partition.Regions(), ",")
			byRegions[regions] = append(byRegions[regions], partition)
		}
	}
	var wanted []publisher.Partition
	for _, partitions := range byRegions {
		wanted = append(wanted, controller.partitionsToJoinAmong(service, partitions)...)
	}
	slices.SortFunc(wanted, func(a, b publisher.Partition) int { return cmp.Compare(a.Name(), b.Name()) })
	return wanted
}

func (controller *Controller) partitionsToJoinAmong(service publisher.Service, partitions []publisher.Partition) []publisher.Partition {
	var wanted []publisher.Partition
	isMember := false
	for _, partition := range partitions {
		members, joined := controller.memberCount(service, partition)
		isMember = isMember || joined
		if !joined && members < minGroupSize {
			wanted = append(wanted, partition)
		}
	}
	if isMember || len(wanted) > 0 {
		return wanted
	}
	least := slices.MinFunc(partitions, func(a, b publisher.Partition) int {
		first, _ := controller.memberCount(service, a)
		second, _ := controller.memberCount(service, b)
		return cmp.Or(cmp.Compare(first, second), cmp.Compare(controller.tieBreaker(a), controller.tieBreaker(b)))
	})
	return []publisher.Partition{least}
}

// tieBreaker distributes instances over partitions with equal member counts.
func (controller *Controller) tieBreaker(partition publisher.Partition) uint64 {
	return xxhash.Sum64String(controller.id().String() + "\x00" + partition.Name())
}

func (controller *Controller) memberCount(service publisher.Service, partition publisher.Partition) (members int, joined bool) {
	record, ok := controller.directory.record(lagoonlanding.NewGroupID(service.Name(), partition.Name()))
	if !ok {
		return 0, false
	}
	return len(record.Current().Members()), controller.isMember(record.Current())
}

func (controller *Controller) join(now time.Time, service publisher.Service, partition publisher.Partition) {
	group := controller.group(lagoonlanding.NewGroupID(service.Name(), partition.Name()))
	if now.Before(group.nextJoin) || group.swapPending {
		return
	}
	group.nextJoin = now.Add(joinInterval)
	record, ok := controller.directory.record(group.id)
	if !ok {
		controller.createGroup(group, partition)
		return
	}
	if len(record.Current().Members()) >= grouper.MaxMembers {
		controller.addFailure(fmt.Errorf("join %s: the group has reached its maximum of %d members; add partitions", group.id, grouper.MaxMembers))
	}
	controller.requestMembership(now, group, record, false)
	controller.rebuild(group, record)
}

func (controller *Controller) createGroup(group *group, partition publisher.Partition) {
	layout := grouper.FirstLayout(controller.config.Self, partition.Shards(), controller.isZoneOut())
	record := lagoonlanding.NewRecord(group.id, layout, lagoonlanding.Layout{}, 0)
	controller.swap(group, record, 0)
}

func (controller *Controller) isZoneOut() bool {
	return controller.outOfServiceZones()[controller.config.Self.AvailabilityZone()]
}

// requestMembership asks every witness to let this instance join or leave; only the coordinator acts on it.
func (controller *Controller) requestMembership(now time.Time, group *group, record lagoonlanding.Record, leaving bool) {
	request := lagoonlanding.NewJoinRequest(group.id, controller.config.Self, leaving)
	for _, witness := range record.Current().Witnesses() {
		if witness.ID() == controller.id() {
			controller.OnJoin(now, request)
			continue
		}
		controller.outbox.joins = append(controller.outbox.joins, Join{to: witness, request: request})
	}
}

// rebuild recreates a group with this instance as its only member once a majority of its witnesses has terminated and therefore no lease can be valid.
func (controller *Controller) rebuild(group *group, record lagoonlanding.Record) {
	terminated := 0
	for _, witness := range record.Current().Witnesses() {
		if group.terminated[witness.ID()] {
			terminated++
		}
		controller.requestClearance(witness, record)
	}
	if terminated < record.Current().Majority() {
		return
	}
	if group.tally.IsSettled() {
		layout := grouper.RebuiltLayout(record, controller.config.Self, controller.isZoneOut())
		controller.swap(group, grouper.NextRecord(record, layout), record.Revision())
	}
}

func (controller *Controller) leaveGroups(now time.Time) {
	for _, id := range controller.groupIDs() {
		group := controller.groups[id]
		if now.Before(group.nextJoin) || group.holder == nil && !group.isWitness() {
			continue
		}
		group.nextJoin = now.Add(joinInterval)
		if record, ok := controller.directory.record(id); ok {
			controller.requestMembership(now, group, record, true)
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
