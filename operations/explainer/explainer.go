package explainer

import (
	"fmt"
	"strings"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// Step is one step of the routing from a key to its owner.
type Step struct {
	what  string
	value string
	why   string
}

// What returns the name of what the step decides, such as shard.
func (step Step) What() string { return step.what }

// Value returns the decision.
func (step Step) Value() string { return step.value }

// Why returns the reason for the decision.
func (step Step) Why() string { return step.why }

// Explanation holds the steps from a key to its owner, up to the step that found none.
type Explanation struct {
	owner lagoonlanding.InstanceID
	steps []Step
}

// Owner returns the instance that the key is placed on, the zero ID if there is none.
func (explanation Explanation) Owner() lagoonlanding.InstanceID { return explanation.owner }

// Steps returns the steps in order; the last one gives the owner, or the reason why there is none.
func (explanation Explanation) Steps() []Step { return explanation.steps }

func (explanation *Explanation) add(what, value, format string, args ...any) {
	explanation.steps = append(explanation.steps, Step{what: what, value: value, why: fmt.Sprintf(format, args...)})
}

// Explain returns the steps from a key to its owner according to the snapshot.
func Explain(snapshot *router.Snapshot, key lagoonlanding.Key) Explanation {
	explanation := Explanation{}
	partition, ok := explanation.findPartition(snapshot.Set(), key)
	if !ok {
		return explanation
	}
	id := lagoonlanding.NewGroupID(key.Service(), partition.Name())
	shard := router.Shard(key, partition.Shards())
	explanation.add("shard", fmt.Sprint(shard), "hash of workspace and key over %d shards", partition.Shards())
	group, ok := snapshot.Group(id)
	if !ok {
		explanation.add("owner", "none", "no instance has joined group %s yet", id)
		return explanation
	}
	explanation.findOwner(snapshot, group, shard)
	return explanation
}

func (explanation *Explanation) findPartition(set *publisher.Set, key lagoonlanding.Key) (publisher.Partition, bool) {
	if set == nil {
		explanation.add("set", "none", "no published set is known here")
		return publisher.Partition{}, false
	}
	explanation.add("set", fmt.Sprint(set.Version()), "the published set that this instance applies")
	service, ok := set.Service(key.Service())
	if !ok {
		explanation.add("service", "none", "there is no service %q in the set", key.Service())
		return publisher.Partition{}, false
	}
	workspace, ok := set.Workspace(key.Workspace())
	if !ok {
		explanation.add("workspace", "none", "there is no workspace %q in the set", key.Workspace())
		return publisher.Partition{}, false
	}
	homeRegions := "all"
	if len(workspace.HomeRegions()) > 0 {
		homeRegions = strings.Join(workspace.HomeRegions(), " ")
	}
	explanation.add("home regions", homeRegions, "workspace.%s", workspace.Name())
	partition, ok := router.Partition(service, workspace, key.Name())
	if !ok {
		explanation.add("partition", "none", "no partition of service.%s lies within the home regions", service.Name())
		return publisher.Partition{}, false
	}
	explanation.add("partition", partition.Name(), "hash over the widest partitions within the home regions; this one has regions %s", strings.Join(partition.Regions(), " "))
	return partition, true
}

func (explanation *Explanation) findOwner(snapshot *router.Snapshot, group router.Group, shard int) {
	layout := group.Record().Current()
	owner := group.Placement().Owner(shard)
	member, ok := layout.Member(owner)
	if !ok {
		explanation.add("owner", "none", "layout %d of %s has no active member", layout.Version(), group.Record().Group())
		return
	}
	explanation.owner = owner
	instance := member.Instance()
	explanation.add("owner", owner.String(), "%s over the active members of layout %d of %s; it runs in %s, %s, peer address %s",
		placementRule(layout, shard, owner), layout.Version(), group.Record().Group(),
		instance.AvailabilityZone(), instance.Region(), instance.PeerAddress())
	if owner != snapshot.Self().ID() {
		return
	}
	lease, _ := snapshot.Lease(group.Record().Group())
	if token := lease.Token(shard); token > 0 {
		explanation.add("state", "served here", "fencing token %d, deduplication records complete from store revision %d", token, lease.Since(shard))
		return
	}
	explanation.add("state", "not served yet", "this instance waits for the handover or for the previous owner's lease to expire")
}

func placementRule(layout lagoonlanding.Layout, shard int, owner lagoonlanding.InstanceID) string {
	for _, pin := range layout.Pins() {
		if pin.Shard() == shard && pin.Owner() == owner {
			return "a pin of the shard, which takes precedence over rendezvous hashing"
		}
	}
	return "bounded rendezvous hashing"
}
