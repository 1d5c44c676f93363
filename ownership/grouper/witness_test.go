package grouper

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

// instanceIn returns an instance in a zone; the zone's first letter is its region.
func instanceIn(name, zone string) lagoonlanding.Instance {
	return lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID: lagoonlanding.NewInstanceID(name, 1), PeerAddress: name, AvailabilityZone: zone, Region: zone[:1],
	})
}

func idSet(ids ...string) map[lagoonlanding.InstanceID]bool {
	set := make(map[lagoonlanding.InstanceID]bool)
	for _, id := range ids {
		set[lagoonlanding.NewInstanceID(id, 1)] = true
	}
	return set
}

func TestNextWitnesses(t *testing.T) {
	a1, a2, b1, b2 := instanceIn("a1", "a-1"), instanceIn("a2", "a-2"), instanceIn("b1", "b-1"), instanceIn("b2", "b-2")
	all := []lagoonlanding.Instance{a1, a2, b1, b2}
	cases := []struct {
		name    string
		members []lagoonlanding.Instance
		current []lagoonlanding.Instance
		config  ProposalConfig
		want    []string
	}{
		{name: "two instances keep one witness", members: all[:2], current: all[:1], want: []string{"a1"}},
		{name: "grow to three witnesses in different zones", members: all, current: all[:1], want: []string{"a1", "a2", "b1"}},
		{name: "stay", members: all, current: all[:3], want: []string{"a1", "a2", "b1"}},
		{
			name: "replace an unreachable witness", members: all, current: all[:3],
			config: ProposalConfig{Unreachable: idSet("a1")}, want: []string{"a2", "b1", "b2"},
		},
		{
			name: "keep an unreachable witness without a replacement", members: all[:3], current: all[:3],
			config: ProposalConfig{Unreachable: idSet("a1")}, want: []string{"a1", "a2", "b1"},
		},
		{
			name: "reduce to one if a witness leaves without a replacement", members: all[:3], current: all[:3],
			config: ProposalConfig{Leaving: idSet("a1")}, want: []string{"a2"},
		},
		{
			name: "majority in the region of the store", members: all, current: []lagoonlanding.Instance{a1, b1, b2},
			config: ProposalConfig{StoreRegions: map[string]bool{"a": true}}, want: []string{"a1", "b1", "a2"},
		},
		{
			name: "a group without members in the region of the store stays", members: all[2:], current: []lagoonlanding.Instance{a1, b1, b2},
			config: ProposalConfig{StoreRegions: map[string]bool{"a": true}, Candidates: all}, want: []string{"a1", "b1", "b2"},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := nextWitnessNames(test.config, test.members, test.current)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// nextWitnessNames returns the names of the witnesses of the next layout.
func nextWitnessNames(config ProposalConfig, instances, current []lagoonlanding.Instance) []string {
	var members []lagoonlanding.Member
	for _, instance := range instances {
		members = append(members, lagoonlanding.NewMember(instance, lagoonlanding.MemberActive, StandardWeight))
	}
	layout := lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{Version: 1, Members: members, Witnesses: current})
	config.Record = lagoonlanding.NewRecord(lagoonlanding.GroupID{}, layout, lagoonlanding.Layout{}, 1)
	var names []string
	for _, witness := range nextWitnesses(config, members) {
		names = append(names, witness.ID().Name())
	}
	return names
}

func TestFullGroupAcceptsOnlyNewIncarnationsOfMembers(t *testing.T) {
	config := lagoonlanding.LayoutConfig{Version: 1, Witnesses: []lagoonlanding.Instance{instanceIn("m0", "a-1")}}
	for i := range MaxMembers {
		config.Members = append(config.Members, lagoonlanding.NewMember(instanceIn(fmt.Sprint("m", i), "a-1"), lagoonlanding.MemberActive, StandardWeight))
	}
	next := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: lagoonlanding.NewInstanceID("m1", 2), PeerAddress: "m1", AvailabilityZone: "a-1"})
	layout, ok := Propose(ProposalConfig{
		Record:  lagoonlanding.NewRecord(lagoonlanding.GroupID{}, lagoonlanding.NewLayout(config), lagoonlanding.Layout{}, 1),
		Joining: []lagoonlanding.Instance{next, instanceIn("stranger", "a-1")},
	})
	_, replaced := layout.Member(next.ID())
	if !ok || !replaced || len(layout.Members()) != MaxMembers {
		t.Errorf("changed %v, replaced %v, %d members", ok, replaced, len(layout.Members()))
	}
}
