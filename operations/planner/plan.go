package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// Config holds what a Plan is made from.
type Config struct {
	// Old is the set in force, nil before the first.
	Old *publisher.Set
	// New is the set to come, free of faults.
	New *publisher.Set
	// Groups are the groups with their live members.
	Groups map[lagoonlanding.GroupID]router.Group
	// Placer derives the owners of the shards.
	Placer lagoonlanding.Placer
}

// Plan is what replacing one set by another would do.
type Plan struct {
	changes    []Change
	moves      []Move
	capacities []Capacity
	dangers    []Danger
}

// Changes returns the differences between the sets.
func (plan Plan) Changes() []Change { return plan.changes }

// Moves returns the groups whose shards change owners.
func (plan Plan) Moves() []Move { return plan.moves }

// Capacities returns the slots of each service and zone.
func (plan Plan) Capacities() []Capacity { return plan.capacities }

// Dangers returns what an operator must accept by name.
func (plan Plan) Dangers() []Danger { return plan.dangers }

// Move is how many shards of a group change owners.
type Move struct {
	group  lagoonlanding.GroupID
	shards int
	moved  int
}

// Group returns the group.
func (move Move) Group() lagoonlanding.GroupID { return move.group }

// Shards returns the number of the group's shards.
func (move Move) Shards() int { return move.shards }

// Moved returns how many shards change owners.
func (move Move) Moved() int { return move.moved }

// Capacity is how many requests the backend servers of a service run at once in one zone.
type Capacity struct {
	service string
	zone    string
	before  int
	after   int
}

// Service returns the name of the service.
func (capacity Capacity) Service() string { return capacity.service }

// Zone returns the name of the availability zone.
func (capacity Capacity) Zone() string { return capacity.zone }

// Before returns the slots in force.
func (capacity Capacity) Before() int { return capacity.before }

// After returns the slots to come.
func (capacity Capacity) After() int { return capacity.after }

// New works out the plan from the live members of today; instances that would join later do not count.
func New(config Config) Plan {
	builder := &builder{config: config, counted: make(map[lagoonlanding.InstanceID]bool), slots: make(map[place]*Capacity)}
	builder.plan.changes = Compare(config.Old, config.New)
	builder.addObjectDangers()
	ids := slices.SortedFunc(maps.Keys(config.Groups), compareGroups)
	for _, id := range ids {
		builder.addGroup(id, config.Groups[id])
	}
	builder.addNewPartitions()
	for _, place := range slices.SortedFunc(maps.Keys(builder.slots), comparePlaces) {
		builder.plan.capacities = append(builder.plan.capacities, *builder.slots[place])
	}
	return builder.plan
}

func compareGroups(a, b lagoonlanding.GroupID) int {
	return cmp.Or(strings.Compare(a.Service(), b.Service()), strings.Compare(a.Partition(), b.Partition()))
}

// place is a service in a zone.
type place struct{ service, zone string }

func comparePlaces(a, b place) int {
	return cmp.Or(strings.Compare(a.service, b.service), strings.Compare(a.zone, b.zone))
}

type builder struct {
	config  Config
	plan    Plan
	counted map[lagoonlanding.InstanceID]bool
	slots   map[place]*Capacity
}

func (builder *builder) warn(kind DangerKind, object, format string, args ...any) {
	builder.plan.dangers = append(builder.plan.dangers, Danger{kind: kind, object: object, problem: fmt.Sprintf(format, args...)})
}

func (builder *builder) addObjectDangers() {
	for _, change := range builder.plan.changes {
		switch {
		case change.kind == Removed && !strings.HasPrefix(change.object, "class."):
			builder.warn(ObjectRemoved, change.object, "requests that need it will be refused")
		case change.field == "out" && change.after == "false":
			builder.warn(ZoneReturned, change.object, "the zone was taken out and takes work again")
		}
	}
}

// addNewPartitions warns of new partitions that no group with members serves yet.
func (builder *builder) addNewPartitions() {
	for _, service := range builder.config.New.Services() {
		for _, partition := range service.Partitions() {
			id := lagoonlanding.NewGroupID(service.Name(), partition.Name())
			_, isOld := findPartition(builder.config.Old, id)
			if _, isLive := builder.config.Groups[id]; !isLive && !isOld {
				builder.warn(NoMember, partitionName(service.Name(), partition.Name()), "no instance serves it yet")
			}
		}
	}
}

func partitionName(service, partition string) string {
	return "service." + service + ".partition." + partition
}
