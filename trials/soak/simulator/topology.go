package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

const (
	// ownedService runs all requests at the owners of their shards; pooledService runs idempotent ones at any of its backend servers.
	ownedService  = "status-app"
	pooledService = "tag-ledger"
	// homeWorkspacePrefix and the name of a region form the name of the workspace that is restricted to that region.
	homeWorkspacePrefix = "bound-to-"
	openWorkspace       = "open"
	// ownedShards and pooledShards are small, so that many requests use the same shards.
	ownedShards  = 12
	pooledShards = 6
)

// The maximum run times of the requests; after a move of a shard of the pooled service, whose backend servers check no fencing
// tokens, the new owner waits until the requests of the previous one must have ended.
const (
	maxOwnedRunTime  = 2 * time.Second
	maxPooledRunTime = time.Second
)

// slot is the name, address and location of a daemon, which all of its incarnations share.
type slot struct {
	number  int
	name    string
	address string
	zone    string
	region  string
	service string
}

// topology is the regions, zones and slots of a fleet, generated from the seed.
type topology struct {
	regions []string
	zones   []publisher.AvailabilityZone
	slots   []slot
}

var regionNames = []string{"attica", "macedonia", "crete"}

func newTopology(random *rand.Rand) topology {
	var topology topology
	topology.regions = regionNames[:2+random.IntN(2)]
	for _, region := range topology.regions {
		for number := range 2 {
			name := fmt.Sprintf("%s-%d", region, number+1)
			topology.zones = append(topology.zones, publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{Name: name, Region: region}))
		}
	}
	for _, zone := range topology.zones {
		for number := range 2 + random.IntN(2) {
			topology.addSlot(zone, number)
		}
	}
	return topology
}

func (topology *topology) addSlot(zone publisher.AvailabilityZone, number int) {
	service := ownedService
	if number%2 == 1 {
		service = pooledService
	}
	name := fmt.Sprintf("%s-%c", zone.Name(), 'a'+number)
	topology.slots = append(topology.slots, slot{
		number: len(topology.slots), name: name, address: name + ":1", zone: zone.Name(), region: zone.Region(), service: service,
	})
}

// set returns the published set with the given availability zones out of service.
func (topology topology) set(version uint64, out map[string]bool) *publisher.Set {
	config := publisher.SetConfig{Version: version}
	for _, region := range topology.regions {
		config.HomeRegions = append(config.HomeRegions, publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: region}))
	}
	for _, zone := range topology.zones {
		config.AvailabilityZones = append(config.AvailabilityZones, publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{
			Name: zone.Name(), Region: zone.Region(), Out: out[zone.Name()],
		}))
	}
	config.Services = []publisher.Service{
		publisher.NewService(publisher.ServiceConfig{
			Name: ownedService, Divided: true, ChecksFence: true, LongestDeadline: maxOwnedRunTime, Slots: 64, Queue: 64,
			Partitions: topology.partitions(ownedShards),
		}),
		publisher.NewService(publisher.ServiceConfig{
			Name: pooledService, LongestDeadline: maxPooledRunTime, Slots: 64, Queue: 64,
			Partitions: topology.partitions(pooledShards),
		}),
	}
	for _, workspace := range topology.workspaces() {
		config.Workspaces = append(config.Workspaces, workspace)
		config.Tenants = append(config.Tenants, publisher.NewTenant(publisher.TenantConfig{
			Name: workspace.Name(), Workspace: workspace.Name(), Weight: 1,
		}))
	}
	return publisher.NewSet(config)
}

// partitions returns one partition over all regions and one for each region that is the home region of a workspace.
func (topology topology) partitions(shards int) []publisher.Partition {
	partitions := []publisher.Partition{
		publisher.NewPartition(publisher.PartitionConfig{Name: "mesh", Regions: topology.regions, Shards: shards}),
	}
	for _, region := range topology.regions[:2] {
		partitions = append(partitions, publisher.NewPartition(publisher.PartitionConfig{
			Name: region, Regions: []string{region}, Shards: shards / 2,
		}))
	}
	return partitions
}

func (topology topology) workspaces() []publisher.Workspace {
	workspaces := []publisher.Workspace{publisher.NewWorkspace(publisher.WorkspaceConfig{Name: openWorkspace})}
	for _, region := range topology.regions[:2] {
		workspaces = append(workspaces, publisher.NewWorkspace(publisher.WorkspaceConfig{
			Name: homeWorkspacePrefix + region, HomeRegions: []string{region},
		}))
	}
	return workspaces
}
