package router

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// Lease is the lease of this instance on shards of one group.
type Lease struct {
	version  uint64
	deadline time.Time
	tokens   []uint64
	since    []uint64
}

// LeaseConfig holds the fields of a Lease.
type LeaseConfig struct {
	// Version is the version of the layout that the instance has adopted.
	Version uint64
	// Deadline is when the lease expires.
	Deadline time.Time
	// Tokens are the fencing tokens by shard, zero for shards that the instance does not serve.
	Tokens []uint64
	// Since are the store revisions by shard from which on the deduplication records are complete.
	Since []uint64
}

// NewLease returns a lease with the given configuration.
func NewLease(config LeaseConfig) Lease {
	return Lease{version: config.Version, deadline: config.Deadline, tokens: config.Tokens, since: config.Since}
}

// Version returns the version of the layout that the instance has adopted.
func (lease Lease) Version() uint64 { return lease.version }

// Deadline returns when the lease expires.
func (lease Lease) Deadline() time.Time { return lease.deadline }

// Token returns the fencing token of the shard, zero if the instance does not serve it.
func (lease Lease) Token(shard int) uint64 {
	if shard >= len(lease.tokens) {
		return 0
	}
	return lease.tokens[shard]
}

// Since returns the store revision from which on the shard's deduplication records are complete.
func (lease Lease) Since(shard int) uint64 {
	if shard >= len(lease.since) {
		return 0
	}
	return lease.since[shard]
}

// Group is the record of a group with the shard placement derived from it.
type Group struct {
	record    lagoonlanding.Record
	placement lagoonlanding.Placement
}

// NewGroup returns a group with the given record and placement.
func NewGroup(record lagoonlanding.Record, placement lagoonlanding.Placement) Group {
	return Group{record: record, placement: placement}
}

// Record returns the group's record in the store.
func (group Group) Record() lagoonlanding.Record { return group.record }

// Placement returns the owner of each shard.
func (group Group) Placement() lagoonlanding.Placement { return group.placement }

// SnapshotConfig holds the fields of a Snapshot.
type SnapshotConfig struct {
	// Self is this instance.
	Self lagoonlanding.Instance
	// Set is the published set in force; nil until one is known.
	Set *publisher.Set
	// Revision is the store revision up to which the known records are complete.
	Revision uint64
	// Changes counts the changes to Groups.
	Changes uint64
	// Groups are all known groups.
	Groups map[lagoonlanding.GroupID]Group
	// Leases are the leases of this instance.
	Leases map[lagoonlanding.GroupID]Lease
	// Leaving means that this instance is draining and accepts no new requests from its own callers.
	Leaving bool
}

// Snapshot is the immutable state that the control thread publishes to the traffic threads.
type Snapshot struct {
	config SnapshotConfig
}

// NewSnapshot returns a snapshot with the given configuration, whose maps must not be modified afterwards.
func NewSnapshot(config SnapshotConfig) *Snapshot { return &Snapshot{config: config} }

// Self returns this instance.
func (snapshot *Snapshot) Self() lagoonlanding.Instance { return snapshot.config.Self }

// Set returns the published set in force, nil until one is known.
func (snapshot *Snapshot) Set() *publisher.Set { return snapshot.config.Set }

// Revision returns the store revision up to which the known records are complete.
func (snapshot *Snapshot) Revision() uint64 { return snapshot.config.Revision }

// IsLeaving reports whether this instance is draining and accepts no new requests from its own callers.
func (snapshot *Snapshot) IsLeaving() bool { return snapshot.config.Leaving }

// Group returns the group with the ID.
func (snapshot *Snapshot) Group(id lagoonlanding.GroupID) (Group, bool) {
	group, ok := snapshot.config.Groups[id]
	return group, ok
}

// Changes returns the number of changes to the groups so far.
func (snapshot *Snapshot) Changes() uint64 { return snapshot.config.Changes }

// Groups returns all known groups; callers must not modify the map.
func (snapshot *Snapshot) Groups() map[lagoonlanding.GroupID]Group { return snapshot.config.Groups }

// Lease returns this instance's lease on shards of the group.
func (snapshot *Snapshot) Lease(id lagoonlanding.GroupID) (Lease, bool) {
	lease, ok := snapshot.config.Leases[id]
	return lease, ok
}

// IsLeased reports whether this instance has an unexpired lease in any group of the service, which keeps its published set in force.
func (snapshot *Snapshot) IsLeased(now time.Time, service string) bool {
	for id, lease := range snapshot.config.Leases {
		if id.Service() == service && now.Before(lease.Deadline()) {
			return true
		}
	}
	return false
}
