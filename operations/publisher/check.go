package publisher

import (
	"fmt"
	"regexp"
	"slices"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// Check returns every fault of the set that can be found without other sets.
//
// Routes refer to services and classes, tenants to workspaces, and workspaces and zones to home regions, so references cannot
// form a cycle.
func Check(set *Set) []Fault {
	checker := &checker{set: set}
	checker.checkCounts()
	checker.checkNames()
	if len(checker.faults) > 0 && checker.oversized {
		return checker.faults
	}
	for _, zone := range set.AvailabilityZones() {
		checker.checkRegions("availability-zone."+zone.Name(), "region", []string{zone.Region()})
	}
	for _, service := range set.Services() {
		checker.checkService(service)
	}
	for _, workspace := range set.Workspaces() {
		checker.checkRegions("workspace."+workspace.Name(), "home-regions", workspace.HomeRegions())
	}
	checker.checkTenantsAndClasses()
	checker.checkRoutes()
	checker.checkHomeRegionCoverage()
	return checker.faults
}

type checker struct {
	set       *Set
	faults    []Fault
	oversized bool
}

func (checker *checker) addFault(object, field, format string, args ...any) {
	checker.faults = append(checker.faults, NewFault(object, field, fmt.Sprintf(format, args...)))
}

func (checker *checker) checkCounts() {
	partitions := 0
	for _, service := range checker.set.Services() {
		partitions += len(service.Partitions())
	}
	checker.checkCount("home-region", len(checker.set.HomeRegions()), MaxHomeRegions)
	checker.checkCount("availability-zone", len(checker.set.AvailabilityZones()), MaxAvailabilityZones)
	checker.checkCount("service", len(checker.set.Services()), MaxServices)
	checker.checkCount("partition", partitions, MaxPartitions)
	checker.checkCount("workspace", len(checker.set.Workspaces()), MaxWorkspaces)
	checker.checkCount("tenant", len(checker.set.Tenants()), MaxTenants)
	checker.checkCount("class", len(checker.set.Classes()), MaxClasses)
	checker.checkCount("route", len(checker.set.Routes()), MaxRoutes)
}

func (checker *checker) checkCount(kind string, count, limit int) {
	if count > limit {
		checker.oversized = true
		checker.addFault(kind, "", "the set has %d objects of this kind, at most %d are allowed", count, limit)
	}
}

func (checker *checker) checkNames() {
	checkNames(checker, "home-region", checker.set.HomeRegions())
	checkNames(checker, "availability-zone", checker.set.AvailabilityZones())
	checkNames(checker, "service", checker.set.Services())
	checkNames(checker, "workspace", checker.set.Workspaces())
	checkNames(checker, "tenant", checker.set.Tenants())
	checkNames(checker, "class", checker.set.Classes())
	checkNames(checker, "route", checker.set.Routes())
	for _, service := range checker.set.Services() {
		checkNames(checker, "service."+service.Name()+".partition", service.Partitions())
	}
}

func checkNames[T named](checker *checker, kind string, objects []T) {
	seen := make(map[string]bool, len(objects))
	for _, object := range objects {
		name := object.Name()
		if len(name) > MaxNameLength || !namePattern.MatchString(name) {
			checker.addFault(kind+"."+name, "", "the name must be in kebab case (a-z, 0-9, -) with at most %d characters", MaxNameLength)
		}
		if seen[name] {
			checker.addFault(kind+"."+name, "", "the name is used twice")
		}
		seen[name] = true
	}
}

func (checker *checker) checkRegions(object, field string, regions []string) {
	for i, region := range regions {
		if _, ok := checker.set.HomeRegion(region); !ok {
			checker.addFault(object, field, "there is no home-region %q", region)
		}
		if slices.Contains(regions[:i], region) {
			checker.addFault(object, field, "home-region %q is listed twice", region)
		}
	}
}

func (checker *checker) checkRange(object, field string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		checker.addFault(object, field, "%d is not between %d and %d", value, minimum, maximum)
	}
}

func (checker *checker) checkService(service Service) {
	object := "service." + service.Name()
	if service.LongestDeadline() <= 0 || service.LongestDeadline() > MaxLongestDeadline {
		checker.addFault(object, "longest-deadline", "%v is not above zero and at most %v", service.LongestDeadline(), MaxLongestDeadline)
	}
	checker.checkRange(object, "slots", service.Slots(), 1, MaxCount)
	checker.checkRange(object, "connections", service.Connections(), 1, MaxCount)
	checker.checkRange(object, "queue", service.Queue(), 0, MaxCount)
	if len(service.Partitions()) == 0 {
		checker.addFault(object, "partition", "a service needs a partition, or its requests have no permitted owner")
	}
	for _, partition := range service.Partitions() {
		checker.checkPartition(service, partition)
	}
}

func (checker *checker) checkPartition(service Service, partition Partition) {
	object := "service." + service.Name() + ".partition." + partition.Name()
	checker.checkRange(object, "shards", partition.Shards(), 1, MaxShards)
	if len(partition.Regions()) == 0 {
		checker.addFault(object, "regions", "a partition needs a home-region, or no instance may join it")
		return
	}
	checker.checkRegions(object, "regions", partition.Regions())
	if !slices.ContainsFunc(checker.set.AvailabilityZones(), func(zone AvailabilityZone) bool {
		return !zone.IsOut() && slices.Contains(partition.Regions(), zone.Region())
	}) {
		checker.addFault(object, "regions", "no availability-zone of these regions is in")
	}
}

func (checker *checker) checkTenantsAndClasses() {
	for _, tenant := range checker.set.Tenants() {
		object := "tenant." + tenant.Name()
		if _, ok := checker.set.Workspace(tenant.Workspace()); !ok {
			checker.addFault(object, "workspace", "there is no workspace %q", tenant.Workspace())
		}
		checker.checkRange(object, "weight", tenant.Weight(), 1, MaxCount)
		checker.checkRange(object, "limit", tenant.Limit(), 0, MaxCount)
	}
	for _, class := range checker.set.Classes() {
		checker.checkRange("class."+class.Name(), "cost", class.Cost(), 1, MaxCount)
	}
}
