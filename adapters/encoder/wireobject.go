package encoder

import "lagoonlanding.example/lagoonlanding/operations/publisher"

func toWireRegion(region publisher.HomeRegion) wireRegion {
	return wireRegion{Name: region.Name(), Store: region.HasStore()}
}

func (wireregion wireRegion) region() publisher.HomeRegion {
	return publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: wireregion.Name, Store: wireregion.Store})
}

func toWireZone(zone publisher.AvailabilityZone) wireZone {
	return wireZone{Name: zone.Name(), Region: zone.Region(), Out: zone.IsOut()}
}

func (wirezone wireZone) zone() publisher.AvailabilityZone {
	return publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{
		Name: wirezone.Name, Region: wirezone.Region, Out: wirezone.Out,
	})
}

func toWirePartition(partition publisher.Partition) wirePartition {
	return wirePartition{Name: partition.Name(), Regions: partition.Regions(), Shards: partition.Shards()}
}

func (wirepartition wirePartition) partition() publisher.Partition {
	return publisher.NewPartition(publisher.PartitionConfig{
		Name: wirepartition.Name, Regions: wirepartition.Regions, Shards: wirepartition.Shards,
	})
}

func toWireService(service publisher.Service) wireService {
	return wireService{
		Name: service.Name(), Divided: service.IsDivided(), Partitions: convert(service.Partitions(), toWirePartition),
		ChecksFence: service.ChecksFence(), LongestDeadline: service.LongestDeadline(),
		Slots: service.Slots(), Connections: service.Connections(), Queue: service.Queue(),
	}
}

func (wireservice wireService) service() publisher.Service {
	return publisher.NewService(publisher.ServiceConfig{
		Name: wireservice.Name, Divided: wireservice.Divided,
		Partitions:  convert(wireservice.Partitions, wirePartition.partition),
		ChecksFence: wireservice.ChecksFence, LongestDeadline: wireservice.LongestDeadline,
		Slots: wireservice.Slots, Connections: wireservice.Connections, Queue: wireservice.Queue,
	})
}

func toWireWorkspace(workspace publisher.Workspace) wireWorkspace {
	return wireWorkspace{Name: workspace.Name(), HomeRegions: workspace.HomeRegions()}
}

func (wireworkspace wireWorkspace) workspace() publisher.Workspace {
	return publisher.NewWorkspace(publisher.WorkspaceConfig{
		Name: wireworkspace.Name, HomeRegions: wireworkspace.HomeRegions,
	})
}

func toWireTenant(tenant publisher.Tenant) wireTenant {
	return wireTenant{Name: tenant.Name(), Workspace: tenant.Workspace(), Weight: tenant.Weight(), Limit: tenant.Limit()}
}

func (wiretenant wireTenant) tenant() publisher.Tenant {
	return publisher.NewTenant(publisher.TenantConfig{
		Name: wiretenant.Name, Workspace: wiretenant.Workspace, Weight: wiretenant.Weight, Limit: wiretenant.Limit,
	})
}

func toWireClass(class publisher.Class) wireClass {
	return wireClass{Name: class.Name(), Cost: class.Cost()}
}

func (wireclass wireClass) class() publisher.Class {
	return publisher.NewClass(publisher.ClassConfig{Name: wireclass.Name, Cost: wireclass.Cost})
}

func toWireRoute(route publisher.Route) wireRoute {
	return wireRoute{
		Name: route.Name(), Path: route.Path(), Methods: route.Methods(),
		Service: route.Service(), Class: route.Class(), Idempotent: route.IsIdempotent(),
	}
}

func (wireroute wireRoute) route() publisher.Route {
	return publisher.NewRoute(publisher.RouteConfig{
		Name: wireroute.Name, Path: wireroute.Path, Methods: wireroute.Methods,
		Service: wireroute.Service, Class: wireroute.Class, Idempotent: wireroute.Idempotent,
	})
}
