package lagoonlanding

import "time"

// MemberStatus is a witness's view of a member.
type MemberStatus struct {
	id            InstanceID
	state         MemberState
	promisedUntil time.Time
	set           uint64
}

// NewMemberStatus returns the status of a member with the expiry of its promise and the version of its published set.
func NewMemberStatus(id InstanceID, state MemberState, promisedUntil time.Time, set uint64) MemberStatus {
	return MemberStatus{id: id, state: state, promisedUntil: promisedUntil, set: set}
}

// ID returns the identity of the member.
func (memberstatus MemberStatus) ID() InstanceID { return memberstatus.id }

// State returns the state of the member.
func (memberstatus MemberStatus) State() MemberState { return memberstatus.state }

// PromisedUntil returns when the witness's promise to the member expires; the zero time if there is none.
func (memberstatus MemberStatus) PromisedUntil() time.Time { return memberstatus.promisedUntil }

// Set returns the version of the published set that the member applied at its last renewal.
func (memberstatus MemberStatus) Set() uint64 { return memberstatus.set }

// GroupStatusConfig holds the fields of a GroupStatus.
type GroupStatusConfig struct {
	// Group is the group.
	Group GroupID
	// Version is the newest layout version that the instance knows.
	Version uint64
	// Coordinating means that the instance is the group's coordinator.
	Coordinating bool
	// Witness means that the instance is a witness in the newest layout.
	Witness bool
	// Set is the version of the published set that the instance applies.
	Set uint64
	// Settled means that the next layout may be written.
	Settled bool
	// Disconnected means that the instance cannot reach the store.
	Disconnected bool
	// Members are the members of the newest layout as seen by the instance as a witness.
	Members []MemberStatus
	// Serving, Acquiring and Draining are the numbers of the instance's own shards in these states.
	Serving, Acquiring, Draining int
	// Deadline is when the instance's own lease expires; the zero time if it has none.
	Deadline time.Time
}

// GroupStatus is one instance's view of a group.
type GroupStatus struct {
	config GroupStatusConfig
}

// NewGroupStatus returns a status with the given configuration.
func NewGroupStatus(config GroupStatusConfig) GroupStatus { return GroupStatus{config: config} }

// Group returns the group.
func (groupstatus GroupStatus) Group() GroupID { return groupstatus.config.Group }

// Version returns the newest layout version that the instance knows.
func (groupstatus GroupStatus) Version() uint64 { return groupstatus.config.Version }

// IsCoordinator reports whether the instance is the group's coordinator.
func (groupstatus GroupStatus) IsCoordinator() bool { return groupstatus.config.Coordinating }

// IsWitness reports whether the instance is a witness in the newest layout.
func (groupstatus GroupStatus) IsWitness() bool { return groupstatus.config.Witness }

// Set returns the version of the published set that the instance applies.
func (groupstatus GroupStatus) Set() uint64 { return groupstatus.config.Set }

// IsSettled reports whether the next layout may be written.
func (groupstatus GroupStatus) IsSettled() bool { return groupstatus.config.Settled }

// IsDisconnected reports whether the instance cannot reach the store.
func (groupstatus GroupStatus) IsDisconnected() bool { return groupstatus.config.Disconnected }

// Members returns the members of the newest layout as seen by the instance as a witness.
func (groupstatus GroupStatus) Members() []MemberStatus { return groupstatus.config.Members }

// Serving returns the number of shards that the instance serves.
func (groupstatus GroupStatus) Serving() int { return groupstatus.config.Serving }

// Acquiring returns the number of shards that the instance waits to take over.
func (groupstatus GroupStatus) Acquiring() int { return groupstatus.config.Acquiring }

// Draining returns the number of shards that the instance hands over.
func (groupstatus GroupStatus) Draining() int { return groupstatus.config.Draining }

// Deadline returns when the instance's own lease expires, the zero time if it has none.
func (groupstatus GroupStatus) Deadline() time.Time { return groupstatus.config.Deadline }

// StatusRequest asks an instance for its status of a group.
type StatusRequest struct {
	group GroupID
}

// NewStatusRequest returns a status request for a group.
func NewStatusRequest(group GroupID) StatusRequest { return StatusRequest{group: group} }

// Group returns the group.
func (statusrequest StatusRequest) Group() GroupID { return statusrequest.group }

// InstanceStatus is the status of one instance and its groups.
type InstanceStatus struct {
	instance     Instance
	set          uint64
	revision     uint64
	disconnected bool
	leaving      bool
	groups       []GroupStatus
}

// InstanceStatusConfig holds the fields of an InstanceStatus.
type InstanceStatusConfig struct {
	// Instance describes the instance.
	Instance Instance
	// Set is the version of the published set that the instance applies.
	Set uint64
	// Revision is the store revision that the instance's directory has reached.
	Revision uint64
	// Disconnected means that the instance cannot reach the store.
	Disconnected bool
	// Leaving means that the instance hands over its shards.
	Leaving bool
	// Groups are the groups in which it has a role, ordered by name.
	Groups []GroupStatus
}

// NewInstanceStatus returns a status with the given configuration.
func NewInstanceStatus(config InstanceStatusConfig) InstanceStatus {
	return InstanceStatus{
		instance: config.Instance, set: config.Set, revision: config.Revision,
		disconnected: config.Disconnected, leaving: config.Leaving, groups: config.Groups,
	}
}

// Instance returns the description of the instance.
func (instancestatus InstanceStatus) Instance() Instance { return instancestatus.instance }

// Set returns the version of the published set that the instance applies.
func (instancestatus InstanceStatus) Set() uint64 { return instancestatus.set }

// Revision returns the store revision that the instance's directory has reached.
func (instancestatus InstanceStatus) Revision() uint64 { return instancestatus.revision }

// IsDisconnected reports whether the instance cannot reach the store.
func (instancestatus InstanceStatus) IsDisconnected() bool { return instancestatus.disconnected }

// IsLeaving reports whether the instance hands over its shards.
func (instancestatus InstanceStatus) IsLeaving() bool { return instancestatus.leaving }

// Groups returns the groups in which the instance has a role.
func (instancestatus InstanceStatus) Groups() []GroupStatus { return instancestatus.groups }
