package planner

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// ChangeKind is the kind of a change to an object.
type ChangeKind string

// The kinds of changes.
const (
	// Added means that the object is new.
	Added ChangeKind = "added"
	// Removed means that the object is removed.
	Removed ChangeKind = "removed"
	// Changed means that a field of the object has another value.
	Changed ChangeKind = "changed"
)

// Change is one difference between two sets.
type Change struct {
	kind   ChangeKind
	object string
	field  string
	before string
	after  string
}

// Kind returns the kind of the change.
func (change Change) Kind() ChangeKind { return change.kind }

// Object returns the kind and name of the object.
func (change Change) Object() string { return change.object }

// Field returns the name of the changed field, empty unless the object is changed.
func (change Change) Field() string { return change.field }

// Before returns the value of the field in the set in force.
func (change Change) Before() string { return change.before }

// After returns the value of the field in the new set.
func (change Change) After() string { return change.after }

// fields maps the names of the fields of one object to their values.
type fields map[string]string

// Compare returns the differences between two sets, sorted by object and field; old is nil before the first set.
func Compare(old, new *publisher.Set) []Change {
	before := objectFields(old)
	after := objectFields(new)
	objects := maps.Clone(before)
	maps.Copy(objects, after)
	var changes []Change
	for _, object := range slices.Sorted(maps.Keys(objects)) {
		oldFields, existed := before[object]
		newFields, exists := after[object]
		switch {
		case !existed:
			changes = append(changes, Change{kind: Added, object: object})
		case !exists:
			changes = append(changes, Change{kind: Removed, object: object})
		default:
			changes = append(changes, compareFields(object, oldFields, newFields)...)
		}
	}
	return changes
}

func compareFields(object string, before, after fields) []Change {
	var changes []Change
	for _, field := range slices.Sorted(maps.Keys(after)) {
		if before[field] != after[field] {
			changes = append(changes, Change{
				kind: Changed, object: object, field: field, before: before[field], after: after[field],
			})
		}
	}
	return changes
}

func objectFields(set *publisher.Set) map[string]fields {
	objects := make(map[string]fields)
	if set == nil {
		return objects
	}
	for _, region := range set.HomeRegions() {
		objects["home-region."+region.Name()] = fields{}
	}
	for _, zone := range set.AvailabilityZones() {
		objects["availability-zone."+zone.Name()] = fields{"region": zone.Region(), "out": fmt.Sprint(zone.IsOut())}
	}
	for _, service := range set.Services() {
		addServiceFields(objects, service)
	}
	for _, workspace := range set.Workspaces() {
		objects["workspace."+workspace.Name()] = fields{"home-regions": strings.Join(workspace.HomeRegions(), " ")}
	}
	for _, tenant := range set.Tenants() {
		objects["tenant."+tenant.Name()] = fields{
			"workspace": tenant.Workspace(), "weight": fmt.Sprint(tenant.Weight()), "limit": fmt.Sprint(tenant.Limit()),
		}
	}
	for _, class := range set.Classes() {
		objects["class."+class.Name()] = fields{"cost": fmt.Sprint(class.Cost())}
	}
	for _, route := range set.Routes() {
		objects["route."+route.Name()] = fields{
			"path": route.Path(), "methods": strings.Join(route.Methods(), " "), "service": route.Service(),
			"class": route.Class(), "idempotent": fmt.Sprint(route.IsIdempotent()),
		}
	}
	return objects
}

func addServiceFields(objects map[string]fields, service publisher.Service) {
	object := "service." + service.Name()
	objects[object] = fields{
		"divided": fmt.Sprint(service.IsDivided()), "checks-fence": fmt.Sprint(service.ChecksFence()),
		"longest-deadline": service.LongestDeadline().String(), "slots": fmt.Sprint(service.Slots()),
		"connections": fmt.Sprint(service.Connections()), "queue": fmt.Sprint(service.Queue()),
	}
	for _, partition := range service.Partitions() {
		objects[object+".partition."+partition.Name()] = fields{
			"regions": strings.Join(partition.Regions(), " "), "shards": fmt.Sprint(partition.Shards()),
		}
	}
}
