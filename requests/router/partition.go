package router

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// Partition returns the partition of a key of the workspace; it returns false if the workspace permits no partition.
//
// Keys are hashed over the permitted partitions with the most regions, so the result depends only on the published set.
func Partition(service publisher.Service, workspace publisher.Workspace, name string) (publisher.Partition, bool) {
	permitted := widestPermitted(service, workspace)
	if len(permitted) == 0 {
		return publisher.Partition{}, false
	}
	index := hash(workspace.Name(), name, partitionSalt) % uint64(len(permitted))
	return permitted[index], true
}

// Shard returns the number of the shard of the key.
func Shard(key lagoonlanding.Key, shards int) int {
	return int(hash(key.Workspace(), key.Name(), shardSalt) % uint64(shards))
}

// Salts that make the partition of a key independent of its shard.
const (
	partitionSalt = "partition"
	shardSalt     = "shard"
)

// widestPermitted returns the permitted partitions with the most regions.
func widestPermitted(service publisher.Service, workspace publisher.Workspace) []publisher.Partition {
	var permitted []publisher.Partition
	regionCount := 0
	for _, partition := range service.Partitions() {
		if !permitsAll(partition.Regions(), workspace) {
			continue
		}
		if len(partition.Regions()) > regionCount {
			regionCount = len(partition.Regions())
			permitted = permitted[:0]
		}
		if len(partition.Regions()) == regionCount {
			permitted = append(permitted, partition)
		}
	}
	return permitted
}

func permitsAll(regions []string, workspace publisher.Workspace) bool {
	return !slices.ContainsFunc(regions, func(region string) bool { return !workspace.Permits(region) })
}

func hash(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
