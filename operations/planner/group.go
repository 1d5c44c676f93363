package planner

import (
	"maps"
	"slices"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// groupCapacity holds the slots and the active members by region of a group, before and after the change.
type groupCapacity struct {
	slotsBefore   int
	slotsAfter    int
	regionsBefore map[string]int
	regionsAfter  map[string]int
}

func (builder *builder) addGroup(id lagoonlanding.GroupID, group router.Group) {
	layout := group.Record().Current()
	after := builder.layoutAfter(id, layout)
	placement := builder.config.Placer.Place(after)
	moved := 0
	for shard := range layout.Shards() {
		if placement.Owner(shard) != group.Placement().Owner(shard) {
			moved++
		}
	}
	if moved > 0 {
		builder.plan.moves = append(builder.plan.moves, Move{group: id, shards: layout.Shards(), moved: moved})
	}
	builder.addCapacityDangers(id, builder.countCapacity(id, layout, after))
}

// layoutAfter returns the layout with the member states that the new set brings about: members in zones that are out of service
// own no shards, and members of a removed partition leave.
func (builder *builder) layoutAfter(id lagoonlanding.GroupID, layout lagoonlanding.Layout) lagoonlanding.Layout {
	_, permitted := findPartition(builder.config.New, id)
	members := make([]lagoonlanding.Member, 0, len(layout.Members()))
	for _, member := range layout.Members() {
		state := member.State()
		zone, ok := builder.config.New.AvailabilityZone(member.Instance().AvailabilityZone())
		switch {
		case !permitted:
			state = lagoonlanding.MemberLeaving
		case state == lagoonlanding.MemberActive && ok && zone.IsOut():
			state = lagoonlanding.MemberOutOfService
		case state == lagoonlanding.MemberOutOfService && ok && !zone.IsOut():
			state = lagoonlanding.MemberActive
		}
		members = append(members, lagoonlanding.NewMember(member.Instance(), state, member.Weight()))
	}
	return lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{
		Version: layout.Version() + 1, Shards: layout.Shards(), Members: members,
		Witnesses: layout.Witnesses(), Pins: layout.Pins(),
	})
}

func findPartition(set *publisher.Set, id lagoonlanding.GroupID) (publisher.Partition, bool) {
	if set == nil {
		return publisher.Partition{}, false
	}
	service, _ := set.Service(id.Service())
	for _, partition := range service.Partitions() {
		if partition.Name() == id.Partition() {
			return partition, true
		}
	}
	return publisher.Partition{}, false
}

func (builder *builder) countCapacity(id lagoonlanding.GroupID, before, after lagoonlanding.Layout) groupCapacity {
	groupcapacity := groupCapacity{regionsBefore: map[string]int{}, regionsAfter: map[string]int{}}
	slotsBefore := slotsOf(builder.config.Old, id.Service())
	slotsAfter := slotsOf(builder.config.New, id.Service())
	for i, member := range before.Members() {
		region := member.Instance().Region()
		capacity := builder.capacity(id.Service(), member.Instance())
		isFirst := !builder.counted[member.ID()]
		builder.counted[member.ID()] = true
		if member.State() == lagoonlanding.MemberActive {
			groupcapacity.slotsBefore += slotsBefore
			groupcapacity.regionsBefore[region]++
			capacity.before += slotsIfFirst(isFirst, slotsBefore)
		}
		if after.Members()[i].State() == lagoonlanding.MemberActive {
			groupcapacity.slotsAfter += slotsAfter
			groupcapacity.regionsAfter[region]++
			capacity.after += slotsIfFirst(isFirst, slotsAfter)
		}
	}
	return groupcapacity
}

// slotsIfFirst returns the slots in the first group of an instance and zero in the others, so that they are counted once.
func slotsIfFirst(isFirst bool, slots int) int {
	if isFirst {
		return slots
	}
	return 0
}

func slotsOf(set *publisher.Set, name string) int {
	if set == nil {
		return 0
	}
	service, _ := set.Service(name)
	return service.Slots()
}

func (builder *builder) capacity(service string, instance lagoonlanding.Instance) *Capacity {
	servicezone := serviceZone{service: service, zone: instance.AvailabilityZone()}
	if builder.byServiceZone[servicezone] == nil {
		builder.byServiceZone[servicezone] = &Capacity{service: servicezone.service, zone: servicezone.zone}
	}
	return builder.byServiceZone[servicezone]
}

func (builder *builder) addCapacityDangers(id lagoonlanding.GroupID, groupcapacity groupCapacity) {
	if _, ok := findPartition(builder.config.New, id); !ok {
		return // The removal of the object is a danger of its own.
	}
	if len(groupcapacity.regionsBefore) == 0 {
		return // No active member serves it in the current layout either.
	}
	object := partitionName(id.Service(), id.Partition())
	if len(groupcapacity.regionsAfter) == 0 {
		builder.addDanger(NoMember, object, "no active member is left")
		return
	}
	for _, region := range slices.Sorted(maps.Keys(groupcapacity.regionsBefore)) {
		if groupcapacity.regionsAfter[region] == 0 {
			builder.addDanger(NoUpstream, object, "no active member is left in region %s", region)
		}
	}
	if groupcapacity.slotsAfter*100 < groupcapacity.slotsBefore*MinCapacityPercent {
		builder.addDanger(LowCapacity, object, "%d of %d slots are left, less than %d percent", groupcapacity.slotsAfter, groupcapacity.slotsBefore, MinCapacityPercent)
	}
}
