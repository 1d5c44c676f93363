package lagoonlanding

import "time"

// MemberStatus is what a witness knows of a member.
type MemberStatus struct {
	id     InstanceID
	state  MemberState
	lapses time.Time
	set    uint64
}

// NewMemberStatus returns the status of a member whose promise lapses at the given time and who applies the published set.
func NewMemberStatus(id InstanceID, state MemberState, lapses time.Time, set uint64) MemberStatus {
	return MemberStatus{id: id, state: state, lapses: lapses, set: set}
}

// ID returns the identity of the member.
func (memberstatus MemberStatus) ID() InstanceID { return memberstatus.id }

// State says whether the member may own shards.
func (memberstatus MemberStatus) State() MemberState { return memberstatus.state }

// Lapses returns when the witness's promise to the member lapses; it is zero if there is none.
func (memberstatus MemberStatus) Lapses() time.Time { return memberstatus.lapses }

// Set returns the version of the published set that the member applied at its last renewal.
func (memberstatus MemberStatus) Set() uint64 { return memberstatus.set }

// GroupStatusConfig holds the parts of a GroupStatus.
type GroupStatusConfig struct {
	// Group is the group.
	Group GroupID
	// Version is the newest layout version that the instance knows.
	Version uint64
	// Acting says that the instance coordinates the group.
	Acting bool
	// Witness says that the newest layout names the instance as a witness.
	Witness bool
	// Set is the version of the published set that the instance applies.
	Set uint64
	// Settled says that the next layout may be written.
	Settled bool
	// Blind says that the instance cannot reach the store.
	Blind bool
	// Members are the members of the newest layout, as the instance knows them as a witness.
	Members []MemberStatus
	// Serving, Acquiring and Draining count the instance's own shards.
	Serving, Acquiring, Draining int
	// Deadline is when the instance's own lease lapses; zero if it has none.
	Deadline time.Time
}

// GroupStatus is what one instance knows of a group.
type GroupStatus struct {
	config GroupStatusConfig
}

// NewGroupStatus returns the status that the configuration describes.
func NewGroupStatus(config GroupStatusConfig) GroupStatus { return GroupStatus{config: config} }

// Group returns the group.
func (groupstatus GroupStatus) Group() GroupID { return groupstatus.config.Group }

// Version returns the newest layout version that the instance knows.
func (groupstatus GroupStatus) Version() uint64 { return groupstatus.config.Version }

// IsActing reports whether the instance coordinates the group.
func (groupstatus GroupStatus) IsActing() bool { return groupstatus.config.Acting }

// IsWitness reports whether the newest layout names the instance as a witness.
func (groupstatus GroupStatus) IsWitness() bool { return groupstatus.config.Witness }

// Set returns the version of the published set that the instance applies.
func (groupstatus GroupStatus) Set() uint64 { return groupstatus.config.Set }

// IsSettled reports whether the next layout may be written.
func (groupstatus GroupStatus) IsSettled() bool { return groupstatus.config.Settled }

// IsBlind reports whether the instance cannot reach the store.
func (groupstatus GroupStatus) IsBlind() bool { return groupstatus.config.Blind }

// Members returns the members as the instance knows them as a witness.
func (groupstatus GroupStatus) Members() []MemberStatus { return groupstatus.config.Members }

// Serving returns how many shards the instance serves.
func (groupstatus GroupStatus) Serving() int { return groupstatus.config.Serving }

// Acquiring returns how many shards the instance waits for.
func (groupstatus GroupStatus) Acquiring() int { return groupstatus.config.Acquiring }

// Draining returns how many shards the instance hands over.
func (groupstatus GroupStatus) Draining() int { return groupstatus.config.Draining }

// Deadline returns when the instance's own lease lapses, zero if it has none.
func (groupstatus GroupStatus) Deadline() time.Time { return groupstatus.config.Deadline }

// StatusRequest asks an instance for what it knows of a group.
type StatusRequest struct {
	group GroupID
}

// NewStatusRequest returns the question about a group.
func NewStatusRequest(group GroupID) StatusRequest { return StatusRequest{group: group} }

// Group returns the group.
func (statusrequest StatusRequest) Group() GroupID { return statusrequest.group }

// InstanceStatus is what one instance knows of itself and its groups.
type InstanceStatus struct {
	instance Instance
	set      uint64
	revision uint64
	blind    bool
	leaving  bool
	groups   []GroupStatus
}

// InstanceStatusConfig holds the parts of an InstanceStatus.
type InstanceStatusConfig struct {
	// Instance is the instance.
	Instance Instance
	// Set is the version of the published set that it applies.
	Set uint64
	// Revision is the store revision up to which it knows the directory.
	Revision uint64
	// Blind says that it cannot reach the store.
	Blind bool
	// Leaving says that it hands over its shards.
	Leaving bool
	// Groups are the groups in which it has a role, ordered by name.
	Groups []GroupStatus
}

// NewInstanceStatus returns the status that the configuration describes.
func NewInstanceStatus(config InstanceStatusConfig) InstanceStatus {
	return InstanceStatus{
		instance: config.Instance, set: config.Set, revision: config.Revision,
		blind: config.Blind, leaving: config.Leaving, groups: config.Groups,
	}
}

// Instance returns the instance.
func (instancestatus InstanceStatus) Instance() Instance { return instancestatus.instance }

// Set returns the version of the published set that the instance applies.
func (instancestatus InstanceStatus) Set() uint64 { return instancestatus.set }

// Revision returns the store revision up to which the instance knows the directory.
func (instancestatus InstanceStatus) Revision() uint64 { return instancestatus.revision }

// IsBlind reports whether the instance cannot reach the store.
func (instancestatus InstanceStatus) IsBlind() bool { return instancestatus.blind }

// IsLeaving reports whether the instance hands over its shards.
func (instancestatus InstanceStatus) IsLeaving() bool { return instancestatus.leaving }

// Groups returns the groups in which the instance has a role.
func (instancestatus InstanceStatus) Groups() []GroupStatus { return instancestatus.groups }
