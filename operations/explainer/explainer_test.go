package explainer

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

func snapshot(withGroup bool) *router.Snapshot {
	self := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{ID: lagoonlanding.NewInstanceID("a", 1), AvailabilityZone: "piraeus", Region: "attica"})
	id := lagoonlanding.NewGroupID("status-app", "attica")
	set := publisher.NewSet(publisher.SetConfig{
		Version: 4,
		Services: []publisher.Service{publisher.NewService(publisher.ServiceConfig{Name: "status-app", Partitions: []publisher.Partition{
			publisher.NewPartition(publisher.PartitionConfig{Name: "attica", Regions: []string{"attica"}, Shards: 1}),
		}})},
		Workspaces: []publisher.Workspace{
			publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "harbour", HomeRegions: []string{"attica"}}),
			publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "north", HomeRegions: []string{"macedonia"}}),
		},
	})
	config := router.SnapshotConfig{Self: self, Set: set}
	if withGroup {
		layout := lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{
			Version: 2, Shards: 1, Members: []lagoonlanding.Member{lagoonlanding.NewMember(self, lagoonlanding.MemberActive, 100)},
		})
		record := lagoonlanding.NewRecord(id, layout, lagoonlanding.Layout{}, 3)
		config.Groups = map[lagoonlanding.GroupID]router.Group{
			id: router.NewGroup(record, lagoonlanding.NewPlacement([]lagoonlanding.InstanceID{self.ID()})),
		}
		config.Leases = map[lagoonlanding.GroupID]router.Lease{
			id: router.NewLease(router.LeaseConfig{Version: 2, Tokens: []uint64{2}, Since: []uint64{3}}),
		}
	}
	return router.NewSnapshot(config)
}

func TestExplain(t *testing.T) {
	cases := []struct {
		name      string
		snapshot  *router.Snapshot
		service   string
		workspace string
		want      []string
	}{
		{"served", snapshot(true), "status-app", "harbour", []string{"set 4", "home regions attica", "partition attica", "shard 0", "owner a#1", "state served here"}},
		{"no group", snapshot(false), "status-app", "harbour", []string{"set 4", "home regions attica", "partition attica", "shard 0", "owner none"}},
		{"not permitted", snapshot(true), "status-app", "north", []string{"set 4", "home regions macedonia", "partition none"}},
		{"no service", snapshot(true), "archive", "harbour", []string{"set 4", "service none"}},
		{"no set", router.NewSnapshot(router.SnapshotConfig{}), "status-app", "harbour", []string{"set none"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, step := range Explain(test.snapshot, lagoonlanding.NewKey(test.service, test.workspace, "k")).Steps() {
				got = append(got, fmt.Sprintf("%s %s", step.What(), step.Value()))
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
