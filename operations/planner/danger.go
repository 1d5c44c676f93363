package planner

import "slices"

// MinCapacityPercent is the percentage of a partition's slots that must remain; less counts as a danger.
const MinCapacityPercent = 60

// DangerKind is the kind of a danger.
type DangerKind string

// The kinds of dangers.
const (
	// NoUpstream means that a partition loses its last active member in a region.
	NoUpstream DangerKind = "no-upstream"
	// NoMember means that a partition has no active member, so that its keys have no owner.
	NoMember DangerKind = "no-member"
	// LowCapacity means that less than MinCapacityPercent of a partition's slots remain.
	LowCapacity DangerKind = "low-capacity"
	// ZoneReturned means that a zone that was out of service returns to service.
	ZoneReturned DangerKind = "zone-returned"
	// ObjectRemoved means that requests that need the object will be rejected.
	ObjectRemoved DangerKind = "removed"
)

// Danger is a harmful effect of a plan that an operator must accept by name.
type Danger struct {
	kind    DangerKind
	object  string
	problem string
}

// Kind returns the kind of the danger.
func (danger Danger) Kind() DangerKind { return danger.kind }

// Object returns the kind and name of the object.
func (danger Danger) Object() string { return danger.object }

// Problem returns the description of the effect.
func (danger Danger) Problem() string { return danger.problem }

// Name returns the kind and the object, the name by which an operator accepts the danger.
func (danger Danger) Name() string { return string(danger.kind) + ":" + danger.object }

// Unaccepted returns the dangers that the operator has accepted neither by name nor by kind.
func Unaccepted(dangers []Danger, accepted []string) []Danger {
	var unaccepted []Danger
	for _, danger := range dangers {
		if !slices.Contains(accepted, danger.Name()) && !slices.Contains(accepted, string(danger.kind)) {
			unaccepted = append(unaccepted, danger)
		}
	}
	return unaccepted
}
