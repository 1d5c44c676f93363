package lagoonlanding

import "fmt"

// ShardID identifies one shard of a group.
type ShardID struct {
	group  GroupID
	number int
}

// NewShardID returns the identity of a group's shard.
func NewShardID(group GroupID, number int) ShardID { return ShardID{group: group, number: number} }

// Group returns the group of the shard.
func (shardid ShardID) Group() GroupID { return shardid.group }

// Number returns the number of the shard within the group.
func (shardid ShardID) Number() int { return shardid.number }

// String formats the group and the number for logs.
func (shardid ShardID) String() string { return fmt.Sprintf("%s/%d", shardid.group, shardid.number) }
