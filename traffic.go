package lagoonlanding

import "context"

// ShardTraffic is the control thread's interface to the per-shard state of the traffic path.
type ShardTraffic interface {
	// AwaitIdle waits until the shard has no admitted requests or ctx ends.
	AwaitIdle(ctx context.Context, group GroupID, shard int) error
	// Export returns the recent deduplication records of the shard.
	Export(group GroupID, shard int) []Attempt
	// Import replaces the deduplication records of a shard by those of its previous owner; if these exceed the capacity, it drops the shard's records and returns false.
	Import(group GroupID, shard int, attempts []Attempt) bool
	// Drop discards the deduplication records of a shard.
	Drop(group GroupID, shard int)
	// Loads returns the busiest shards of the group.
	Loads(group GroupID) []ShardLoad
}
