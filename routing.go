package lagoonlanding

import (
	"slices"
	"time"
)

// Share is a service's part of a route's requests.
type Share struct {
	service string
	weight  float64
}

// NewShare returns the part of a service by weight.
func NewShare(service string, weight float64) Share { return Share{service: service, weight: weight} }

// Service returns the name of the service.
func (share Share) Service() string { return share.service }

// Weight returns the part that the service gets, relative to the others of the route.
func (share Share) Weight() float64 { return share.weight }

// PathRouteConfig holds the parts of a PathRoute.
type PathRouteConfig struct {
	// Name is the name of the route.
	Name string
	// Host and Prefix select the requests of the route.
	Host, Prefix string
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Timeout bounds how long a request is kept waiting; zero for no bound.
	Timeout time.Duration
	// Objective is how quickly an answer earns its full worth.
	Objective time.Duration
	// Rank orders requests at a busy backend server; the lowest goes first.
	Rank int
	// Shares are the services of the route.
	Shares []Share
	// Attempts bounds the backend servers that one request is sent to.
	Attempts int
	// Regions are the only regions in which a request may be served; none for all.
	Regions []string
}

// PathRoute takes the requests of a host and path prefix to a service.
type PathRoute struct {
	config PathRouteConfig
}

// NewPathRoute returns the route that the configuration describes.
func NewPathRoute(config PathRouteConfig) PathRoute { return PathRoute{config: config} }

// Name returns the name of the route.
func (pathroute PathRoute) Name() string { return pathroute.config.Name }

// Host returns the host of the route's requests.
func (pathroute PathRoute) Host() string { return pathroute.config.Host }

// Prefix returns the beginning of the paths of the route's requests.
func (pathroute PathRoute) Prefix() string { return pathroute.config.Prefix }

// IsIdempotent reports whether a request may run more than once.
func (pathroute PathRoute) IsIdempotent() bool { return pathroute.config.Idempotent }

// TimesOut returns when a request that was received at the time has waited long enough, zero for never.
func (pathroute PathRoute) TimesOut(received time.Time) time.Time {
	if pathroute.config.Timeout <= 0 {
		return time.Time{}
	}
	return received.Add(pathroute.config.Timeout)
}

// Objective returns until when an answer to a request that was received at the time earns its full worth.
func (pathroute PathRoute) Objective(received time.Time) time.Time {
	return received.Add(pathroute.config.Objective)
}

// Rank returns the order at a busy backend server; the lowest goes first.
func (pathroute PathRoute) Rank() int { return pathroute.config.Rank }

// Shares returns the services of the route.
func (pathroute PathRoute) Shares() []Share { return pathroute.config.Shares }

// Attempts returns how many backend servers one request may be sent to, at least one.
func (pathroute PathRoute) Attempts() int { return max(pathroute.config.Attempts, 1) }

// Allows reports whether a request may be served in the region.
func (pathroute PathRoute) Allows(region string) bool {
	return len(pathroute.config.Regions) == 0 || slices.Contains(pathroute.config.Regions, region)
}

// ServiceTermsConfig holds the parts of a ServiceTerms.
type ServiceTermsConfig struct {
	// Name is the name of the service.
	Name string
	// HealthPath is the path at which a backend server tells its health.
	HealthPath string
	// Connections bounds the connections to one backend server.
	Connections int
	// ColdRate bounds the tasks a second for a cold backend server; zero for no bound.
	ColdRate float64
	// Divided says that the service is divided by shard key.
	Divided bool
}

// ServiceTerms are the terms on which the backend servers of a service take tasks.
type ServiceTerms struct {
	config ServiceTermsConfig
}

// NewServiceTerms returns the terms that the configuration describes.
func NewServiceTerms(config ServiceTermsConfig) ServiceTerms { return ServiceTerms{config: config} }

// Name returns the name of the service.
func (serviceterms ServiceTerms) Name() string { return serviceterms.config.Name }

// HealthPath returns the path at which a backend server tells its health.
func (serviceterms ServiceTerms) HealthPath() string { return serviceterms.config.HealthPath }

// Connections returns the bound on connections to one backend server, zero for none.
func (serviceterms ServiceTerms) Connections() int { return serviceterms.config.Connections }

// ColdRate returns the bound on tasks a second for a cold backend server, zero for none.
func (serviceterms ServiceTerms) ColdRate() float64 { return serviceterms.config.ColdRate }

// IsDivided reports whether the service is divided by shard key.
func (serviceterms ServiceTerms) IsDivided() bool { return serviceterms.config.Divided }

// RoutingConfig holds the parts of a Routing.
type RoutingConfig struct {
	// Version grows with each publication.
	Version int64
	// Routes are all routes.
	Routes []PathRoute
	// Services are the terms of all services.
	Services []ServiceTerms
	// HeaderLimit and BodyLimit bound a request in bytes; zero for no bound.
	HeaderLimit, BodyLimit int64
}

// Routing is one published version of routes, services and limits.
type Routing struct {
	config   RoutingConfig
	hosts    map[string][]PathRoute
	services map[string]ServiceTerms
}

// NewRouting returns the version that the configuration describes, indexed for requests.
func NewRouting(config RoutingConfig) *Routing {
	routing := &Routing{config: config, hosts: map[string][]PathRoute{}, services: map[string]ServiceTerms{}}
	for _, route := range config.Routes {
		routing.hosts[route.Host()] = append(routing.hosts[route.Host()], route)
	}
	for _, routes := range routing.hosts {
		slices.SortFunc(routes, func(a, b PathRoute) int { return len(b.Prefix()) - len(a.Prefix()) })
	}
	for _, service := range config.Services {
		routing.services[service.Name()] = service
	}
	return routing
}

// Version returns the number of the publication.
func (routing *Routing) Version() int64 { return routing.config.Version }

// HeaderLimit returns the bound on a request's header in bytes, zero for none.
func (routing *Routing) HeaderLimit() int64 { return routing.config.HeaderLimit }

// BodyLimit returns the bound on a request's body in bytes, zero for none.
func (routing *Routing) BodyLimit() int64 { return routing.config.BodyLimit }

// Route returns the route of the host with the longest prefix that begins the path.
func (routing *Routing) Route(host, path string) (PathRoute, bool) {
	for _, route := range routing.hosts[host] {
		if len(path) >= len(route.Prefix()) && path[:len(route.Prefix())] == route.Prefix() {
			return route, true
		}
	}
	return PathRoute{}, false
}

// Service returns the terms of a service.
func (routing *Routing) Service(name string) (ServiceTerms, bool) {
	terms, ok := routing.services[name]
	return terms, ok
}

// Services returns the terms of all services.
func (routing *Routing) Services() []ServiceTerms { return routing.config.Services }
