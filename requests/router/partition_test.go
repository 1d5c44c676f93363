package router

import (
	"fmt"
	"testing"

	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

func TestPartitionStaysInHomeRegions(t *testing.T) {
	service := publisher.NewService(publisher.ServiceConfig{
		Name: "status-app",
		Partitions: []publisher.Partition{
			publisher.NewPartition(publisher.PartitionConfig{Name: "attica", Regions: []string{"attica"}, Shards: 8}),
			publisher.NewPartition(publisher.PartitionConfig{Name: "macedonia", Regions: []string{"macedonia"}, Shards: 8}),
			publisher.NewPartition(publisher.PartitionConfig{Name: "mesh", Regions: []string{"attica", "macedonia"}, Shards: 8}),
		},
	})
	cases := []struct {
		homes []string
		want  string
		ok    bool
	}{
		{homes: nil, want: "mesh", ok: true},
		{homes: []string{"attica"}, want: "attica", ok: true},
		{homes: []string{"macedonia"}, want: "macedonia", ok: true},
		{homes: []string{"crete"}, ok: false},
	}
	for _, test := range cases {
		workspace := publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "w", HomeRegions: test.homes})
		for i := range 100 {
			partition, ok := Partition(service, workspace, fmt.Sprint(i))
			if ok != test.ok || partition.Name() != test.want {
				t.Fatalf("homes %v: got %q, %v", test.homes, partition.Name(), ok)
			}
		}
	}
}
