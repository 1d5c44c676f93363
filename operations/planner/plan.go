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

// Config holds the inputs of a Plan.
type Config struct {
	// Old is the set in force, nil before the first.
	Old *publisher.Set
	// New is the proposed set, which has no faults.
	New *publisher.Set
	// Groups are the groups with their live members.
	Groups map[lagoonlanding.GroupID]router.Group
	// Placer assigns the shards to owners.
	Placer lagoonlanding.Placer
}

// Plan holds the effects of replacing one set with another.
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

// Capacities returns the slots of each service in each zone.
func (plan Plan) Capacities() []Capacity { return plan.capacities }

// Dangers returns the effects that an operator must accept by name.
func (plan Plan) Dangers() []Danger { return plan.dangers }

// Move counts the shards of a group that change owners.
type Move struct {
	group  lagoonlanding.GroupID
	shards int
	moved  int
}

// Group returns the group.
func (move Move) Group() lagoonlanding.GroupID { return move.group }

// Shards returns the number of the group's shards.
func (move Move) Shards() int { return move.shards }

// Moved returns the number of shards that change owners.
func (move Move) Moved() int { return move.moved }

// Capacity is the number of requests that the backend servers of a service in one zone run concurrently.
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

// Before returns the slots under the set in force.
func (capacity Capacity) Before() int { return capacity.before }

// After returns the slots under the new set.
func (capacity Capacity) After() int { return capacity.after }

// New computes the plan for the members that are live now; instances that would join later do not count.
func New(config Config) Plan {
	builder := &builder{config: config, counted: make(map[lagoonlanding.InstanceID]bool), byServiceZone: make(map[serviceZone]*Capacity)}
	builder.plan.changes = Compare(config.Old, config.New)
	builder.addObjectDangers()
	ids := slices.SortedFunc(maps.Keys(config.Groups), compareGroups)
	for _, id := range ids {
		builder.addGroup(id, config.Groups[id])
	}
	builder.addUnservedPartitions()
	for _, servicezone := range slices.SortedFunc(maps.Keys(builder.byServiceZone), compareServiceZones) {
		builder.plan.capacities = append(builder.plan.capacities, *builder.byServiceZone[servicezone])
	}
	return builder.plan
}

func compareGroups(a, b lagoonlanding.GroupID) int {
	return cmp.Or(strings.Compare(a.Service(), b.Service()), strings.Compare(a.Partition(), b.Partition()))
}

// serviceZone identifies a service in an availability zone.
type serviceZone struct{ service, zone string }

func compareServiceZones(a, b serviceZone) int {
	return cmp.Or(strings.Compare(a.service, b.service), strings.Compare(a.zone, b.zone))
}

type builder struct {
	config Config
	plan   Plan
	// counted holds the instances whose slots are counted already, since an instance may be a member of several groups.
	counted       map[lagoonlanding.InstanceID]bool
	byServiceZone map[serviceZone]*Capacity
}

func (builder *builder) addDanger(kind DangerKind, object, format string, args ...any) {
	builder.plan.dangers = append(builder.plan.dangers, Danger{kind: kind, object: object, problem: fmt.Sprintf(format, args...)})
}

func (builder *builder) addObjectDangers() {
	for _, change := range builder.plan.changes {
		switch {
		case change.kind == Removed && !strings.HasPrefix(change.object, "class."):
			builder.addDanger(ObjectRemoved, change.object, "requests that need it will be rejected")
		case change.field == "out" && change.after == "false":
			builder.addDanger(ZoneReturned, change.object, "the zone was out of service and returns to service")
		}
	}
}

// addUnservedPartitions adds a danger for each new partition that no group of instances serves yet.
func (builder *builder) addUnservedPartitions() {
	for _, service := range builder.config.New.Services() {
		for _, partition := range service.Partitions() {
			id := lagoonlanding.NewGroupID(service.Name(), partition.Name())
			_, isOld := findPartition(builder.config.Old, id)
			if _, isLive := builder.config.Groups[id]; !isLive && !isOld {
				builder.addDanger(NoMember, partitionName(service.Name(), partition.Name()), "no instance serves it yet")
			}
		}
	}
}

func partitionName(service, partition string) string {
	return "service." + service + ".partition." + partition
}
