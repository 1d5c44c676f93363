package performer

import "lagoonlanding.example/lagoonlanding"

type shardKey struct {
	group lagoonlanding.GroupID
	shard int
}

// fences holds the highest token seen for each shard.
type fences map[shardKey]uint64

// raise notes a token that is not below the highest and refuses it otherwise.
func (fences fences) raise(fence lagoonlanding.Fence) error {
	key := shardKey{group: fence.Group(), shard: fence.Shard()}
	if fence.Token() < fences[key] {
		return ErrFenced
	}
	fences[key] = fence.Token()
	return nil
}
