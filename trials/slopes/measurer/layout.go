package measurer

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
)

const (
	serviceName    = "status-app"
	zoneCount      = 9
	zonesPerRegion = 3
)

// start is the time of the simulated clock at the beginning of each measurement.
var start = time.Unix(1_800_000_000, 0)

func newInstance(group, number int) lagoonlanding.Instance {
	zone := (group + number) % zoneCount
	return lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID:          lagoonlanding.NewInstanceID(fmt.Sprintf("daemon-%04d-%02d", group, number), 0x18b2c3d4e5f60718),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7301", zone, group, number), CallerAddress: fmt.Sprintf("10.%d.%d.%d:7300", zone, group, number),
		AvailabilityZone: fmt.Sprintf("zone-%d", zone), Region: fmt.Sprintf("region-%d", zone/zonesPerRegion), Service: serviceName,
	})
}

func newGroupID(group int) lagoonlanding.GroupID {
	return lagoonlanding.NewGroupID(serviceName, fmt.Sprintf("partition-%03d", group))
}

// newLayout returns a settled layout whose first three members are its witnesses.
func newLayout(group, members, shards int, version uint64) lagoonlanding.Layout {
	config := lagoonlanding.LayoutConfig{Version: version, Shards: shards}
	for number := range members {
		instance := newInstance(group, number)
		config.Members = append(config.Members, lagoonlanding.NewMember(instance, lagoonlanding.MemberActive, grouper.StandardWeight))
		if number < grouper.WitnessCount {
			config.Witnesses = append(config.Witnesses, instance)
		}
	}
	return lagoonlanding.NewLayout(config)
}

// newRecord returns the record of a group and its store entry.
func newRecord(group, members, shards int, version, revision uint64) (lagoonlanding.Record, lagoonlanding.Entry, error) {
	prior := lagoonlanding.Layout{}
	if version > 1 {
		prior = newLayout(group, members, shards, version-1)
	}
	record := lagoonlanding.NewRecord(newGroupID(group), newLayout(group, members, shards, version), prior, revision)
	value, err := encoder.Records{}.Encode(record)
	if err != nil {
		return record, lagoonlanding.Entry{}, fmt.Errorf("encode a record of %d members: %w", members, err)
	}
	return record, lagoonlanding.NewEntry(lagoonlanding.GroupKey(newGroupID(group)), value, revision), nil
}

// newSet returns a set with one sharded service, the given number of partitions, and a workspace for each of the tenants.
func newSet(version uint64, partitions, shards, tenants int) *publisher.Set {
	config := publisher.SetConfig{Version: version}
	var regions []string
	for number := range zoneCount / zonesPerRegion {
		name := fmt.Sprintf("region-%d", number)
		regions = append(regions, name)
		config.HomeRegions = append(config.HomeRegions, publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: name}))
	}
	for number := range zoneCount {
		config.AvailabilityZones = append(config.AvailabilityZones, publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{
			Name: fmt.Sprintf("zone-%d", number), Region: fmt.Sprintf("region-%d", number/zonesPerRegion),
		}))
	}
	service := publisher.ServiceConfig{
		Name: serviceName, Divided: true, ChecksFence: true, LongestDeadline: time.Second, Slots: 6, Connections: 110, Queue: 64,
	}
	for number := range partitions {
		service.Partitions = append(service.Partitions, publisher.NewPartition(publisher.PartitionConfig{
			Name: newGroupID(number).Partition(), Regions: regions, Shards: shards,
		}))
	}
	config.Services = []publisher.Service{publisher.NewService(service)}
	for number := range tenants {
		name := fmt.Sprintf("tenant-%05d", number)
		config.Workspaces = append(config.Workspaces, publisher.NewWorkspace(publisher.WorkspaceConfig{Name: name, HomeRegions: regions[:1]}))
		config.Tenants = append(config.Tenants, publisher.NewTenant(publisher.TenantConfig{Name: name, Workspace: name, Weight: 1 + number%7, Limit: 64}))
	}
	return publisher.NewSet(config)
}
