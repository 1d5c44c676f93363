package lagoonlanding

import (
	"slices"
	"time"
)

// Share is a service's weight in the traffic split of a route.
type Share struct {
	service string
	weight  float64
}

// NewShare returns a service's share with the given weight.
func NewShare(service string, weight float64) Share { return Share{service: service, weight: weight} }

// Service returns the name of the service.
func (share Share) Service() string { return share.service }

// Weight returns the weight of the service relative to the other shares of the route.
func (share Share) Weight() float64 { return share.weight }

// PathRouteConfig holds the fields of a PathRoute.
type PathRouteConfig struct {
	// Name is the name of the route.
	Name string
	// Host and Prefix match the host and the path prefix of a request.
	Host, Prefix string
	// Idempotent means that requests can safely run more than once.
	Idempotent bool
	// Timeout bounds the time from receipt of a request to its answer; zero means no timeout.
	Timeout time.Duration
	// Objective is the latency objective: the time within which a request is to be answered.
	Objective time.Duration
	// Priority orders requests at a busy backend server; the lowest value goes first.
	Priority int
	// Shares is the traffic split between services.
	Shares []Share
	// MaxAttempts is the maximum number of backend servers that one request is sent to.
	MaxAttempts int
	// Regions restricts the regions in which requests may be served; empty means all regions.
	Regions []string
	// Anonymous means that requests need no API key.
	Anonymous bool
}

// PathRoute routes the requests of a host and path prefix to services.
type PathRoute struct {
	config PathRouteConfig
}

// NewPathRoute returns a route with the given configuration.
func NewPathRoute(config PathRouteConfig) PathRoute { return PathRoute{config: config} }

// Name returns the name of the route.
func (pathroute PathRoute) Name() string { return pathroute.config.Name }

// Host returns the host that the route matches.
func (pathroute PathRoute) Host() string { return pathroute.config.Host }

// Prefix returns the path prefix that the route matches.
func (pathroute PathRoute) Prefix() string { return pathroute.config.Prefix }

// IsIdempotent reports whether requests can safely run more than once.
func (pathroute PathRoute) IsIdempotent() bool { return pathroute.config.Idempotent }

// TimeoutAt returns when a request received at the given time times out, the zero time if the route has no timeout.
func (pathroute PathRoute) TimeoutAt(received time.Time) time.Time {
	if pathroute.config.Timeout <= 0 {
		return time.Time{}
	}
	return received.Add(pathroute.config.Timeout)
}

// Objective returns until when an answer to a request received at the given time meets the latency objective.
func (pathroute PathRoute) Objective(received time.Time) time.Time {
	return received.Add(pathroute.config.Objective)
}

// Priority returns the priority at a busy backend server; the lowest value goes first.
func (pathroute PathRoute) Priority() int { return pathroute.config.Priority }

// Shares returns the traffic split between services.
func (pathroute PathRoute) Shares() []Share { return pathroute.config.Shares }

// MaxAttempts returns the maximum number of backend servers that one request is sent to, at least one.
func (pathroute PathRoute) MaxAttempts() int { return max(pathroute.config.MaxAttempts, 1) }

// Allows reports whether a request may be served in the region.
func (pathroute PathRoute) Allows(region string) bool {
	return len(pathroute.config.Regions) == 0 || slices.Contains(pathroute.config.Regions, region)
}

// AllowsAnonymous reports whether requests need no API key.
func (pathroute PathRoute) AllowsAnonymous() bool { return pathroute.config.Anonymous }

// ServicePolicyConfig holds the fields of a ServicePolicy.
type ServicePolicyConfig struct {
	// Name is the name of the service.
	Name string
	// HealthPath is the path of a backend server's health check.
	HealthPath string
	// Connections is the maximum number of connections to one backend server; zero means no limit.
	Connections int
	// ColdRate is the maximum number of tasks per second sent to a backend server in cold start; zero means no limit.
	ColdRate float64
	// Divided means that the service is sharded by shard key.
	Divided bool
}

// ServicePolicy holds the limits and the health check of a service's backend servers.
type ServicePolicy struct {
	config ServicePolicyConfig
}

// NewServicePolicy returns a policy with the given configuration.
func NewServicePolicy(config ServicePolicyConfig) ServicePolicy { return ServicePolicy{config: config} }

// Name returns the name of the service.
func (servicepolicy ServicePolicy) Name() string { return servicepolicy.config.Name }

// HealthPath returns the path of a backend server's health check.
func (servicepolicy ServicePolicy) HealthPath() string { return servicepolicy.config.HealthPath }

// Connections returns the maximum number of connections to one backend server, zero for no limit.
func (servicepolicy ServicePolicy) Connections() int { return servicepolicy.config.Connections }

// ColdRate returns the maximum number of tasks per second sent to a backend server in cold start, zero for no limit.
func (servicepolicy ServicePolicy) ColdRate() float64 { return servicepolicy.config.ColdRate }

// IsDivided reports whether the service is sharded by shard key.
func (servicepolicy ServicePolicy) IsDivided() bool { return servicepolicy.config.Divided }

// RoutingConfig holds the fields of a Routing.
type RoutingConfig struct {
	// Version increases with each publication.
	Version int64
	// Routes are all routes.
	Routes []PathRoute
	// Services are the policies of all services.
	Services []ServicePolicy
	// HeaderLimit and BodyLimit bound the size of a request in bytes; zero means no limit.
	HeaderLimit, BodyLimit int64
	// Identifies means that requests are identified by API keys, which belong to Workspaces.
	Identifies bool
	// Workspaces are all workspaces.
	Workspaces []Workspace
}

// Routing is one published version of the routing table, with service policies and size limits.
type Routing struct {
	config   RoutingConfig
	hosts    map[string][]PathRoute
	services map[string]ServicePolicy
	keys     map[KeyDigest]Workspace
	// workspaces maps the workspaces by name.
	workspaces map[string]Workspace
}

// NewRouting returns a version with the given configuration, indexed for lookups.
func NewRouting(config RoutingConfig) *Routing {
	routing := &Routing{
		config: config, hosts: map[string][]PathRoute{}, services: map[string]ServicePolicy{}, keys: map[KeyDigest]Workspace{}, workspaces: map[string]Workspace{},
	}
	for _, route := range config.Routes {
		routing.hosts[route.Host()] = append(routing.hosts[route.Host()], route)
	}
	for _, routes := range routing.hosts {
		slices.SortFunc(routes, func(a, b PathRoute) int { return len(b.Prefix()) - len(a.Prefix()) })
	}
	for _, service := range config.Services {
		routing.services[service.Name()] = service
	}
	for _, workspace := range config.Workspaces {
		routing.workspaces[workspace.Name()] = workspace
		for _, key := range workspace.config.Keys {
			routing.keys[key] = workspace
		}
	}
	return routing
}

// Version returns the version number of the publication.
func (routing *Routing) Version() int64 { return routing.config.Version }

// HeaderLimit returns the maximum size of a request header in bytes, zero for no limit.
func (routing *Routing) HeaderLimit() int64 { return routing.config.HeaderLimit }

// BodyLimit returns the maximum size of a request body in bytes, zero for no limit.
func (routing *Routing) BodyLimit() int64 { return routing.config.BodyLimit }

// Route returns the route of the host with the longest prefix that matches the path.
func (routing *Routing) Route(host, path string) (PathRoute, bool) {
	for _, route := range routing.hosts[host] {
		if len(path) >= len(route.Prefix()) && path[:len(route.Prefix())] == route.Prefix() {
			return route, true
		}
	}
	return PathRoute{}, false
}

// Service returns the policy of a service.
func (routing *Routing) Service(name string) (ServicePolicy, bool) {
	policy, ok := routing.services[name]
	return policy, ok
}

// Services returns the policies of all services.
func (routing *Routing) Services() []ServicePolicy { return routing.config.Services }

// Identifies reports whether requests are identified by API keys.
func (routing *Routing) Identifies() bool { return routing.config.Identifies }

// KeyOwner returns the workspace to which the API key with the digest belongs.
func (routing *Routing) KeyOwner(key KeyDigest) (Workspace, bool) {
	workspace, ok := routing.keys[key]
	return workspace, ok && key != KeyDigest{}
}

// Workspace returns the workspace with the name.
func (routing *Routing) Workspace(name string) (Workspace, bool) {
	workspace, ok := routing.workspaces[name]
	return workspace, ok
}

// Workspaces returns all workspaces.
func (routing *Routing) Workspaces() []Workspace { return routing.config.Workspaces }
