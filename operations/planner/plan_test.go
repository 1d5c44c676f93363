package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

var zones = map[string]string{"piraeus": "attica", "marousi": "attica", "kalamaria": "macedonia", "ladadika": "macedonia"}

func sampleSet(version uint64, out ...string) publisher.SetConfig {
	config := publisher.SetConfig{
		Version: version,
		Services: []publisher.Service{publisher.NewService(publisher.ServiceConfig{
			Name: "status-app", Divided: true, LongestDeadline: time.Second, Slots: 6,
			Partitions: []publisher.Partition{publisher.NewPartition(publisher.PartitionConfig{
				Name: "mesh", Regions: []string{"attica", "macedonia"}, Shards: 64,
			})},
		})},
	}
	for name, region := range zones {
		zone := publisher.AvailabilityZoneConfig{Name: name, Region: region}
		for _, outZone := range out {
			zone.Out = zone.Out || outZone == name
		}
		config.AvailabilityZones = append(config.AvailabilityZones, publisher.NewAvailabilityZone(zone))
	}
	return config
}

func sampleGroups(config publisher.SetConfig) map[lagoonlanding.GroupID]router.Group {
	id := lagoonlanding.NewGroupID("status-app", "mesh")
	var members []lagoonlanding.Member
	for _, zone := range []string{"kalamaria", "ladadika", "marousi", "piraeus"} {
		instance := lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
			ID: lagoonlanding.NewInstanceID(zone+"-1", 1), AvailabilityZone: zone, Region: zones[zone], Service: "status-app",
		})
		state := lagoonlanding.MemberActive
		if known, _ := publisher.NewSet(config).AvailabilityZone(zone); known.IsOut() {
			state = lagoonlanding.MemberOutOfService
		}
		members = append(members, lagoonlanding.NewMember(instance, state, 100))
	}
	layout := lagoonlanding.NewLayout(lagoonlanding.LayoutConfig{Version: 3, Shards: 64, Members: members})
	record := lagoonlanding.NewRecord(id, layout, lagoonlanding.Layout{}, 9)
	return map[lagoonlanding.GroupID]router.Group{id: router.NewGroup(record, placer.NewRendezvous().Place(layout))}
}

func TestPlanDangers(t *testing.T) {
	partition := "service.status-app.partition.mesh"
	cases := []struct {
		name  string
		old   publisher.SetConfig
		next  publisher.SetConfig
		want  []string
		moved int
	}{
		{"nothing", sampleSet(1), sampleSet(2), nil, 0},
		{"one zone out", sampleSet(1), sampleSet(2, "piraeus"), nil, 16},
		{"a region out", sampleSet(1), sampleSet(2, "piraeus", "marousi"),
			[]string{"no-upstream:" + partition, "low-capacity:" + partition}, 32},
		{"all out", sampleSet(1), sampleSet(2, "piraeus", "marousi", "kalamaria", "ladadika"), []string{"no-member:" + partition}, 64},
		{"zone of idle members returned", sampleSet(1, "ladadika"), sampleSet(2), []string{"zone-returned:availability-zone.ladadika"}, 16},
		{"service removed", sampleSet(1), publisher.SetConfig{AvailabilityZones: sampleSet(1).AvailabilityZones},
			[]string{"removed:service.status-app", "removed:" + partition}, 64},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			plan := New(Config{
				Old: publisher.NewSet(test.old), New: publisher.NewSet(test.next),
				Groups: sampleGroups(test.old), Placer: placer.NewRendezvous(),
			})
			var got []string
			for _, danger := range plan.Dangers() {
				got = append(got, danger.Name())
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			moved := 0
			for _, move := range plan.Moves() {
				moved += move.Moved()
			}
			if moved < test.moved || moved > test.moved*3/2 {
				t.Errorf("moved %d, want about %d", moved, test.moved)
			}
		})
	}
}

func TestPlanCapacities(t *testing.T) {
	plan := New(Config{
		Old: publisher.NewSet(sampleSet(1)), New: publisher.NewSet(sampleSet(2, "marousi")),
		Groups: sampleGroups(sampleSet(1)), Placer: placer.NewRendezvous(),
	})
	var got []string
	for _, capacity := range plan.Capacities() {
		got = append(got, fmt.Sprint(capacity.Service(), " ", capacity.Zone(), " ", capacity.Before(), " ", capacity.After()))
	}
	want := []string{"status-app kalamaria 6 6", "status-app ladadika 6 6", "status-app marousi 6 0", "status-app piraeus 6 6"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestCompare(t *testing.T) {
	old := publisher.NewSet(publisher.SetConfig{
		Classes: []publisher.Class{publisher.NewClass(publisher.ClassConfig{Name: "a", Cost: 1}), publisher.NewClass(publisher.ClassConfig{Name: "b", Cost: 1})},
	})
	new := publisher.NewSet(publisher.SetConfig{
		Classes: []publisher.Class{publisher.NewClass(publisher.ClassConfig{Name: "b", Cost: 2}), publisher.NewClass(publisher.ClassConfig{Name: "c", Cost: 1})},
	})
	want := []Change{
		{kind: Removed, object: "class.a"},
		{kind: Changed, object: "class.b", field: "cost", before: "1", after: "2"},
		{kind: Added, object: "class.c"},
	}
	if diff := cmp.Diff(want, Compare(old, new), cmp.AllowUnexported(Change{})); diff != "" {
		t.Error(diff)
	}
}

func TestUnaccepted(t *testing.T) {
	dangers := []Danger{{kind: LowCapacity, object: "x"}, {kind: NoMember, object: "y"}, {kind: NoMember, object: "z"}}
	unaccepted := Unaccepted(dangers, []string{"low-capacity", "no-member:y"})
	if len(unaccepted) != 1 || unaccepted[0].Name() != "no-member:z" {
		t.Errorf("unaccepted %v", unaccepted)
	}
}
