package lagoonlanding

import "context"

// ShardTraffic is what the control thread asks of the traffic path about single shards.
type ShardTraffic interface {
	// AwaitIdle waits until no admitted request of the shard is left, or ctx ends.
	AwaitIdle(ctx context.Context, group GroupID, shard int) error
	// Export returns the recent attempts of the shard.
	Export(group GroupID, shard int) []Attempt
	// Import takes the attempts of a shard over from its prior owner; it is false, and the shard forgotten, if they do not fit.
	Import(group GroupID, shard int, attempts []Attempt) bool
	// Drop forgets the attempts of a shard.
	Drop(group GroupID, shard int)
	// Loads returns the busiest shards of the group.
	Loads(group GroupID) []ShardLoad
}
