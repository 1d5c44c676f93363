package publisher

import (
	"reflect"
	"slices"
)

// Difference holds the changes that turn one set into a later one.
type Difference struct {
	base    uint64
	removed []string
	changed *Set
}

// NewDifference returns the difference from the set with the base version: the removed objects by kind and name, and the new
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
	config.HomeRegions = diffObjects(&difference, "home-region.", new.HomeRegions(), old.regions)
	config.AvailabilityZones = diffObjects(&difference, "availability-zone.", new.AvailabilityZones(), old.zones)
	config.Services = diffObjects(&difference, "service.", new.Services(), old.services)
	config.Workspaces = diffObjects(&difference, "workspace.", new.Workspaces(), old.workspaces)
	config.Tenants = diffObjects(&difference, "tenant.", new.Tenants(), old.tenants)
	config.Classes = diffObjects(&difference, "class.", new.Classes(), old.classes)
	config.Routes = diffObjects(&difference, "route.", new.Routes(), indexByName(old.Routes()))
	slices.Sort(difference.removed)
	difference.changed = NewSet(config)
	return difference
}

// diffObjects returns the objects that are new or changed, and records the removed ones in the difference.
func diffObjects[T named](difference *Difference, prefix string, new []T, old map[string]T) []T {
	var changed []T
	present := make(map[string]bool, len(new))
	for _, object := range new {
		present[object.Name()] = true
		before, ok := old[object.Name()]
		if !ok || !reflect.DeepEqual(before, object) {
			changed = append(changed, object)
		}
	}
	for name := range old {
		if !present[name] {
			difference.removed = append(difference.removed, prefix+name)
		}
	}
	return changed
}

// ApplyTo returns the new set, or false if the old set does not have the base version.
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
		HomeRegions:       mergeObjects(removed, "home-region.", old.HomeRegions(), changed.regions),
		AvailabilityZones: mergeObjects(removed, "availability-zone.", old.AvailabilityZones(), changed.zones),
		Services:          mergeObjects(removed, "service.", old.Services(), changed.services),
		Workspaces:        mergeObjects(removed, "workspace.", old.Workspaces(), changed.workspaces),
		Tenants:           mergeObjects(removed, "tenant.", old.Tenants(), changed.tenants),
		Classes:           mergeObjects(removed, "class.", old.Classes(), changed.classes),
		Routes:            mergeObjects(removed, "route.", old.Routes(), indexByName(changed.Routes())),
	}), true
}

// mergeObjects returns the old objects without the removed ones and with the changed ones replaced.
func mergeObjects[T named](removed map[string]bool, prefix string, old []T, changed map[string]T) []T {
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
