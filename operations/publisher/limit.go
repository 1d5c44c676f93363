package publisher

import "time"

// The limits of a set.
const (
	// MaxNameLength limits the number of characters of a name.
	MaxNameLength = 63
	// MaxHomeRegions limits the number of home regions.
	MaxHomeRegions = 64
	// MaxAvailabilityZones limits the number of availability zones.
	MaxAvailabilityZones = 256
	// MaxServices limits the number of services.
	MaxServices = 256
	// MaxPartitions limits the number of partitions of all services together.
	MaxPartitions = 2048
	// MaxShards limits the number of shards of a partition.
	MaxShards = 4096
	// MaxWorkspaces limits the number of workspaces.
	MaxWorkspaces = 10000
	// MaxTenants limits the number of tenants.
	MaxTenants = 10000
	// MaxClasses limits the number of classes.
	MaxClasses = 64
	// MaxRoutes limits the number of routes.
	MaxRoutes = 1000
	// MaxPathLength limits the number of characters of a route's path.
	MaxPathLength = 512
	// MaxCount limits slots, connections, queues, weights, limits and costs.
	MaxCount = 1000000
	// MaxLongestDeadline limits the longest deadline of a service.
	MaxLongestDeadline = 10 * time.Minute
)
