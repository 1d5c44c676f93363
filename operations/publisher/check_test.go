package publisher

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func validConfig() SetConfig {
	return SetConfig{
		Version:     1,
		HomeRegions: []HomeRegion{NewHomeRegion(HomeRegionConfig{Name: "attica"}), NewHomeRegion(HomeRegionConfig{Name: "macedonia"})},
		AvailabilityZones: []AvailabilityZone{
			NewAvailabilityZone(AvailabilityZoneConfig{Name: "piraeus", Region: "attica"}),
			NewAvailabilityZone(AvailabilityZoneConfig{Name: "marousi", Region: "attica"}),
			NewAvailabilityZone(AvailabilityZoneConfig{Name: "kalamaria", Region: "macedonia"}),
		},
		Services: []Service{NewService(ServiceConfig{
			Name: "status-app", Divided: true, LongestDeadline: time.Second, Slots: 6, Connections: 110, Queue: 10,
			Partitions: []Partition{
				NewPartition(PartitionConfig{Name: "mesh", Regions: []string{"attica", "macedonia"}, Shards: 8}),
				NewPartition(PartitionConfig{Name: "attica", Regions: []string{"attica"}, Shards: 8}),
			},
		})},
		Workspaces: []Workspace{
			NewWorkspace(WorkspaceConfig{Name: "open"}),
			NewWorkspace(WorkspaceConfig{Name: "harbour", HomeRegions: []string{"attica"}}),
		},
		Tenants: []Tenant{NewTenant(TenantConfig{Name: "port", Workspace: "harbour", Weight: 1})},
		Classes: []Class{NewClass(ClassConfig{Name: "lookup", Cost: 1})},
		Routes:  []Route{NewRoute(RouteConfig{Name: "tags", Path: "/tags/{key}", Service: "status-app", Class: "lookup"})},
	}
}

func withWorkspace(name string, regions ...string) func(*SetConfig) {
	return func(config *SetConfig) {
		config.Workspaces = append(config.Workspaces[:1:1], NewWorkspace(WorkspaceConfig{Name: name, HomeRegions: regions}))
	}
}

func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		change func(*SetConfig)
		want   []string
	}{
		{"good", func(*SetConfig) {}, nil},
		{"no permitted partition", func(config *SetConfig) {
			config.Workspaces = append(config.Workspaces, NewWorkspace(WorkspaceConfig{Name: "north", HomeRegions: []string{"macedonia"}}))
		}, []string{`workspace.north: home-regions: no partition of service "status-app" lies within these regions`}},
		{"every zone of a partition out of service", func(config *SetConfig) {
			config.AvailabilityZones[0] = NewAvailabilityZone(AvailabilityZoneConfig{Name: "piraeus", Region: "attica", Out: true})
			config.AvailabilityZones[1] = NewAvailabilityZone(AvailabilityZoneConfig{Name: "marousi", Region: "attica", Out: true})
		}, []string{`service.status-app.partition.attica: regions: no availability-zone of these regions is in`}},
		{"name used twice", func(config *SetConfig) {
			config.Classes = append(config.Classes, config.Classes[0])
		}, []string{"class.lookup: the name is used twice"}},
		{"overlap", func(config *SetConfig) {
			config.Routes = append(config.Routes, NewRoute(RouteConfig{Name: "other", Path: "/{key}/new", Methods: []string{"GET"}, Service: "status-app", Class: "lookup"}))
		}, []string{`route.tags: path: it overlaps with route "other", path "/{key}/new"`}},
		{"path", func(config *SetConfig) {
			config.Routes[0] = NewRoute(RouteConfig{Name: "tags", Path: "/a//../{key}", Service: "status-app", Class: "lookup"})
		}, []string{
			`route.tags: path: segment "" is empty, a dot, or holds characters that a path escapes`,
			`route.tags: path: segment ".." is empty, a dot, or holds characters that a path escapes`,
		}},
		{"no partition", func(config *SetConfig) {
			config.Services[0] = NewService(ServiceConfig{Name: "status-app", Divided: true, LongestDeadline: time.Second, Slots: 1, Connections: 1})
		}, []string{"service.status-app: partition: a service needs a partition, or its requests have no permitted owner"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			config := validConfig()
			test.change(&config)
			if diff := cmp.Diff(test.want, faultTexts(Check(NewSet(config)))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCheckChange(t *testing.T) {
	partitions := func(list ...Partition) func(*SetConfig) {
		return func(config *SetConfig) {
			config.Services[0] = NewService(ServiceConfig{Name: "status-app", Divided: true, Partitions: list})
		}
	}
	mesh := NewPartition(PartitionConfig{Name: "mesh", Regions: []string{"macedonia", "attica"}, Shards: 8})
	attica := NewPartition(PartitionConfig{Name: "attica", Regions: []string{"attica"}, Shards: 8})
	cases := []struct {
		name   string
		change func(*SetConfig)
		want   []string
	}{
		{"only the order of regions", partitions(attica, mesh), nil},
		{"version", func(config *SetConfig) { config.Version = 1 }, []string{"set: version: version 1 does not follow version 1"}},
		{"home regions", withWorkspace("harbour"), []string{"workspace.harbour: home-regions: the home regions [attica] of a workspace in force cannot change; " + recreateAdvice}},
		{"partition removed", partitions(mesh), []string{`service.status-app: partition: partition "attica" of a service in force cannot go; ` + recreateAdvice}},
		{"shards", partitions(attica, NewPartition(PartitionConfig{Name: "mesh", Regions: []string{"macedonia", "attica"}, Shards: 9})),
			[]string{"service.status-app.partition.mesh: shards: the shards of a partition in force cannot change; " + recreateAdvice}},
		{"regions", partitions(attica, NewPartition(PartitionConfig{Name: "mesh", Regions: []string{"attica"}, Shards: 8})),
			[]string{"service.status-app.partition.mesh: regions: the regions of a partition in force cannot change; " + recreateAdvice}},
		{"partition added", partitions(attica, mesh, NewPartition(PartitionConfig{Name: "third", Regions: []string{"attica"}, Shards: 8})),
			[]string{"service.status-app.partition.third: a partition cannot be added to a service in force; " + recreateAdvice}},
		{"service removed", func(config *SetConfig) { config.Services = nil }, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			config := validConfig()
			config.Version = 2
			test.change(&config)
			if diff := cmp.Diff(test.want, faultTexts(CheckChange(NewSet(validConfig()), NewSet(config)))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func faultTexts(faults []Fault) []string {
	var lines []string
	for _, fault := range faults {
		lines = append(lines, fault.Error())
	}
	return lines
}
