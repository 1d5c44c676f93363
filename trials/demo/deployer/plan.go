package deployer

import "fmt"

// portsPerInstance is the distance between the ports of two instances.
const portsPerInstance = 10

// Zone is an availability zone with its region.
type Zone struct {
	name   string
	region string
}

// Name returns the zone's name.
func (zone Zone) Name() string { return zone.name }

// Region returns the name of the zone's region.
func (zone Zone) Region() string { return zone.region }

// Service is a service with the path of its requests.
type Service struct {
	name    string
	path    string
	divided bool
	writes  bool
}

// Name returns the service's name.
func (service Service) Name() string { return service.name }

// Path returns the path before the key.
func (service Service) Path() string { return service.path }

// IsDivided reports whether each key has one owner.
func (service Service) IsDivided() bool { return service.divided }

// TakesWrites reports whether a route takes requests that must run at most once.
func (service Service) TakesWrites() bool { return service.writes }

// Tenant is a tenant with the region that it must stay in.
type Tenant struct {
	name      string
	workspace string
	home      string
}

// Name returns the tenant's name.
func (tenant Tenant) Name() string { return tenant.name }

// Workspace returns the name of the tenant's workspace.
func (tenant Tenant) Workspace() string { return tenant.workspace }

// Home returns the only permitted region, empty for all.
func (tenant Tenant) Home() string { return tenant.home }

// Plan describes a deployment.
type Plan struct {
	name     string
	zones    []Zone
	services []Service
	tenants  []Tenant
}

// NewPlan returns the plan with the name.
func NewPlan(name string) (Plan, error) {
	switch name {
	case "karotsaki":
		return Plan{
			name:     name,
			zones:    []Zone{{"piraeus", "attica"}, {"marousi", "attica"}, {"kalamaria", "macedonia"}, {"ladadika", "macedonia"}},
			services: []Service{{"status-app", "/tags/", true, true}, {"tag-ledger", "/ledger/", false, true}, {"bay-directory", "/bays/", false, false}},
			tenants:  []Tenant{{"mesh-desk", "mesh", ""}, {"piraeus-port", "harbour", "attica"}, {"kalamaria-mall", "mall", "macedonia"}},
		}, nil
	case "ezo":
		return Plan{
			name:     name,
			zones:    []Zone{{"kushiro", "doto"}, {"obihiro", "doto"}, {"asahikawa", "dohoku"}, {"nayoro", "dohoku"}},
			services: []Service{{"catalogue", "/scripts/", true, true}, {"hire-desk", "/hires/", false, true}, {"archive", "/licences/", false, false}},
			tenants:  []Tenant{{"troupes", "island", ""}, {"kushiro-drama-club", "schools", "doto"}, {"nayoro-hall", "halls", "dohoku"}},
		}, nil
	}
	return Plan{}, fmt.Errorf("there is no deployment %q", name)
}

// Name returns the deployment's name.
func (plan Plan) Name() string { return plan.name }

// Zones returns the availability zones.
func (plan Plan) Zones() []Zone { return plan.zones }

// Services returns the services, the divided one first.
func (plan Plan) Services() []Service { return plan.services }

// Tenants returns the tenants, first the one without a home region.
func (plan Plan) Tenants() []Tenant { return plan.tenants }

// Home returns the only permitted region of the workspace, empty for all.
func (plan Plan) Home(workspace string) string {
	for _, tenant := range plan.tenants {
		if tenant.workspace == workspace {
			return tenant.home
		}
	}
	return ""
}

// Place is where one daemon and the backend server beside it run.
type Place struct {
	service Service
	zone    Zone
	port    int
}

// Places returns one place for each service and zone, with ports from the given one on.
func (plan Plan) Places(port int) []Place {
	var places []Place
	for _, service := range plan.services {
		for _, zone := range plan.zones {
			places = append(places, Place{service: service, zone: zone, port: port + portsPerInstance*len(places)})
		}
	}
	return places
}

// Name returns the name of the daemon.
func (place Place) Name() string { return place.service.name + "-" + place.zone.name }

// Service returns the service beside the daemon.
func (place Place) Service() Service { return place.service }

// Zone returns the availability zone.
func (place Place) Zone() Zone { return place.zone }

// PeerAddress returns the address that other daemons are told, which is that of a relay.
func (place Place) PeerAddress() string { return address(place.port) }

// PeerListenAddress returns the address that the daemon listens on for other daemons.
func (place Place) PeerListenAddress() string { return address(place.port + 1) }

// CallerAddress returns the address for callers.
func (place Place) CallerAddress() string { return address(place.port + 2) }

// LocalAddress returns the address for the backend server's announcements.
func (place Place) LocalAddress() string { return address(place.port + 3) }

// AdminAddress returns the address for operators.
func (place Place) AdminAddress() string { return address(place.port + 4) }

// UpstreamAddress returns the address of the backend server.
func (place Place) UpstreamAddress() string { return address(place.port + 5) }

// StoreAddress returns the address of the relay through which the daemon reaches the store.
func (place Place) StoreAddress() string { return address(place.port + 6) }

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
