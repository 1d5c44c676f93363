package router

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// Holding is this instance's right to serve shards of one group.
type Holding struct {
	version  uint64
	deadline time.Time
	tokens   []uint64
	since    []uint64
}

// HoldingConfig holds the parts of a Holding.
type HoldingConfig struct {
	// Version is the layout that the instance has adopted.
	Version uint64
	// Deadline is when the lease lapses.
	Deadline time.Time
	// Tokens are the fencing tokens by shard, zero for shards that the instance does not serve.
	Tokens []uint64
	// Since are the store revisions by shard from which on the ledger is complete.
	Since []uint64
}

// NewHolding returns the right that the configuration describes.
func NewHolding(config HoldingConfig) Holding {
	return Holding{version: config.Version, deadline: config.Deadline, tokens: config.Tokens, since: config.Since}
}

// Version returns the layout that the instance has adopted.
func (holding Holding) Version() uint64 { return holding.version }

// Deadline returns when the lease lapses.
func (holding Holding) Deadline() time.Time { return holding.deadline }

// Token returns the fencing token of the shard, zero if the instance does not serve it.
func (holding Holding) Token(shard int) uint64 {
	if shard >= len(holding.tokens) {
		return 0
	}
	return holding.tokens[shard]
}

// Since returns the store revision from which on the shard's ledger is complete.
func (holding Holding) Since(shard int) uint64 {
	if shard >= len(holding.since) {
		return 0
	}
	return holding.since[shard]
}

// Group is a group's record with the placement derived from it.
type Group struct {
	record    lagoonlanding.Record
	placement lagoonlanding.Placement
}

// NewGroup returns the record with its placement.
func NewGroup(record lagoonlanding.Record, placement lagoonlanding.Placement) Group {
	return Group{record: record, placement: placement}
}

// Record returns the record as the store holds it.
func (group Group) Record() lagoonlanding.Record { return group.record }

// Placement returns the owner of each shard.
func (group Group) Placement() lagoonlanding.Placement { return group.placement }

// SnapshotConfig holds the parts of a Snapshot.
type SnapshotConfig struct {
	// Self is this instance.
	Self lagoonlanding.Instance
	// Set is the published set in force, nil before the first is known.
	Set *publisher.Set
	// Revision is the store revision up to which the directory is known.
	Revision uint64
	// Changes counts the changes of Groups.
	Changes uint64
	// Groups are all known groups.
	Groups map[lagoonlanding.GroupID]Group
	// Holdings are the rights of this instance.
	Holdings map[lagoonlanding.GroupID]Holding
	// Leaving says that this instance takes no new work of its own.
	Leaving bool
}

// Snapshot is what the control thread publishes to traffic; it never changes.
type Snapshot struct {
	config SnapshotConfig
}

// NewSnapshot returns the snapshot that the configuration describes; the maps must not change afterwards.
func NewSnapshot(config SnapshotConfig) *Snapshot { return &Snapshot{config: config} }

// Self returns this instance.
func (snapshot *Snapshot) Self() lagoonlanding.Instance { return snapshot.config.Self }

// Set returns the published set in force, nil before the first is known.
func (snapshot *Snapshot) Set() *publisher.Set { return snapshot.config.Set }

// Revision returns the store revision up to which the directory is known.
func (snapshot *Snapshot) Revision() uint64 { return snapshot.config.Revision }

// IsLeaving reports whether this instance takes no new work of its own.
func (snapshot *Snapshot) IsLeaving() bool { return snapshot.config.Leaving }

// Group returns the group with the identity.
func (snapshot *Snapshot) Group(id lagoonlanding.GroupID) (Group, bool) {
	group, ok := snapshot.config.Groups[id]
	return group, ok
}

// Changes returns the count of changes of the groups.
func (snapshot *Snapshot) Changes() uint64 { return snapshot.config.Changes }

// Groups returns all known groups; callers do not change the map.
func (snapshot *Snapshot) Groups() map[lagoonlanding.GroupID]Group { return snapshot.config.Groups }

// Holding returns this instance's right to serve shards of the group.
func (snapshot *Snapshot) Holding(id lagoonlanding.GroupID) (Holding, bool) {
	holding, ok := snapshot.config.Holdings[id]
	return holding, ok
}

// IsLeased reports whether this instance holds an unexpired lease in some group of the service, so that its published set is in force.
func (snapshot *Snapshot) IsLeased(now time.Time, service string) bool {
	for id, holding := range snapshot.config.Holdings {
		if id.Service() == service && now.Before(holding.Deadline()) {
			return true
		}
	}
	return false
}
