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
	root.readTables("home-region", "home-region", reader.readHomeRegion)
	root.readTables("availability-zone", "availability-zone", reader.readAvailabilityZone)
	root.readTables("service", "service", reader.readService)
	root.readTables("workspace", "workspace", reader.readWorkspace)
	root.readTables("tenant", "tenant", reader.readTenant)
	root.readTables("class", "class", reader.readClass)
	root.readTables("route", "route", reader.readRoute)
	root.addUnknownFieldFaults()
}

func (reader *reader) addSyntaxError(source Source, err error) {
	reader.incomplete = true
	problem := err.Error()
	var parseerror toml.ParseError
	if errors.As(err, &parseerror) {
		problem = parseerror.Message
	}
	reader.addFault(source.name, lineOf(err), publisher.NewFault("set", "", "not valid TOML: "+problem))
}

func (reader *reader) readHomeRegion(name string, table *table) {
	region := publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: name, Store: readField[bool](table, "store")})
	reader.config.HomeRegions = append(reader.config.HomeRegions, region)
}

func (reader *reader) readAvailabilityZone(name string, table *table) {
	zone := publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{
		Name:   name,
		Region: readField[string](table, "region"),
		Out:    readField[bool](table, "out"),
	})
	reader.config.AvailabilityZones = append(reader.config.AvailabilityZones, zone)
}

func (reader *reader) readService(name string, table *table) {
	service := publisher.NewService(publisher.ServiceConfig{
		Name:            name,
		Divided:         readField[bool](table, "divided"),
		ChecksFence:     readField[bool](table, "checks-fence"),
		LongestDeadline: readDuration(table, "longest-deadline"),
		Slots:           readField[int](table, "slots"),
		Connections:     readField[int](table, "connections"),
		Queue:           readField[int](table, "queue"),
		Partitions:      readPartitions(table),
	})
	reader.config.Services = append(reader.config.Services, service)
}

func readPartitions(service *table) []publisher.Partition {
	var partitions []publisher.Partition
	service.readTables("partition", service.object+".partition", func(name string, table *table) {
		partitions = append(partitions, publisher.NewPartition(publisher.PartitionConfig{
			Name:    name,
			Regions: readField[[]string](table, "regions"),
			Shards:  readField[int](table, "shards"),
		}))
	})
	return partitions
}

func (reader *reader) readWorkspace(name string, table *table) {
	workspace := publisher.NewWorkspace(publisher.WorkspaceConfig{
		Name:        name,
		HomeRegions: readField[[]string](table, "home-regions"),
	})
	reader.config.Workspaces = append(reader.config.Workspaces, workspace)
}

func (reader *reader) readTenant(name string, table *table) {
	tenant := publisher.NewTenant(publisher.TenantConfig{
		Name:      name,
		Workspace: readField[string](table, "workspace"),
		Weight:    readField[int](table, "weight"),
		Limit:     readField[int](table, "limit"),
	})
	reader.config.Tenants = append(reader.config.Tenants, tenant)
}

func (reader *reader) readClass(name string, table *table) {
	class := publisher.NewClass(publisher.ClassConfig{Name: name, Cost: readField[int](table, "cost")})
	reader.config.Classes = append(reader.config.Classes, class)
}

func (reader *reader) readRoute(name string, table *table) {
	route := publisher.NewRoute(publisher.RouteConfig{
		Name:       name,
		Path:       readField[string](table, "path"),
		Methods:    readField[[]string](table, "methods"),
		Service:    readField[string](table, "service"),
		Class:      readField[string](table, "class"),
		Idempotent: readField[bool](table, "idempotent"),
	})
	reader.config.Routes = append(reader.config.Routes, route)
}
