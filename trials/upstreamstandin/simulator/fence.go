package simulator

import "lagoonlanding.example/lagoonlanding"

// shardKey identifies a shard of a group.
type shardKey struct {
	group lagoonlanding.GroupID
	shard int
}

// fences holds the highest token seen for each shard.
type fences map[shardKey]uint64

// advance records the fence's token, or returns ErrFenced if a higher token has been seen.
func (fences fences) advance(fence lagoonlanding.Fence) error {
	key := shardKey{group: fence.Group(), shard: fence.Shard()}
	if fence.Token() < fences[key] {
		return ErrFenced
	}
	fences[key] = fence.Token()
	return nil
}
