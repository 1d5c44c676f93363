package parser

import (
	"errors"

	"github.com/BurntSushi/toml"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

func (reader *reader) readSource(source Source) {
	var fields map[string]toml.Primitive
	meta, err := toml.Decode(source.text, &fields)
	if err != nil {
		reader.addSyntaxError(source, err)
		return
	}
	root := &table{reader: reader, file: source.name, meta: &meta, object: "set", fields: fields}
	root.each("home-region", "home-region", reader.readHomeRegion)
	root.each("availability-zone", "availability-zone", reader.readAvailabilityZone)
	root.each("service", "service", reader.readService)
	root.each("workspace", "workspace", reader.readWorkspace)
	root.each("tenant", "tenant", reader.readTenant)
	root.each("class", "class", reader.readClass)
	root.each("route", "route", reader.readRoute)
	root.refuseUnknown()
}

func (reader *reader) addSyntaxError(source Source, err error) {
	reader.partial = true
	problem := err.Error()
	var parseerror toml.ParseError
	if errors.As(err, &parseerror) {
		problem = parseerror.Message
	}
	reader.add(source.name, lineOf(err), publisher.NewFault("set", "", "not valid TOML: "+problem))
}

func (reader *reader) readHomeRegion(name string, table *table) {
	region := publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: name, Store: take[bool](table, "store")})
	reader.config.HomeRegions = append(reader.config.HomeRegions, region)
}

func (reader *reader) readAvailabilityZone(name string, table *table) {
	zone := publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{
		Name:   name,
		Region: take[string](table, "region"),
		Out:    take[bool](table, "out"),
	})
	reader.config.AvailabilityZones = append(reader.config.AvailabilityZones, zone)
}

func (reader *reader) readService(name string, table *table) {
	service := publisher.NewService(publisher.ServiceConfig{
		Name:            name,
		Divided:         take[bool](table, "divided"),
		ChecksFence:     take[bool](table, "checks-fence"),
		LongestDeadline: takeDuration(table, "longest-deadline"),
		Slots:           take[int](table, "slots"),
		Connections:     take[int](table, "connections"),
		Queue:           take[int](table, "queue"),
		Partitions:      readPartitions(table),
	})
	reader.config.Services = append(reader.config.Services, service)
}

func readPartitions(service *table) []publisher.Partition {
	var partitions []publisher.Partition
	service.each("partition", service.object+".partition", func(name string, table *table) {
		partitions = append(partitions, publisher.NewPartition(publisher.PartitionConfig{
			Name:    name,
			Regions: take[[]string](table, "regions"),
			Shards:  take[int](table, "shards"),
		}))
	})
	return partitions
}

func (reader *reader) readWorkspace(name string, table *table) {
	workspace := publisher.NewWorkspace(publisher.WorkspaceConfig{
		Name:        name,
		HomeRegions: take[[]string](table, "home-regions"),
	})
	reader.config.Workspaces = append(reader.config.Workspaces, workspace)
}

func (reader *reader) readTenant(name string, table *table) {
	tenant := publisher.NewTenant(publisher.TenantConfig{
		Name:      name,
		Workspace: take[string](table, "workspace"),
		Weight:    take[int](table, "weight"),
		Limit:     take[int](table, "limit"),
	})
	reader.config.Tenants = append(reader.config.Tenants, tenant)
}

func (reader *reader) readClass(name string, table *table) {
	class := publisher.NewClass(publisher.ClassConfig{Name: name, Cost: take[int](table, "cost")})
	reader.config.Classes = append(reader.config.Classes, class)
}

func (reader *reader) readRoute(name string, table *table) {
	route := publisher.NewRoute(publisher.RouteConfig{
		Name:       name,
		Path:       take[string](table, "path"),
		Methods:    take[[]string](table, "methods"),
		Service:    take[string](table, "service"),
		Class:      take[string](table, "class"),
		Idempotent: take[bool](table, "idempotent"),
	})
	reader.config.Routes = append(reader.config.Routes, route)
}
