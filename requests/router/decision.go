package router

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

// MaxHops bounds how often a request is forwarded between daemons.
const MaxHops = 2

// Kind is the kind of a routing decision.
type Kind uint8

// The kinds of routing decisions.
const (
	// KindServe means that this instance owns the key.
	KindServe Kind = iota + 1
	// KindForward means that another instance owns the key.
	KindForward
	// KindPick means that any instance of the group may serve the request.
	KindPick
	// KindWait means that the request cannot be routed yet and may be after the next change of the snapshot.
	KindWait
	// KindRefuse means that the request is refused.
	KindRefuse
)

// Decision is the routing decision for one request.
type Decision struct {
	kind          Kind
	reason        lagoonlanding.Reason
	to            lagoonlanding.Instance
	fence         lagoonlanding.Fence
	since         uint64
	deadline      time.Time
	members       []lagoonlanding.Member
	homeInstances []lagoonlanding.Instance
}

// Kind returns the kind of the decision.
func (decision Decision) Kind() Kind { return decision.kind }

// Reason returns why the request has to wait or is refused.
func (decision Decision) Reason() lagoonlanding.Reason { return decision.reason }

// To returns the owner to which the request is forwarded.
func (decision Decision) To() lagoonlanding.Instance { return decision.to }

// Fence returns the fencing token for a request that this instance serves.
func (decision Decision) Fence() lagoonlanding.Fence { return decision.fence }

// Since returns the store revision from which on the shard's deduplication records are complete.
func (decision Decision) Since() uint64 { return decision.since }

// Deadline returns when the lease behind the decision expires.
func (decision Decision) Deadline() time.Time { return decision.deadline }

// Members returns the members that may serve the request.
func (decision Decision) Members() []lagoonlanding.Member { return decision.members }

// HomeInstances returns instances within the home regions of a request that this region must not handle.
func (decision Decision) HomeInstances() []lagoonlanding.Instance { return decision.homeInstances }

func refuse(reason lagoonlanding.Reason) Decision {
	return Decision{kind: KindRefuse, reason: reason}
}

func wait(reason lagoonlanding.Reason) Decision {
	return Decision{kind: KindWait, reason: reason}
}

// Decide returns the routing decision for the request at the given time.
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
		decision.homeInstances = snapshot.homeInstances(workspace)
		return decision
	}
	if !service.IsDivided() && request.IsIdempotent() {
		return snapshot.decidePick(service, workspace)
	}
	return snapshot.decideSharded(now, service, workspace, request)
}

// shardingName returns the name that selects the shard: the key, or the idempotency key for services that are not sharded.
func shardingName(service publisher.Service, request lagoonlanding.Request) string {
	if service.IsDivided() {
		return request.Key().Name()
	}
	return request.IdempotencyKey()
}

// Locate returns the group and the shard that a request belongs to; it returns false if the workspace permits no partition.
func Locate(service publisher.Service, workspace publisher.Workspace, request lagoonlanding.Request) (lagoonlanding.GroupID, int, bool) {
	name := shardingName(service, request)
	partition, ok := Partition(service, workspace, name)
	if !ok {
		return lagoonlanding.GroupID{}, 0, false
	}
	key := lagoonlanding.NewKey(service.Name(), workspace.Name(), name)
	return lagoonlanding.NewGroupID(service.Name(), partition.Name()), Shard(key, partition.Shards()), true
}

func (snapshot *Snapshot) decideSharded(
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
		return snapshot.decideForward(group, owner, workspace, request)
	}
	return snapshot.decideServe(now, group, shard)
}

func (snapshot *Snapshot) decideServe(now time.Time, group Group, shard int) Decision {
	id := group.Record().Group()
	lease, ok := snapshot.Lease(id)
	if !ok || lease.Token(shard) == 0 {
		return wait(lagoonlanding.ReasonMoving)
	}
	if !now.Before(lease.Deadline()) {
		return wait(lagoonlanding.ReasonLeaseLapsed)
	}
	return Decision{
		kind: KindServe, fence: lagoonlanding.NewFence(id, shard, lease.Token(shard)),
		since: lease.Since(shard), deadline: lease.Deadline(),
	}
}

func (snapshot *Snapshot) decideForward(
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

// decidePick returns a decision with the active members in all regions that the workspace permits.
func (snapshot *Snapshot) decidePick(service publisher.Service, workspace publisher.Workspace) Decision {
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

const maxHomeInstances = 3

// homeInstances returns up to maxHomeInstances active instances within the workspace's home regions, in a fixed order.
func (snapshot *Snapshot) homeInstances(workspace publisher.Workspace) []lagoonlanding.Instance {
	ids := slices.SortedFunc(maps.Keys(snapshot.Groups()), func(a, b lagoonlanding.GroupID) int {
		return strings.Compare(a.String(), b.String())
	})
	var homeInstances []lagoonlanding.Instance
	for _, id := range ids {
		for _, member := range snapshot.Groups()[id].Record().Current().Members() {
			instance := member.Instance()
			if member.State() != lagoonlanding.MemberActive || !workspace.Permits(instance.Region()) || slices.Contains(homeInstances, instance) {
				continue
			}
			homeInstances = append(homeInstances, instance)
			if len(homeInstances) == maxHomeInstances {
				return homeInstances
			}
		}
	}
	return homeInstances
}
