package lagoonlanding

import "fmt"

// GroupID identifies a group: the members that share the shards of one partition of a service.
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

// MemberState is the state of a member; it determines whether the member may own shards.
type MemberState uint8

// The states of a member.
const (
	// MemberActive members may own shards and accept new requests.
	MemberActive MemberState = iota + 1
	// MemberOutOfService members are in an availability zone that operators have taken out of service; they may become active again.
	MemberOutOfService
	// MemberLeaving members hand over their shards and then leave the group permanently.
	MemberLeaving
)

// Member is an instance within a group.
type Member struct {
	instance Instance
	state    MemberState
	weight   int
}

// NewMember returns a member with its state and its weight as a percentage of a standard share.
func NewMember(instance Instance, state MemberState, weight int) Member {
	return Member{instance: instance, state: state, weight: weight}
}

// Instance returns the member's instance.
func (member Member) Instance() Instance { return member.instance }

// ID returns the identity of the member's instance.
func (member Member) ID() InstanceID { return member.instance.ID() }

// State returns the state of the member.
func (member Member) State() MemberState { return member.state }

// Weight returns the member's share of the shards as a percentage of a standard share.
func (member Member) Weight() int { return member.weight }

// Pin overrides the placement of one shard, to keep it on a member or to move it away from an overloaded one.
type Pin struct {
	shard int
	owner InstanceID
}

// NewPin returns an override that places a shard on an owner.
func NewPin(shard int, owner InstanceID) Pin { return Pin{shard: shard, owner: owner} }

// Shard returns the number of the shard.
func (pin Pin) Shard() int { return pin.shard }

// Owner returns the instance that owns the shard for as long as it is an active member.
func (pin Pin) Owner() InstanceID { return pin.owner }

// LayoutConfig holds the fields of a Layout.
type LayoutConfig struct {
	// Version is the layout version of the group; it only increases.
	Version uint64
	// Shards is the number of shards, zero for a group that is not sharded.
	Shards int
	// Members are ordered by name and incarnation.
	Members []Member
	// Witnesses are the instances whose promises grant the members' leases; the coordinator is first.
	Witnesses []Instance
	// Pins are the placement overrides, ordered by shard.
	Pins []Pin
}

// Layout lists the members that share a group's shards and the witnesses that grant their leases.
type Layout struct {
	config LayoutConfig
}

// NewLayout returns a layout with the given configuration.
func NewLayout(config LayoutConfig) Layout { return Layout{config: config} }

// Version returns the layout version; it only increases.
func (layout Layout) Version() uint64 { return layout.config.Version }

// Shards returns the number of shards.
func (layout Layout) Shards() int { return layout.config.Shards }

// Members returns the members ordered by name and incarnation; callers must not modify the slice.
func (layout Layout) Members() []Member { return layout.config.Members }

// Witnesses returns the witnesses with the coordinator first; callers must not modify the slice.
func (layout Layout) Witnesses() []Instance { return layout.config.Witnesses }

// Pins returns the placement overrides; callers must not modify the slice.
func (layout Layout) Pins() []Pin { return layout.config.Pins }

// Member returns the member with the given instance identity.
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

// Majority returns the number of witnesses required for a lease or a clearance.
func (layout Layout) Majority() int { return len(layout.config.Witnesses)/2 + 1 }

// Record is a group's entry in the store: the current layout and the previous one.
type Record struct {
	group    GroupID
	current  Layout
	prior    Layout
	revision uint64
}

// NewRecord returns a group's record; revision is zero until the record is stored.
func NewRecord(group GroupID, current, prior Layout, revision uint64) Record {
	return Record{group: group, current: current, prior: prior, revision: revision}
}

// Group returns the identity of the group.
func (record Record) Group() GroupID { return record.group }

// Current returns the layout in effect.
func (record Record) Current() Layout { return record.current }

// Prior returns the previous layout; its version is zero if the current layout is the first.
func (record Record) Prior() Layout { return record.prior }

// Version returns the version of the current layout.
func (record Record) Version() uint64 { return record.current.Version() }

// Revision returns the store revision of the record.
func (record Record) Revision() uint64 { return record.revision }

// WithRevision returns a copy of the record with the given store revision.
func (record Record) WithRevision(revision uint64) Record {
	record.revision = revision
	return record
}
