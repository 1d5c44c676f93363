package publisher

import (
	"fmt"
	"slices"
)

const recreateAdvice = "remove it in one publish and add it under another name in a later one"

// CheckChange returns every fault in replacing the old set with the new one; old is nil before the first publish.
//
// The partition and the shard of a key, or of an idempotency key, are derived from its workspace and service. The fields that
// this depends on cannot change while instances use them to find owners.
func CheckChange(old, new *Set) []Fault {
	if old == nil {
		return nil
	}
	var faults []Fault
	if new.Version() <= old.Version() {
		problem := fmt.Sprintf("version %d does not follow version %d", new.Version(), old.Version())
		faults = append(faults, NewFault("set", "version", problem))
	}
	for _, workspace := range new.Workspaces() {
		before, ok := old.Workspace(workspace.Name())
		if ok && !sameNames(before.HomeRegions(), workspace.HomeRegions()) {
			problem := fmt.Sprintf("the home regions %v of a workspace in force cannot change; %s", before.HomeRegions(), recreateAdvice)
			faults = append(faults, NewFault("workspace."+workspace.Name(), "home-regions", problem))
		}
	}
	for _, service := range new.Services() {
		before, ok := old.Service(service.Name())
		if ok {
			faults = append(faults, checkServiceChange(before, service)...)
		}
	}
	return faults
}

func checkServiceChange(before, service Service) []Fault {
	object := "service." + service.Name()
	if before.IsDivided() != service.IsDivided() {
		return []Fault{NewFault(object, "divided", "it cannot change for a service in force; "+recreateAdvice)}
	}
	var faults []Fault
	for _, partition := range before.Partitions() {
		after, ok := service.partition(partition.Name())
		partitionObject := object + ".partition." + partition.Name()
		switch {
		case !ok:
			faults = append(faults, NewFault(object, "partition", fmt.Sprintf("partition %q of a service in force cannot go; %s", partition.Name(), recreateAdvice)))
		case !sameNames(partition.Regions(), after.Regions()):
			faults = append(faults, NewFault(partitionObject, "regions", "the regions of a partition in force cannot change; "+recreateAdvice))
		case partition.Shards() != after.Shards():
			faults = append(faults, NewFault(partitionObject, "shards", "the shards of a partition in force cannot change; "+recreateAdvice))
		}
	}
	for _, partition := range service.Partitions() {
		if _, ok := before.partition(partition.Name()); !ok {
			faults = append(faults, NewFault(object+".partition."+partition.Name(), "", "a partition cannot be added to a service in force; "+recreateAdvice))
		}
	}
	return faults
}

func (service Service) partition(name string) (Partition, bool) {
	for _, partition := range service.Partitions() {
		if partition.Name() == name {
			return partition, true
		}
	}
	return Partition{}, false
}

func sameNames(first, second []string) bool {
	left := slices.Sorted(slices.Values(first))
	right := slices.Sorted(slices.Values(second))
	return slices.Equal(left, right)
}
