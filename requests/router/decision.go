package router

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// MaxHops bounds how many daemons a request passes after the one that its caller reached.
const MaxHops = 2

// Kind says what to do with a request.
type Kind uint8

// The kinds of decisions.
const (
	// KindServe says that this instance owns the key.
	KindServe Kind = iota + 1
	// KindForward says that another instance owns the key.
	KindForward
	// KindPick says that any instance of the group may serve the request.
	KindPick
	// KindWait says that the owner is about to change, so a later decision may differ.
	KindWait
	// KindRefuse says that no decision can be made for the request.
	KindRefuse
)

// Decision says where a request goes.
type Decision struct {
	kind     Kind
	reason   lagoonlanding.Reason
	to       lagoonlanding.Instance
	fence    lagoonlanding.Fence
	since    uint64
	deadline time.Time
	members  []lagoonlanding.Member
	homes    []lagoonlanding.Instance
}

// Kind returns what to do with the request.
func (decision Decision) Kind() Kind { return decision.kind }

// Reason returns why the request waits or is refused.
func (decision Decision) Reason() lagoonlanding.Reason { return decision.reason }

// To returns the owner that a forwarded request goes to.
func (decision Decision) To() lagoonlanding.Instance { return decision.to }

// Fence returns the proof of ownership for a request that is served here.
func (decision Decision) Fence() lagoonlanding.Fence { return decision.fence }

// Since returns the store revision from which on the shard's ledger is complete.
func (decision Decision) Since() uint64 { return decision.since }

// Deadline returns when the lease that the decision rests on lapses.
func (decision Decision) Deadline() time.Time { return decision.deadline }

// Members returns the members to pick from.
func (decision Decision) Members() []lagoonlanding.Member { return decision.members }

// Homes returns instances within the home regions of a request that must not be handled here.
func (decision Decision) Homes() []lagoonlanding.Instance { return decision.homes }

func refuse(reason lagoonlanding.Reason) Decision {
	return Decision{kind: KindRefuse, reason: reason}
}

func wait(reason lagoonlanding.Reason) Decision {
	return Decision{kind: KindWait, reason: reason}
}

// Decide returns where the request goes by what this instance knows at the given time.
func (snapshot *Snapshot) Decide(now time.Time, request lagoonlanding.Request) Decision {
	set := snapshot.Set()
	if set == nil {
		return wait(lagoonlanding.ReasonNotReady)
	}
	service, ok := set.Service(request.Key().Service())
	if !ok {
		return refuse(lagoonlanding.ReasonNoRoute)
	}
	workspace, ok := set.Workspace(request.Key().Workspace())
	if !ok {
		return refuse(lagoonlanding.ReasonUnknownTenant)
	}
	if !workspace.Permits(snapshot.Self().Region()) {
		decision := refuse(lagoonlanding.ReasonOutsideRegion)
		decision.homes = snapshot.homes(workspace)
		return decision
	}
	if !service.IsDivided() && request.IsIdempotent() {
		return snapshot.pick(service, workspace)
	}
	return snapshot.own(now, service, workspace, request)
}

// ownedName returns what decides the owner: the key, or for services that are not divided the idempotency key.
func ownedName(service publisher.Service, request lagoonlanding.Request) string {
	if service.IsDivided() {
		return request.Key().Name()
	}
	return request.IdempotencyKey()
}

// Locate returns the group and the shard that a request belongs to; it is false if no partition is permitted.
func Locate(service publisher.Service, workspace publisher.Workspace, request lagoonlanding.Request) (lagoonlanding.GroupID, int, bool) {
	name := ownedName(service, request)
	partition, ok := Partition(service, workspace, name)
	if !ok {
		return lagoonlanding.GroupID{}, 0, false
	}
	key := lagoonlanding.NewKey(service.Name(), workspace.Name(), name)
	return lagoonlanding.NewGroupID(service.Name(), partition.Name()), Shard(key, partition.Shards()), true
}

func (snapshot *Snapshot) own(
	now time.Time, service publisher.Service, workspace publisher.Workspace, request lagoonlanding.Request,
) Decision {
	id, shard, ok := Locate(service, workspace, request)
	if !ok {
		return refuse(lagoonlanding.ReasonOutsideRegion)
	}
	group, ok := snapshot.Group(id)
	if !ok {
		return wait(lagoonlanding.ReasonNoOwner)
	}
	owner := group.Placement().Owner(shard)
	if owner.IsZero() {
		return wait(lagoonlanding.ReasonNoOwner)
	}
	if owner != snapshot.Self().ID() {
		return snapshot.forward(group, owner, workspace, request)
	}
	return snapshot.serve(now, group, shard)
}

func (snapshot *Snapshot) serve(now time.Time, group Group, shard int) Decision {
	id := group.Record().Group()
	holding, ok := snapshot.Holding(id)
	if !ok || holding.Token(shard) == 0 {
		return wait(lagoonlanding.ReasonMoving)
	}
	if !now.Before(holding.Deadline()) {
		return wait(lagoonlanding.ReasonLeaseLapsed)
	}
	return Decision{
		kind: KindServe, fence: lagoonlanding.NewFence(id, shard, holding.Token(shard)),
		since: holding.Since(shard), deadline: holding.Deadline(),
	}
}

func (snapshot *Snapshot) forward(
	group Group, owner lagoonlanding.InstanceID, workspace publisher.Workspace, request lagoonlanding.Request,
) Decision {
	if request.Hops() >= MaxHops {
		return refuse(lagoonlanding.ReasonHopLimit)
	}
	member, _ := group.Record().Current().Member(owner)
	if !workspace.Permits(member.Instance().Region()) {
		return refuse(lagoonlanding.ReasonOutsideRegion)
	}
	return Decision{kind: KindForward, to: member.Instance()}
}

// pick returns the active members of all partitions that the workspace permits.
func (snapshot *Snapshot) pick(service publisher.Service, workspace publisher.Workspace) Decision {
	var members []lagoonlanding.Member
	seen := make(map[lagoonlanding.InstanceID]bool)
	for _, partition := range service.Partitions() {
		group, ok := snapshot.Group(lagoonlanding.NewGroupID(service.Name(), partition.Name()))
		if !ok {
			continue
		}
		for _, member := range group.Record().Current().Members() {
			if member.State() == lagoonlanding.MemberActive && workspace.Permits(member.Instance().Region()) && !seen[member.ID()] {
				seen[member.ID()] = true
				members = append(members, member)
			}
		}
	}
	if len(members) == 0 {
		return wait(lagoonlanding.ReasonNoUpstream)
	}
	return Decision{kind: KindPick, members: members}
}

const maxHomes = 3

// homes returns some active members within the workspace's home regions, the same ones each time.
func (snapshot *Snapshot) homes(workspace publisher.Workspace) []lagoonlanding.Instance {
	ids := slices.SortedFunc(maps.Keys(snapshot.Groups()), func(a, b lagoonlanding.GroupID) int {
		return strings.Compare(a.String(), b.String())
	})
	var homes []lagoonlanding.Instance
	for _, id := range ids {
		for _, member := range snapshot.Groups()[id].Record().Current().Members() {
			instance := member.Instance()
			if member.State() != lagoonlanding.MemberActive || !workspace.Permits(instance.Region()) || slices.Contains(homes, instance) {
				continue
			}
			homes = append(homes, instance)
			if len(homes) == maxHomes {
				return homes
			}
		}
	}
	return homes
}
