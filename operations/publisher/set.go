package publisher

import (
	"cmp"
	"slices"
)

// SetConfig holds the objects of a Set.
type SetConfig struct {
	// Version is the number of the published set, which only increases.
	Version uint64
	// Publication records who published the set, when and why.
	Publication Publication
	// HomeRegions are the home regions.
	HomeRegions []HomeRegion
	// AvailabilityZones are the availability zones of the home regions.
	AvailabilityZones []AvailabilityZone
	// Services are the services.
	Services []Service
	// Workspaces are the namespaces of keys.
	Workspaces []Workspace
	// Tenants are the customers of the operators.
	Tenants []Tenant
	// Classes are the classes of requests.
	Classes []Class
	// Routes map requests to services.
	Routes []Route
}

// Set is a snapshot of all published objects, which takes effect atomically.
type Set struct {
	config     SetConfig
	regions    map[string]HomeRegion
	zones      map[string]AvailabilityZone
	services   map[string]Service
	workspaces map[string]Workspace
	tenants    map[string]Tenant
	classes    map[string]Class
}

type named interface{ Name() string }

// NewSet returns the set of the objects, each kind sorted by name; it does not validate them.
func NewSet(config SetConfig) *Set {
	return &Set{
		config: SetConfig{
			Version:           config.Version,
			Publication:       config.Publication,
			HomeRegions:       sortedByName(config.HomeRegions),
			AvailabilityZones: sortedByName(config.AvailabilityZones),
			Services:          sortedByName(config.Services),
			Workspaces:        sortedByName(config.Workspaces),
			Tenants:           sortedByName(config.Tenants),
			Classes:           sortedByName(config.Classes),
			Routes:            sortedByName(config.Routes),
		},
		regions:    indexByName(config.HomeRegions),
		zones:      indexByName(config.AvailabilityZones),
		services:   indexByName(config.Services),
		workspaces: indexByName(config.Workspaces),
		tenants:    indexByName(config.Tenants),
		classes:    indexByName(config.Classes),
	}
}

func sortedByName[T named](objects []T) []T {
	sorted := slices.Clone(objects)
	slices.SortFunc(sorted, func(a, b T) int { return cmp.Compare(a.Name(), b.Name()) })
	return sorted
}

func indexByName[T named](objects []T) map[string]T {
	index := make(map[string]T, len(objects))
	for _, object := range objects {
		index[object.Name()] = object
	}
	return index
}

// Version returns the number of the published set, zero before the first.
func (set *Set) Version() uint64 { return set.config.Version }

// Publication returns who published the set, when and why.
func (set *Set) Publication() Publication { return set.config.Publication }

// WithPublication returns the same objects with another publication.
func (set *Set) WithPublication(publication Publication) *Set {
	config := set.config
	config.Publication = publication
	return NewSet(config)
}

// WithVersion returns the same objects with another version.
func (set *Set) WithVersion(version uint64) *Set {
	config := set.config
	config.Version = version
	return NewSet(config)
}

// HomeRegions returns the regions sorted by name.
func (set *Set) HomeRegions() []HomeRegion { return set.config.HomeRegions }

// AvailabilityZones returns the zones sorted by name.
func (set *Set) AvailabilityZones() []AvailabilityZone { return set.config.AvailabilityZones }

// Services returns the services sorted by name.
func (set *Set) Services() []Service { return set.config.Services }

// Workspaces returns the workspaces sorted by name.
func (set *Set) Workspaces() []Workspace { return set.config.Workspaces }

// Tenants returns the tenants sorted by name.
func (set *Set) Tenants() []Tenant { return set.config.Tenants }

// Classes returns the classes sorted by name.
func (set *Set) Classes() []Class { return set.config.Classes }

// Routes returns the routes sorted by name.
func (set *Set) Routes() []Route { return set.config.Routes }

// HomeRegion returns the region with the name.
func (set *Set) HomeRegion(name string) (HomeRegion, bool) {
	region, ok := set.regions[name]
	return region, ok
}

// AvailabilityZone returns the zone with the name.
func (set *Set) AvailabilityZone(name string) (AvailabilityZone, bool) {
	zone, ok := set.zones[name]
	return zone, ok
}

// Service returns the service with the name.
func (set *Set) Service(name string) (Service, bool) {
	service, ok := set.services[name]
	return service, ok
}

// Workspace returns the workspace with the name.
func (set *Set) Workspace(name string) (Workspace, bool) {
	workspace, ok := set.workspaces[name]
	return workspace, ok
}

// Tenant returns the tenant with the name.
func (set *Set) Tenant(name string) (Tenant, bool) {
	tenant, ok := set.tenants[name]
	return tenant, ok
}

// Class returns the class with the name.
func (set *Set) Class(name string) (Class, bool) {
	class, ok := set.classes[name]
	return class, ok
}

// WithZone returns the same objects with one zone out of service or back in; it returns false if there is no such zone.
func (set *Set) WithZone(name string, out bool) (*Set, bool) {
	zone, ok := set.AvailabilityZone(name)
	if !ok {
		return nil, false
	}
	zone.config.Out = out
	config := set.config
	config.AvailabilityZones = slices.Clone(config.AvailabilityZones)
	for i := range config.AvailabilityZones {
		if config.AvailabilityZones[i].Name() == name {
			config.AvailabilityZones[i] = zone
		}
	}
	return NewSet(config), true
}
