package sizer

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
)

const (
	serviceName = "status-app"
	zonesOfAll  = 9
	zonesEach   = 3
)

// start is when all measurements begin on their own clock.
var start = time.Unix(1_800_000_000, 0)

func instanceOf(group, number int) lagoonlanding.Instance {
	zone := (group + number) % zonesOfAll
	return lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID:          lagoonlanding.NewInstanceID(fmt.Sprintf("daemon-%04d-%02d", group, number), 0x18b2c3d4e5f60718),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7301", zone, group, number), CallerAddress: fmt.Sprintf("10.%d.%d.%d:7300", zone, group, number),
		AvailabilityZone: fmt.Sprintf("zone-%d", zone), Region: fmt.Sprintf("region-%d", zone/zonesEach), Service: serviceName,
	})
}

func groupID(group int) lagoonlanding.GroupID {
	return lagoonlanding.NewGroupID(serviceName, fmt.Sprintf("partition-%03d", group))
}

// layoutOf returns a settled layout with three witnesses among its members.
func layoutOf(group, members, shards int, version uint64) lagoonlanding.Layout {
	config := lagoonlanding.LayoutConfig{Version: version, Shards: shards}
	for number := range members {
		instance := instanceOf(group, number)
		config.Members = append(config.Members, lagoonlanding.NewMember(instance, lagoonlanding.MemberActive, grouper.PlainWeight))
		if number < grouper.WitnessCount {
			config.Witnesses = append(config.Witnesses, instance)
		}
	}
	return lagoonlanding.NewLayout(config)
}

// recordOf returns the record of a group and its entry in the store.
func recordOf(group, members, shards int, version, revision uint64) (lagoonlanding.Record, lagoonlanding.Entry, error) {
	prior := lagoonlanding.Layout{}
	if version > 1 {
		prior = layoutOf(group, members, shards, version-1)
	}
	record := lagoonlanding.NewRecord(groupID(group), layoutOf(group, members, shards, version), prior, revision)
	value, err := encoder.Records{}.Encode(record)
	if err != nil {
		return record, lagoonlanding.Entry{}, fmt.Errorf("encode a record of %d members: %w", members, err)
	}
	return record, lagoonlanding.NewEntry(lagoonlanding.GroupKey(groupID(group)), value, revision), nil
}

// setOf returns a set with one service of the given partitions and as many tenants and workspaces as asked.
func setOf(version uint64, partitions, shards, tenants int) *publisher.Set {
	config := publisher.SetConfig{Version: version}
	var regions []string
	for number := range zonesOfAll / zonesEach {
		name := fmt.Sprintf("region-%d", number)
		regions = append(regions, name)
		config.HomeRegions = append(config.HomeRegions, publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: name}))
	}
	for number := range zonesOfAll {
		config.AvailabilityZones = append(config.AvailabilityZones, publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{
			Name: fmt.Sprintf("zone-%d", number), Region: fmt.Sprintf("region-%d", number/zonesEach),
		}))
	}
	service := publisher.ServiceConfig{
		Name: serviceName, Divided: true, ChecksFence: true, LongestDeadline: time.Second, Slots: 6, Connections: 110, Queue: 64,
	}
	for number := range partitions {
		service.Partitions = append(service.Partitions, publisher.NewPartition(publisher.PartitionConfig{
			Name: groupID(number).Partition(), Regions: regions, Shards: shards,
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
