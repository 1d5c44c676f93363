package explainer

import (
	"fmt"
	"strings"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// Step is one step from a key to its owner.
type Step struct {
	what  string
	value string
	why   string
}

// What names what the step decides.
func (step Step) What() string { return step.what }

// Value returns the decision.
func (step Step) Value() string { return step.value }

// Why returns the rule behind the decision.
func (step Step) Why() string { return step.why }

// Explanation is the way from a key to its owner, as far as it goes.
type Explanation struct {
	owner lagoonlanding.InstanceID
	steps []Step
}

// Owner returns the instance that the key is placed on, the zero identity if there is none.
func (explanation Explanation) Owner() lagoonlanding.InstanceID { return explanation.owner }

// Steps returns the decisions in their order; the last one says where it ends.
func (explanation Explanation) Steps() []Step { return explanation.steps }

func (explanation *Explanation) add(what, value, format string, args ...any) {
	explanation.steps = append(explanation.steps, Step{what: what, value: value, why: fmt.Sprintf(format, args...)})
}

// Explain returns the way from a key to its owner by what the snapshot knows.
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
	homes := "all"
	if len(workspace.HomeRegions()) > 0 {
		homes = strings.Join(workspace.HomeRegions(), " ")
	}
	explanation.add("home regions", homes, "workspace.%s", workspace.Name())
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
	holding, _ := snapshot.Holding(group.Record().Group())
	if token := holding.Token(shard); token > 0 {
		explanation.add("state", "served here", "fencing token %d, attempts known since store revision %d", token, holding.Since(shard))
		return
	}
	explanation.add("state", "not served yet", "this instance waits for the handover or for the prior owner's lease to lapse")
}

func placementRule(layout lagoonlanding.Layout, shard int, owner lagoonlanding.InstanceID) string {
	for _, pin := range layout.Pins() {
		if pin.Shard() == shard && pin.Owner() == owner {
			return "a pin of the shard, which goes before rendezvous hashing"
		}
	}
	return "bounded rendezvous hashing"
}
