package planner

import (
	"maps"
	"slices"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// tally counts the active members of a group before and after.
type tally struct {
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
	builder.warnOfLoss(id, builder.count(id, layout, after))
}

// layoutAfter returns the layout without the members whose zone is out or whose partition is gone.
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

func (builder *builder) count(id lagoonlanding.GroupID, before, after lagoonlanding.Layout) tally {
	result := tally{regionsBefore: map[string]int{}, regionsAfter: map[string]int{}}
	slotsBefore := slotsOf(builder.config.Old, id.Service())
	slotsAfter := slotsOf(builder.config.New, id.Service())
	for i, member := range before.Members() {
		region := member.Instance().Region()
		capacity := builder.capacity(id.Service(), member.Instance())
		isFirst := !builder.counted[member.ID()]
		builder.counted[member.ID()] = true
		if member.State() == lagoonlanding.MemberActive {
			result.slotsBefore += slotsBefore
			result.regionsBefore[region]++
			capacity.before += slotsOnce(isFirst, slotsBefore)
		}
		if after.Members()[i].State() == lagoonlanding.MemberActive {
			result.slotsAfter += slotsAfter
			result.regionsAfter[region]++
			capacity.after += slotsOnce(isFirst, slotsAfter)
		}
	}
	return result
}

// slotsOnce counts the slots of an instance in the first of its groups only.
func slotsOnce(isFirst bool, slots int) int {
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
	at := place{service: service, zone: instance.AvailabilityZone()}
	if builder.slots[at] == nil {
		builder.slots[at] = &Capacity{service: at.service, zone: at.zone}
	}
	return builder.slots[at]
}

func (builder *builder) warnOfLoss(id lagoonlanding.GroupID, tally tally) {
	if _, ok := findPartition(builder.config.New, id); !ok {
		return // The removal of the object is the danger.
	}
	if len(tally.regionsBefore) == 0 {
		return // Nothing serves it now either.
	}
	object := partitionName(id.Service(), id.Partition())
	if len(tally.regionsAfter) == 0 {
		builder.warn(NoMember, object, "no active member is left")
		return
	}
	for _, region := range slices.Sorted(maps.Keys(tally.regionsBefore)) {
		if tally.regionsAfter[region] == 0 {
			builder.warn(NoUpstream, object, "no active member is left in region %s", region)
		}
	}
	if tally.slotsAfter*100 < tally.slotsBefore*MinCapacityPercent {
		builder.warn(LowCapacity, object, "%d of %d slots are left, less than %d percent", tally.slotsAfter, tally.slotsBefore, MinCapacityPercent)
	}
}
