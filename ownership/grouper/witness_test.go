package grouper

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

// at returns an instance of a zone; the zone's first letter names its region.
func at(name, zone string) lagoonlanding.Instance {
	return lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID: lagoonlanding.NewInstanceID(name, 1), PeerAddress: name, AvailabilityZone: zone, Region: zone[:1],
	})
}

func named(ids ...string) map[lagoonlanding.InstanceID]bool {
	set := make(map[lagoonlanding.InstanceID]bool)
	for _, id := range ids {
		set[lagoonlanding.NewInstanceID(id, 1)] = true
	}
	return set
}

func TestWitnesses(t *testing.T) {
	a1, a2, b1, b2 := at("a1", "a-1"), at("a2", "a-2"), at("b1", "b-1"), at("b2", "b-2")
	all := []lagoonlanding.Instance{a1, a2, b1, b2}
	cases := []struct {
		name    string
		members []lagoonlanding.Instance
		current []lagoonlanding.Instance
		config  ProposalConfig
		want    []string
	}{
		{name: "two instances keep one", members: all[:2], current: all[:1], want: []string{"a1"}},
		{name: "grow to three zones", members: all, current: all[:1], want: []string{"a1", "a2", "b1"}},
		{name: "stay", members: all, current: all[:3], want: []string{"a1", "a2", "b1"}},
		{
			name: "replace the lost one", members: all, current: all[:3],
			config: ProposalConfig{Unreachable: named("a1")}, want: []string{"a2", "b1", "b2"},
		},
		{
			name: "keep what is out of reach without a replacement", members: all[:3], current: all[:3],
			config: ProposalConfig{Unreachable: named("a1")}, want: []string{"a1", "a2", "b1"},
		},
		{
			name: "shrink when one leaves without a replacement", members: all[:3], current: all[:3],
			config: ProposalConfig{Leaving: named("a1")}, want: []string{"a2"},
		},
		{
			name: "majority beside the store", members: all, current: []lagoonlanding.Instance{a1, b1, b2},
			config: ProposalConfig{StoreRegions: map[string]bool{"a": true}}, want: []string{"a1", "b1", "a2"},
		},
		{
			name: "a group of another region stays there", members: all[2:], current: []lagoonlanding.Instance{a1, b1, b2},
			config: ProposalConfig{StoreRegions: map[string]bool{"a": true}, Candidates: all}, want: []string{"a1", "b1", "b2"},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := witnessesAfter(test.config, test.members, test.current)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// witnessesAfter returns the names of the witnesses that follow the current ones.
func witnessesAfter(config ProposalConfig, instances, current []lagoonlanding.Instance) []string {
	var members []lagoonlanding.Member
	for _, instance := range instances {
		members = append(members, lagoonlanding.NewMember(instance, lagoonlanding.MemberActive, PlainWeight))
	}
	layout := lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{Version: 1, Members: members, Witnesses: current})
	config.Record = lagoonlanding.NewRecord(lagoonlanding.GroupID{}, layout, lagoonlanding.Layout{}, 1)
	var names []string
	for _, witness := range nextWitnesses(config, members) {
		names = append(names, witness.ID().Name())
	}
	return names
}

func TestFullGroupTakesOnlyTheNextRunOfAMember(t *testing.T) {
	config := lagoonlanding.LayoutConfig{Version: 1, Witnesses: []lagoonlanding.Instance{at("m0", "a-1")}}
	for i := range MaxMembers {
		config.Members = append(config.Members, lagoonlanding.NewMember(at(fmt.Sprint("m", i), "a-1"), lagoonlanding.MemberActive, PlainWeight))
	}
	next := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: lagoonlanding.NewInstanceID("m1", 2), PeerAddress: "m1", AvailabilityZone: "a-1"})
	layout, ok := Propose(ProposalConfig{
		Record:  lagoonlanding.NewRecord(lagoonlanding.GroupID{}, lagoonlanding.NewLayout(config), lagoonlanding.Layout{}, 1),
		Joining: []lagoonlanding.Instance{next, at("stranger", "a-1")},
	})
	_, replaced := layout.Member(next.ID())
	if !ok || !replaced || len(layout.Members()) != MaxMembers {
		t.Errorf("changed %v, replaced %v, %d members", ok, replaced, len(layout.Members()))
	}
}
