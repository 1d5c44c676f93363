package planner

import "slices"

// MinCapacityPercent is the share of a partition's slots below which what is left counts as a danger.
const MinCapacityPercent = 60

// DangerKind names a kind of danger.
type DangerKind string

// The kinds of dangers.
const (
	// NoUpstream says that a partition loses its last active member in a region.
	NoUpstream DangerKind = "no-upstream"
	// NoMember says that a partition has no active member, so that its keys have no owner.
	NoMember DangerKind = "no-member"
	// LowCapacity says that less than MinCapacityPercent of a partition's slots are left.
	LowCapacity DangerKind = "low-capacity"
	// ZoneReturned says that a zone that was taken out takes work again.
	ZoneReturned DangerKind = "zone-returned"
	// ObjectRemoved says that requests that need the object will be refused.
	ObjectRemoved DangerKind = "removed"
)

// Danger is an effect that an operator must accept by name.
type Danger struct {
	kind    DangerKind
	object  string
	problem string
}

// Kind returns the kind of the danger.
func (danger Danger) Kind() DangerKind { return danger.kind }

// Object returns the kind and name of the object.
func (danger Danger) Object() string { return danger.object }

// Problem returns what would happen.
func (danger Danger) Problem() string { return danger.problem }

// Name returns the kind and the object, by which an operator accepts the danger.
func (danger Danger) Name() string { return string(danger.kind) + ":" + danger.object }

// Unaccepted returns the dangers that the operator has named neither singly nor by their kind.
func Unaccepted(dangers []Danger, accepted []string) []Danger {
	var open []Danger
	for _, danger := range dangers {
		if !slices.Contains(accepted, danger.Name()) && !slices.Contains(accepted, string(danger.kind)) {
			open = append(open, danger)
		}
	}
	return open
}
