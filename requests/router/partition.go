package router

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// Partition returns the partition that holds a key of the workspace; it is false if no partition is permitted.
//
// Of the partitions within the workspace's home regions the widest share the keys, so the result depends on nothing but the set.
func Partition(service publisher.Service, workspace publisher.Workspace, name string) (publisher.Partition, bool) {
	permitted := widest(service, workspace)
	if len(permitted) == 0 {
		return publisher.Partition{}, false
	}
	index := hash(workspace.Name(), name, partitionSalt) % uint64(len(permitted))
	return permitted[index], true
}

// Shard returns the number of the shard that holds the key.
func Shard(key lagoonlanding.Key, shards int) int {
	return int(hash(key.Workspace(), key.Name(), shardSalt) % uint64(shards))
}

const (
	partitionSalt = "partition"
	shardSalt     = "shard"
)

func widest(service publisher.Service, workspace publisher.Workspace) []publisher.Partition {
	var permitted []publisher.Partition
	width := 0
	for _, partition := range service.Partitions() {
		if !within(partition.Regions(), workspace) {
			continue
		}
		if len(partition.Regions()) > width {
			width = len(partition.Regions())
			permitted = permitted[:0]
		}
		if len(partition.Regions()) == width {
			permitted = append(permitted, partition)
		}
	}
	return permitted
}

func within(regions []string, workspace publisher.Workspace) bool {
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
