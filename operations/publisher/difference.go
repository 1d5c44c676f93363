package publisher

import (
	"reflect"
	"slices"
)

// Difference turns one set into a later one.
type Difference struct {
	base    uint64
	removed []string
	changed *Set
}

// NewDifference returns the difference to the set of the base version: the removed objects by kind and name, and the new
// version with its publication and the objects that are new or changed.
func NewDifference(base uint64, removed []string, changed *Set) Difference {
	return Difference{base: base, removed: removed, changed: changed}
}

// Base returns the version of the set that the difference applies to.
func (difference Difference) Base() uint64 { return difference.base }

// Removed returns the kinds and names of the removed objects, such as route.tags.
func (difference Difference) Removed() []string { return difference.removed }

// Changed returns the new version with its publication and the objects that are new or changed.
func (difference Difference) Changed() *Set { return difference.changed }

// Subtract returns the difference that turns the old set into the new one.
func Subtract(new, old *Set) Difference {
	difference := Difference{base: old.Version()}
	config := SetConfig{Version: new.Version(), Publication: new.Publication()}
	config.HomeRegions = subtract(&difference, "home-region.", new.HomeRegions(), old.regions)
	config.AvailabilityZones = subtract(&difference, "availability-zone.", new.AvailabilityZones(), old.zones)
	config.Services = subtract(&difference, "service.", new.Services(), old.services)
	config.Workspaces = subtract(&difference, "workspace.", new.Workspaces(), old.workspaces)
	config.Tenants = subtract(&difference, "tenant.", new.Tenants(), old.tenants)
	config.Classes = subtract(&difference, "class.", new.Classes(), old.classes)
	config.Routes = subtract(&difference, "route.", new.Routes(), byName(old.Routes()))
	slices.Sort(difference.removed)
	difference.changed = NewSet(config)
	return difference
}

// subtract returns the objects that are new or changed, and notes the removed ones.
func subtract[T named](difference *Difference, prefix string, new []T, old map[string]T) []T {
	var changed []T
	kept := make(map[string]bool, len(new))
	for _, object := range new {
		kept[object.Name()] = true
		before, ok := old[object.Name()]
		if !ok || !reflect.DeepEqual(before, object) {
			changed = append(changed, object)
		}
	}
	for name := range old {
		if !kept[name] {
			difference.removed = append(difference.removed, prefix+name)
		}
	}
	return changed
}

// ApplyTo returns the new set; it is false if the difference is not to the old one.
func (difference Difference) ApplyTo(old *Set) (*Set, bool) {
	if old == nil || old.Version() != difference.base || difference.changed.Version() <= difference.base {
		return nil, false
	}
	removed := make(map[string]bool, len(difference.removed))
	for _, name := range difference.removed {
		removed[name] = true
	}
	changed := difference.changed
	return NewSet(SetConfig{
		Version: changed.Version(), Publication: changed.Publication(),
		HomeRegions:       add(removed, "home-region.", old.HomeRegions(), changed.regions),
		AvailabilityZones: add(removed, "availability-zone.", old.AvailabilityZones(), changed.zones),
		Services:          add(removed, "service.", old.Services(), changed.services),
		Workspaces:        add(removed, "workspace.", old.Workspaces(), changed.workspaces),
		Tenants:           add(removed, "tenant.", old.Tenants(), changed.tenants),
		Classes:           add(removed, "class.", old.Classes(), changed.classes),
		Routes:            add(removed, "route.", old.Routes(), byName(changed.Routes())),
	}), true
}

// add returns the old objects without the removed ones, and with the changed ones in their place.
func add[T named](removed map[string]bool, prefix string, old []T, changed map[string]T) []T {
	var objects []T
	for _, object := range old {
		_, replaced := changed[object.Name()]
		if !replaced && !removed[prefix+object.Name()] {
			objects = append(objects, object)
		}
	}
	for _, object := range changed {
		objects = append(objects, object)
	}
	return objects
}
