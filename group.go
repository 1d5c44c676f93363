package lagoonlanding

import "fmt"

// GroupID names a group: the members that share the shards of one partition of a service.
type GroupID struct {
	service   string
	partition string
}

// NewGroupID returns the identity of a partition's group.
func NewGroupID(service, partition string) GroupID {
	return GroupID{service: service, partition: partition}
}

// Service returns the name of the service.
func (groupid GroupID) Service() string { return groupid.service }

// Partition returns the name of the partition within the service.
func (groupid GroupID) Partition() string { return groupid.partition }

// String returns the service and the partition, separated by a slash.
func (groupid GroupID) String() string {
	return fmt.Sprintf("%s/%s", groupid.service, groupid.partition)
}

// MemberState says whether a member may own shards.
type MemberState uint8

// The states of a member.
const (
	// MemberActive may own shards and take new work.
	MemberActive MemberState = iota + 1
	// MemberOut is in an availability zone that operators have taken out; it may become active again.
	MemberOut
	// MemberLeaving hands over its shards and leaves the group for good.
	MemberLeaving
)

// Member is an instance within a group.
type Member struct {
	instance Instance
	state    MemberState
	weight   int
}

// NewMember returns a member with its state and its weight in hundredths of a plain share.
func NewMember(instance Instance, state MemberState, weight int) Member {
	return Member{instance: instance, state: state, weight: weight}
}

// Instance returns the member's instance.
func (member Member) Instance() Instance { return member.instance }

// ID returns the identity of the member's instance.
func (member Member) ID() InstanceID { return member.instance.ID() }

// State says whether the member may own shards.
func (member Member) State() MemberState { return member.state }

// Weight returns the member's share of the shards in hundredths.
func (member Member) Weight() int { return member.weight }

// Pin is an exception to the placement: a shard that stays on a member, or a member's shard moved away from a hot one.
type Pin struct {
	shard int
	owner InstanceID
}

// NewPin returns the exception that places a shard on an owner.
func NewPin(shard int, owner InstanceID) Pin { return Pin{shard: shard, owner: owner} }

// Shard returns the number of the shard.
func (pin Pin) Shard() int { return pin.shard }

// Owner returns the instance that the shard is placed on while it is an active member.
func (pin Pin) Owner() InstanceID { return pin.owner }

// LayoutConfig holds what determines a Layout.
type LayoutConfig struct {
	// Version counts the layouts of the group; it only grows.
	Version uint64
	// Shards is the number of shards, zero for a group that is not divided by key.
	Shards int
	// Members are ordered by name and incarnation.
	Members []Member
	// Witnesses are the instances whose promises keep the leases of the members, the coordinator first.
	Witnesses []Instance
	// Pins are the exceptions to the placement, ordered by shard.
	Pins []Pin
}

// Layout says which instances share a group's shards and which of them witness the leases.
type Layout struct {
	config LayoutConfig
}

// NewLayout returns the layout that the configuration describes.
func NewLayout(config LayoutConfig) Layout { return Layout{config: config} }

// Version returns the count of the group's layouts; it only grows.
func (layout Layout) Version() uint64 { return layout.config.Version }

// Shards returns the number of shards.
func (layout Layout) Shards() int { return layout.config.Shards }

// Members returns the members ordered by name and incarnation; callers do not change the slice.
func (layout Layout) Members() []Member { return layout.config.Members }

// Witnesses returns the witnesses, the coordinator first; callers do not change the slice.
func (layout Layout) Witnesses() []Instance { return layout.config.Witnesses }

// Pins returns the exceptions to the placement; callers do not change the slice.
func (layout Layout) Pins() []Pin { return layout.config.Pins }

// Member returns the member with the identity.
func (layout Layout) Member(id InstanceID) (Member, bool) {
	for _, member := range layout.config.Members {
		if member.ID() == id {
			return member, true
		}
	}
	return Member{}, false
}

// HasWitness reports whether the instance is one of the witnesses.
func (layout Layout) HasWitness(id InstanceID) bool {
	for _, witness := range layout.config.Witnesses {
		if witness.ID() == id {
			return true
		}
	}
	return false
}

// Majority returns how many witnesses make a lease or a clearance valid.
func (layout Layout) Majority() int { return len(layout.config.Witnesses)/2 + 1 }

// Record is what the store holds of a group: the current layout and the one before it.
type Record struct {
	group    GroupID
	current  Layout
	prior    Layout
	revision uint64
}

// NewRecord returns a group's record; revision is zero until the store has given one.
func NewRecord(group GroupID, current, prior Layout, revision uint64) Record {
	return Record{group: group, current: current, prior: prior, revision: revision}
}

// Group returns the identity of the group.
func (record Record) Group() GroupID { return record.group }

// Current returns the layout in force.
func (record Record) Current() Layout { return record.current }

// Prior returns the layout before the current one; its version is zero for the first.
func (record Record) Prior() Layout { return record.prior }

// Version returns the version of the current layout.
func (record Record) Version() uint64 { return record.current.Version() }

// Revision returns the store's revision of the record.
func (record Record) Revision() uint64 { return record.revision }

// WithRevision returns the record as the store holds it at the revision.
func (record Record) WithRevision(revision uint64) Record {
	record.revision = revision
	return record
}
