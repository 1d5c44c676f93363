package player

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

const (
	ownedService  = "status-app"
	pooledService = "tag-ledger"
	homeWorkspace = "bound-to-"
	openWorkspace = "open"
	// shardsOwned and shardsPooled are small, so that requests meet the same shards often.
	shardsOwned  = 12
	shardsPooled = 6
)

// The longest run of a request; the pooled service's backend servers check no fencing tokens.
const (
	longestOwned  = 2 * time.Second
	longestPooled = time.Second
)

// slot is a place for a daemon, whoever runs in it.
type slot struct {
	number  int
	name    string
	address string
	zone    string
	region  string
	service string
}

// shape is the fleet's places and its published set, drawn from the seed.
type shape struct {
	regions []string
	zones   []publisher.AvailabilityZone
	slots   []slot
}

var regionNames = []string{"attica", "macedonia", "crete"}

func newShape(random *rand.Rand) shape {
	var shape shape
	shape.regions = regionNames[:2+random.IntN(2)]
	for _, region := range shape.regions {
		for number := range 2 {
			name := fmt.Sprintf("%s-%d", region, number+1)
			shape.zones = append(shape.zones, publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{Name: name, Region: region}))
		}
	}
	for _, zone := range shape.zones {
		for number := range 2 + random.IntN(2) {
			shape.addSlot(zone, number)
		}
	}
	return shape
}

func (shape *shape) addSlot(zone publisher.AvailabilityZone, number int) {
	service := ownedService
	if number%2 == 1 {
		service = pooledService
	}
	name := fmt.Sprintf("%s-%c", zone.Name(), 'a'+number)
	shape.slots = append(shape.slots, slot{
		number: len(shape.slots), name: name, address: name + ":1", zone: zone.Name(), region: zone.Region(), service: service,
	})
}

// set returns the published set with the availability zones that are out.
func (shape shape) set(version uint64, out map[string]bool) *publisher.Set {
	config := publisher.SetConfig{Version: version}
	for _, region := range shape.regions {
		config.HomeRegions = append(config.HomeRegions, publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: region}))
	}
	for _, zone := range shape.zones {
		config.AvailabilityZones = append(config.AvailabilityZones, publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{
			Name: zone.Name(), Region: zone.Region(), Out: out[zone.Name()],
		}))
	}
	config.Services = []publisher.Service{
		publisher.NewService(publisher.ServiceConfig{
			Name: ownedService, Divided: true, ChecksFence: true, LongestDeadline: longestOwned, Slots: 64, Queue: 64,
			Partitions: shape.partitions(shardsOwned),
		}),
		publisher.NewService(publisher.ServiceConfig{
			Name: pooledService, LongestDeadline: longestPooled, Slots: 64, Queue: 64,
			Partitions: shape.partitions(shardsPooled),
		}),
	}
	for _, workspace := range shape.workspaces() {
		config.Workspaces = append(config.Workspaces, workspace)
		config.Tenants = append(config.Tenants, publisher.NewTenant(publisher.TenantConfig{
			Name: workspace.Name(), Workspace: workspace.Name(), Weight: 1,
		}))
	}
	return publisher.NewSet(config)
}

// partitions returns one partition over all regions and one within each region that has a bound workspace.
func (shape shape) partitions(shards int) []publisher.Partition {
	partitions := []publisher.Partition{
		publisher.NewPartition(publisher.PartitionConfig{Name: "mesh", Regions: shape.regions, Shards: shards}),
	}
	for _, region := range shape.regions[:2] {
		partitions = append(partitions, publisher.NewPartition(publisher.PartitionConfig{
			Name: region, Regions: []string{region}, Shards: shards / 2,
		}))
	}
	return partitions
}

func (shape shape) workspaces() []publisher.Workspace {
	workspaces := []publisher.Workspace{publisher.NewWorkspace(publisher.WorkspaceConfig{Name: openWorkspace})}
	for _, region := range shape.regions[:2] {
		workspaces = append(workspaces, publisher.NewWorkspace(publisher.WorkspaceConfig{
			Name: homeWorkspace + region, HomeRegions: []string{region},
		}))
	}
	return workspaces
}
