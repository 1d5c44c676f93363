package deployer

import "fmt"

// portsPerInstance is the number of ports reserved for each instance.
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

// Service is a service with the path prefix of its routes.
type Service struct {
	name    string
	path    string
	sharded bool
	writes  bool
}

// Name returns the service's name.
func (service Service) Name() string { return service.name }

// Path returns the path prefix before the key.
func (service Service) Path() string { return service.path }

// IsSharded reports whether each key has one owner.
func (service Service) IsSharded() bool { return service.sharded }

// TakesWrites reports whether the service has a route for requests that must run at most once.
func (service Service) TakesWrites() bool { return service.writes }

// Tenant is a tenant with its workspace and home region.
type Tenant struct {
	name      string
	workspace string
	home      string
}

// Name returns the tenant's name.
func (tenant Tenant) Name() string { return tenant.name }

// Workspace returns the name of the tenant's workspace.
func (tenant Tenant) Workspace() string { return tenant.workspace }

// Home returns the only region in which the tenant's requests may run, or an empty string if all are permitted.
func (tenant Tenant) Home() string { return tenant.home }

// Plan describes a deployment.
type Plan struct {
	name     string
	zones    []Zone
	services []Service
	tenants  []Tenant
}

// NewPlan returns the deployment with the name.
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
	return Plan{}, fmt.Errorf("unknown deployment %q", name)
}

// Name returns the deployment's name.
func (plan Plan) Name() string { return plan.name }

// Zones returns the availability zones.
func (plan Plan) Zones() []Zone { return plan.zones }

// Services returns the services; the first one is the sharded one.
func (plan Plan) Services() []Service { return plan.services }

// Tenants returns the tenants; the first one has no home region.
func (plan Plan) Tenants() []Tenant { return plan.tenants }

// Home returns the only region in which requests of the workspace may run, or an empty string if all are permitted.
func (plan Plan) Home(workspace string) string {
	for _, tenant := range plan.tenants {
		if tenant.workspace == workspace {
			return tenant.home
		}
	}
	return ""
}

// Instance is a daemon with its backend server.
type Instance struct {
	service Service
	zone    Zone
	port    int
}

// Instances returns one instance per service and zone, with consecutive ports from the given one.
func (plan Plan) Instances(port int) []Instance {
	var instances []Instance
	for _, service := range plan.services {
		for _, zone := range plan.zones {
			instances = append(instances, Instance{service: service, zone: zone, port: port + portsPerInstance*len(instances)})
		}
	}
	return instances
}

// Name returns the name of the instance.
func (instance Instance) Name() string { return instance.service.name + "-" + instance.zone.name }

// Service returns the service that the instance runs.
func (instance Instance) Service() Service { return instance.service }

// Zone returns the availability zone.
func (instance Instance) Zone() Zone { return instance.zone }

// PeerAddress returns the advertised address for other daemons, on which a relay listens if there is one.
func (instance Instance) PeerAddress() string { return address(instance.port) }

// PeerListenAddress returns the address on which the daemon listens for other daemons if a relay forwards to it.
func (instance Instance) PeerListenAddress() string { return address(instance.port + 1) }

// CallerAddress returns the address for callers.
func (instance Instance) CallerAddress() string { return address(instance.port + 2) }

// LocalAddress returns the address for the backend server's announcements.
func (instance Instance) LocalAddress() string { return address(instance.port + 3) }

// AdminAddress returns the address for operators.
func (instance Instance) AdminAddress() string { return address(instance.port + 4) }

// UpstreamAddress returns the address of the backend server.
func (instance Instance) UpstreamAddress() string { return address(instance.port + 5) }

// StoreAddress returns the address of the relay through which the daemon reaches the store.
func (instance Instance) StoreAddress() string { return address(instance.port + 6) }

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
