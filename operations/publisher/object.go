package publisher

import "time"

// HomeRegionConfig holds the fields of a HomeRegion.
type HomeRegionConfig struct {
	// Name is the region's name.
	Name string
	// Store reports whether the platform's store runs in the region.
	Store bool
}

// HomeRegion is a region that workspaces may be bound to.
type HomeRegion struct{ config HomeRegionConfig }

// NewHomeRegion returns the region with the given configuration.
func NewHomeRegion(config HomeRegionConfig) HomeRegion { return HomeRegion{config: config} }

// Name returns the region's name.
func (homeregion HomeRegion) Name() string { return homeregion.config.Name }

// HasStore reports whether the platform's store runs in the region.
func (homeregion HomeRegion) HasStore() bool { return homeregion.config.Store }

// AvailabilityZoneConfig holds the fields of an AvailabilityZone.
type AvailabilityZoneConfig struct {
	// Name is the zone's name.
	Name string
	// Region is the name of the home region that contains the zone.
	Region string
	// Out reports whether operators have taken the zone out of service.
	Out bool
}

// AvailabilityZone is a failure domain, which is also taken out of service as a whole.
type AvailabilityZone struct{ config AvailabilityZoneConfig }

// NewAvailabilityZone returns the zone with the given configuration.
func NewAvailabilityZone(config AvailabilityZoneConfig) AvailabilityZone {
	return AvailabilityZone{config: config}
}

// Name returns the zone's name.
func (availabilityzone AvailabilityZone) Name() string { return availabilityzone.config.Name }

// Region returns the name of the home region that contains the zone.
func (availabilityzone AvailabilityZone) Region() string { return availabilityzone.config.Region }

// IsOut reports whether operators have taken the zone out of service.
func (availabilityzone AvailabilityZone) IsOut() bool { return availabilityzone.config.Out }

// PartitionConfig holds the fields of a Partition.
type PartitionConfig struct {
	// Name is the partition's name within its service.
	Name string
	// Regions are the names of the home regions whose instances may join the partition.
	Regions []string
	// Shards is the number of shards that the partition's keys are distributed over.
	Shards int
}

// Partition is a subset of a service's keys that one group of instances serves.
type Partition struct{ config PartitionConfig }

// NewPartition returns the partition with the given configuration.
func NewPartition(config PartitionConfig) Partition { return Partition{config: config} }

// Name returns the partition's name within its service.
func (partition Partition) Name() string { return partition.config.Name }

// Regions returns the names of the home regions whose instances may join the partition.
func (partition Partition) Regions() []string { return partition.config.Regions }

// Shards returns the number of shards.
func (partition Partition) Shards() int { return partition.config.Shards }

// ServiceConfig holds the fields of a Service.
type ServiceConfig struct {
	// Name is the service's name.
	Name string
	// Divided reports whether the service is sharded, so that each key has one owner; otherwise any upstream serves any request.
	Divided bool
	// Partitions are the partitions of the keys, sorted by name.
	Partitions []Partition
	// ChecksFence reports whether the backend servers reject requests with an outdated fencing token.
	ChecksFence bool
	// LongestDeadline is the longest time that a request may run.
	LongestDeadline time.Duration
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int
	// Connections limits the connections to a backend server.
	Connections int
	// Queue limits the requests that wait for a slot.
	Queue int
}

// Service is a set of backend servers that run the same program.
type Service struct{ config ServiceConfig }

// NewService returns the service with the given configuration.
func NewService(config ServiceConfig) Service { return Service{config: config} }

// Name returns the service's name.
func (service Service) Name() string { return service.config.Name }

// IsDivided reports whether the service is sharded, so that each of its keys has one owner.
func (service Service) IsDivided() bool { return service.config.Divided }

// Partitions returns the partitions of the service's keys, sorted by name.
func (service Service) Partitions() []Partition { return service.config.Partitions }

// ChecksFence reports whether the backend servers reject outdated fencing tokens.
func (service Service) ChecksFence() bool { return service.config.ChecksFence }

// LongestDeadline returns the longest time that a request may run.
func (service Service) LongestDeadline() time.Duration { return service.config.LongestDeadline }

// Slots returns the number of requests that a backend server runs concurrently.
func (service Service) Slots() int { return service.config.Slots }

// Connections returns the limit on connections to a backend server.
func (service Service) Connections() int { return service.config.Connections }

// Queue returns the limit on requests that wait for a slot.
func (service Service) Queue() int { return service.config.Queue }

// WorkspaceConfig holds the fields of a Workspace.
type WorkspaceConfig struct {
	// Name is the workspace's name.
	Name string
	// HomeRegions are the only regions in which its requests may be served, transferred and stored; empty for all.
	HomeRegions []string
}

// Workspace is a namespace of keys.
type Workspace struct{ config WorkspaceConfig }

// NewWorkspace returns the workspace with the given configuration.
func NewWorkspace(config WorkspaceConfig) Workspace { return Workspace{config: config} }

// Name returns the workspace's name.
func (workspace Workspace) Name() string { return workspace.config.Name }

// HomeRegions returns the only permitted regions, empty if all are permitted.
func (workspace Workspace) HomeRegions() []string { return workspace.config.HomeRegions }

// Permits reports whether requests of the workspace may be served, transferred and stored in the region.
func (workspace Workspace) Permits(region string) bool {
	if len(workspace.config.HomeRegions) == 0 {
		return true
	}
	for _, home := range workspace.config.HomeRegions {
		if home == region {
			return true
		}
	}
	return false
}

// TenantConfig holds the fields of a Tenant.
type TenantConfig struct {
	// Name is the tenant's name.
	Name string
	// Workspace is the name of the workspace whose keys the tenant uses.
	Workspace string
	// Weight is the tenant's weight in the fair sharing of a busy backend server.
	Weight int
	// Limit is the maximum of the tenant's requests in flight and queued at one backend server; zero for none.
	Limit int
}

// Tenant is a customer of the operators, on whose behalf callers send requests.
type Tenant struct{ config TenantConfig }

// NewTenant returns the tenant with the given configuration.
func NewTenant(config TenantConfig) Tenant { return Tenant{config: config} }

// Name returns the tenant's name.
func (tenant Tenant) Name() string { return tenant.config.Name }

// Workspace returns the name of the workspace whose keys the tenant uses.
func (tenant Tenant) Workspace() string { return tenant.config.Workspace }

// Weight returns the tenant's weight in the fair sharing of a busy backend server.
func (tenant Tenant) Weight() int { return tenant.config.Weight }

// Limit returns the maximum of the tenant's requests in flight and queued at one backend server, zero for none.
func (tenant Tenant) Limit() int { return tenant.config.Limit }

// ClassConfig holds the fields of a Class.
type ClassConfig struct {
	// Name is the class's name.
	Name string
	// Cost is the cost of one second of queueing, as a relative weight.
	Cost int
}

// Class groups requests of similar urgency and run time.
type Class struct{ config ClassConfig }

// NewClass returns the class with the given configuration.
func NewClass(config ClassConfig) Class { return Class{config: config} }

// Name returns the class's name.
func (class Class) Name() string { return class.config.Name }

// Cost returns the cost of one second of queueing, as a relative weight.
func (class Class) Cost() int { return class.config.Cost }

// RouteConfig holds the fields of a Route.
type RouteConfig struct {
	// Name is the route's name.
	Name string
	// Path is the path pattern, with {key} as the placeholder of the key, such as /tags/{key}.
	Path string
	// Methods are the HTTP methods that the route matches; empty for all.
	Methods []string
	// Service is the name of the service that handles the requests.
	Service string
	// Class is the name of the class of the requests.
	Class string
	// Idempotent marks the requests as safe to repeat, whatever the method.
	Idempotent bool
}

// Route maps callers' requests to a service.
type Route struct{ config RouteConfig }

// NewRoute returns the route with the given configuration.
func NewRoute(config RouteConfig) Route { return Route{config: config} }

// Name returns the route's name.
func (route Route) Name() string { return route.config.Name }

// Path returns the path pattern.
func (route Route) Path() string { return route.config.Path }

// Methods returns the HTTP methods that the route matches, empty for all.
func (route Route) Methods() []string { return route.config.Methods }

// Service returns the name of the service that handles the requests.
func (route Route) Service() string { return route.config.Service }

// Class returns the name of the class of the requests.
func (route Route) Class() string { return route.config.Class }

// IsIdempotent reports whether the requests are safe to repeat, whatever the method.
func (route Route) IsIdempotent() bool { return route.config.Idempotent }
