package publisher

import "time"

// HomeRegionConfig describes a HomeRegion.
type HomeRegionConfig struct {
	// Name is the region's name.
	Name string
	// Store says that the platform's store runs in the region.
	Store bool
}

// HomeRegion is a region that workspaces may be bound to.
type HomeRegion struct{ config HomeRegionConfig }

// NewHomeRegion returns the region that the configuration describes.
func NewHomeRegion(config HomeRegionConfig) HomeRegion { return HomeRegion{config: config} }

// Name returns the region's name.
func (homeregion HomeRegion) Name() string { return homeregion.config.Name }

// HasStore reports whether the platform's store runs in the region.
func (homeregion HomeRegion) HasStore() bool { return homeregion.config.Store }

// AvailabilityZoneConfig describes an AvailabilityZone.
type AvailabilityZoneConfig struct {
	// Name is the zone's name.
	Name string
	// Region is the name of the home region that the zone lies in.
	Region string
	// Out says that operators have taken the zone out.
	Out bool
}

// AvailabilityZone is a zone that fails, and is taken out, as a whole.
type AvailabilityZone struct{ config AvailabilityZoneConfig }

// NewAvailabilityZone returns the zone that the configuration describes.
func NewAvailabilityZone(config AvailabilityZoneConfig) AvailabilityZone {
	return AvailabilityZone{config: config}
}

// Name returns the zone's name.
func (availabilityzone AvailabilityZone) Name() string { return availabilityzone.config.Name }

// Region returns the name of the region that the zone lies in.
func (availabilityzone AvailabilityZone) Region() string { return availabilityzone.config.Region }

// IsOut reports whether operators have taken the zone out.
func (availabilityzone AvailabilityZone) IsOut() bool { return availabilityzone.config.Out }

// PartitionConfig describes a Partition.
type PartitionConfig struct {
	// Name is the partition's name within its service.
	Name string
	// Regions are the names of the home regions whose instances may join.
	Regions []string
	// Shards is the number of shards that the partition's keys are divided into.
	Shards int
}

// Partition is a part of a service's keys that one group of instances shares.
type Partition struct{ config PartitionConfig }

// NewPartition returns the partition that the configuration describes.
func NewPartition(config PartitionConfig) Partition { return Partition{config: config} }

// Name returns the partition's name within its service.
func (partition Partition) Name() string { return partition.config.Name }

// Regions returns the names of the regions whose instances may join.
func (partition Partition) Regions() []string { return partition.config.Regions }

// Shards returns the number of shards.
func (partition Partition) Shards() int { return partition.config.Shards }

// ServiceConfig describes a Service.
type ServiceConfig struct {
	// Name is the service's name.
	Name string
	// Divided says that each key has one owner; otherwise any upstream serves any request.
	Divided bool
	// Partitions are the parts of the keys, ordered by name.
	Partitions []Partition
	// ChecksFence says that the backend servers refuse requests with an outdated fencing token.
	ChecksFence bool
	// LongestDeadline bounds how long a request may run.
	LongestDeadline time.Duration
	// Slots is how many requests a backend server runs at once.
	Slots int
	// Connections bounds the connections to a backend server.
	Connections int
	// Queue bounds the requests that wait for a slot.
	Queue int
}

// Service is a set of backend servers that run the same program.
type Service struct{ config ServiceConfig }

// NewService returns the service that the configuration describes.
func NewService(config ServiceConfig) Service { return Service{config: config} }

// Name returns the service's name.
func (service Service) Name() string { return service.config.Name }

// IsDivided reports whether each key of the service has one owner.
func (service Service) IsDivided() bool { return service.config.Divided }

// Partitions returns the parts of the service's keys, ordered by name.
func (service Service) Partitions() []Partition { return service.config.Partitions }

// ChecksFence reports whether the backend servers refuse outdated fencing tokens.
func (service Service) ChecksFence() bool { return service.config.ChecksFence }

// LongestDeadline returns how long a request may run.
func (service Service) LongestDeadline() time.Duration { return service.config.LongestDeadline }

// Slots returns how many requests a backend server runs at once.
func (service Service) Slots() int { return service.config.Slots }

// Connections returns the bound on connections to a backend server.
func (service Service) Connections() int { return service.config.Connections }

// Queue returns the bound on requests that wait for a slot.
func (service Service) Queue() int { return service.config.Queue }

// WorkspaceConfig describes a Workspace.
type WorkspaceConfig struct {
	// Name is the workspace's name.
	Name string
	// HomeRegions are the only regions in which its requests are served, sent and kept; empty for all.
	HomeRegions []string
}

// Workspace is a name space of keys.
type Workspace struct{ config WorkspaceConfig }

// NewWorkspace returns the workspace that the configuration describes.
func NewWorkspace(config WorkspaceConfig) Workspace { return Workspace{config: config} }

// Name returns the workspace's name.
func (workspace Workspace) Name() string { return workspace.config.Name }

// HomeRegions returns the only permitted regions, or none if all are.
func (workspace Workspace) HomeRegions() []string { return workspace.config.HomeRegions }

// Permits reports whether requests of the workspace may be in the region.
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

// TenantConfig describes a Tenant.
type TenantConfig struct {
	// Name is the tenant's name.
	Name string
	// Workspace is the name of the workspace whose keys the tenant uses.
	Workspace string
	// Weight is the tenant's share of a busy backend server.
	Weight int
	// Limit bounds the tenant's requests in flight and waiting at one backend server; zero for none.
	Limit int
}

// Tenant is a customer of the operators, on whose behalf callers send requests.
type Tenant struct{ config TenantConfig }

// NewTenant returns the tenant that the configuration describes.
func NewTenant(config TenantConfig) Tenant { return Tenant{config: config} }

// Name returns the tenant's name.
func (tenant Tenant) Name() string { return tenant.config.Name }

// Workspace returns the name of the workspace whose keys the tenant uses.
func (tenant Tenant) Workspace() string { return tenant.config.Workspace }

// Weight returns the tenant's share of a busy backend server.
func (tenant Tenant) Weight() int { return tenant.config.Weight }

// Limit returns the bound on the tenant's requests at one backend server, zero for none.
func (tenant Tenant) Limit() int { return tenant.config.Limit }

// ClassConfig describes a Class.
type ClassConfig struct {
	// Name is the class's name.
	Name string
	// Cost is the weight of a second of waiting.
	Cost int
}

// Class groups requests of similar urgency and length.
type Class struct{ config ClassConfig }

// NewClass returns the class that the configuration describes.
func NewClass(config ClassConfig) Class { return Class{config: config} }

// Name returns the class's name.
func (class Class) Name() string { return class.config.Name }

// Cost returns the weight of a second of waiting.
func (class Class) Cost() int { return class.config.Cost }

// RouteConfig describes a Route.
type RouteConfig struct {
	// Name is the route's name.
	Name string
	// Path is the pattern of the path, with {key} where the key stands, such as /tags/{key}.
	Path string
	// Methods are the HTTP methods that the route takes; empty for all.
	Methods []string
	// Service is the name of the service that answers.
	Service string
	// Class is the name of the class of the requests.
	Class string
	// Idempotent says that a second run does no harm, whatever the method.
	Idempotent bool
}

// Route maps callers' requests to a service.
type Route struct{ config RouteConfig }

// NewRoute returns the route that the configuration describes.
func NewRoute(config RouteConfig) Route { return Route{config: config} }

// Name returns the route's name.
func (route Route) Name() string { return route.config.Name }

// Path returns the pattern of the path.
func (route Route) Path() string { return route.config.Path }

// Methods returns the HTTP methods that the route takes, none for all.
func (route Route) Methods() []string { return route.config.Methods }

// Service returns the name of the service that answers.
func (route Route) Service() string { return route.config.Service }

// Class returns the name of the class of the requests.
func (route Route) Class() string { return route.config.Class }

// IsIdempotent reports whether a second run does no harm, whatever the method.
func (route Route) IsIdempotent() bool { return route.config.Idempotent }
