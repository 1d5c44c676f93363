package publisher

import "time"

// The limits of a set.
const (
	// MaxNameLength bounds the characters of a name.
	MaxNameLength = 63
	// MaxHomeRegions bounds the regions.
	MaxHomeRegions = 64
	// MaxAvailabilityZones bounds the zones.
	MaxAvailabilityZones = 256
	// MaxServices bounds the services.
	MaxServices = 256
	// MaxPartitions bounds the partitions of all services together.
	MaxPartitions = 2048
	// MaxShards bounds the shards of a partition.
	MaxShards = 4096
	// MaxWorkspaces bounds the workspaces.
	MaxWorkspaces = 10000
	// MaxTenants bounds the tenants.
	MaxTenants = 10000
	// MaxClasses bounds the classes.
	MaxClasses = 64
	// MaxRoutes bounds the routes.
	MaxRoutes = 1000
	// MaxPathLength bounds the characters of a route's path.
	MaxPathLength = 512
	// MaxCount bounds slots, connections, queues, weights, limits and costs.
	MaxCount = 1000000
	// MaxLongestDeadline bounds the longest deadline of a service.
	MaxLongestDeadline = 10 * time.Minute
)
