package encoder

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
)

var compareSets = cmp.AllowUnexported(
	publisher.Set{}, publisher.Publication{}, publisher.HomeRegion{}, publisher.AvailabilityZone{}, publisher.Service{},
	publisher.Partition{}, publisher.Workspace{}, publisher.Tenant{}, publisher.Class{}, publisher.Route{},
)

func sampleSet(tenants int) *publisher.Set {
	config := publisher.SetConfig{
		Version:     7,
		Publication: publisher.NewPublication(publisher.PublicationConfig{ID: "a1", Operator: "ops", Note: "why", Issued: time.Unix(5, 0).UTC()}),
		HomeRegions: []publisher.HomeRegion{publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: "doto"})},
		AvailabilityZones: []publisher.AvailabilityZone{
			publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{Name: "kushiro", Region: "doto", Out: true}),
		},
		Services: []publisher.Service{publisher.NewService(publisher.ServiceConfig{
			Name: "catalogue", Divided: true, ChecksFence: true, LongestDeadline: time.Second, Slots: 6, Connections: 60, Queue: 9,
			Partitions: []publisher.Partition{publisher.NewPartition(publisher.PartitionConfig{Name: "all", Regions: []string{"doto"}, Shards: 8})},
		})},
		Workspaces: []publisher.Workspace{publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "ezo", HomeRegions: []string{"doto"}})},
		Classes:    []publisher.Class{publisher.NewClass(publisher.ClassConfig{Name: "lookup", Cost: 3})},
		Routes: []publisher.Route{publisher.NewRoute(publisher.RouteConfig{
			Name: "script", Path: "/scripts/{key}", Methods: []string{"GET"}, Service: "catalogue", Class: "lookup", Idempotent: true,
		})},
	}
	random := rand.New(rand.NewSource(1))
	for i := range tenants {
		name := fmt.Sprintf("tenant-%x-%d", random.Uint64(), i)
		config.Tenants = append(config.Tenants, publisher.NewTenant(publisher.TenantConfig{Name: name, Workspace: "ezo", Weight: 1, Limit: i}))
	}
	return publisher.NewSet(config)
}

func TestSetsRoundTrip(t *testing.T) {
	set := sampleSet(2)
	value, err := Sets{}.Encode(set)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Sets{}.Decode(lagoonlanding.NewEntry(lagoonlanding.SetKey, value, 3))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(set, decoded, compareSets); diff != "" {
		t.Fatal(diff)
	}
}

func TestInvalidAndTooLargeSetsAreRefused(t *testing.T) {
	value, err := Sets{}.Encode(sampleSet(1))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string][]byte{
		"empty": nil, "format": {9, 1}, "cut": value[:len(value)/2], "large": append([]byte{setFormat}, make([]byte, MaxSetSize)...),
	}
	for name, value := range cases {
		if set, err := (Sets{}).Decode(lagoonlanding.NewEntry(lagoonlanding.SetKey, value, 3)); err == nil {
			t.Errorf("%s: decoded %v", name, set)
		}
	}
	if _, err := (Sets{}).Encode(sampleSet(100000)); !errors.Is(err, ErrSetTooLarge) {
		t.Errorf("encoded 100000 tenants: %v", err)
	}
}

func FuzzSetsDecode(f *testing.F) {
	value, err := Sets{}.Encode(sampleSet(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte{setFormat})
	f.Fuzz(func(t *testing.T, value []byte) {
		set, err := Sets{}.Decode(lagoonlanding.NewEntry("fuzz", value, 1))
		if err != nil {
			return
		}
		if _, err := (Sets{}).Encode(set); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkSetsEncode(b *testing.B) {
	for _, tenants := range []int{100, 3000, publisher.MaxTenants} {
		b.Run(fmt.Sprint(tenants, " tenants"), func(b *testing.B) {
			set := sampleSet(tenants)
			for b.Loop() {
				value, err := Sets{}.Encode(set)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(value)), "bytes")
			}
		})
	}
}

// mutate returns a set with some tenants changed, added and removed.
func mutate(set *publisher.Set, random *rand.Rand) *publisher.Set {
	config := publisher.SetConfig{
		Version: set.Version() + 1 + uint64(random.Intn(3)), HomeRegions: set.HomeRegions(), AvailabilityZones: set.AvailabilityZones(),
		Services: set.Services(), Workspaces: set.Workspaces(), Classes: set.Classes(), Routes: set.Routes(),
	}
	if random.Intn(3) == 0 {
		config.Routes = nil
	}
	for _, tenant := range set.Tenants() {
		switch random.Intn(10) {
		case 0:
		case 1:
			config.Tenants = append(config.Tenants, publisher.NewTenant(publisher.TenantConfig{Name: tenant.Name(), Workspace: "ezo", Weight: random.Int()}))
		default:
			config.Tenants = append(config.Tenants, tenant)
		}
	}
	config.Tenants = append(config.Tenants, publisher.NewTenant(publisher.TenantConfig{Name: fmt.Sprint("new-", random.Int()), Workspace: "ezo", Weight: 1}))
	return publisher.NewSet(config)
}

func TestDifferenceAppliedToItsBaseYieldsTheNewSet(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	old := sampleSet(50)
	for range 200 {
		new := mutate(old, random)
		value, err := Sets{}.Difference(old, new)
		if err != nil {
			t.Fatal(err)
		}
		applied, err := Sets{}.Apply(old, value)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(new, applied, compareSets); diff != "" {
			t.Fatal(diff)
		}
		old = applied
	}
}

func TestDifferenceFromAnotherBaseIsRefused(t *testing.T) {
	random := rand.New(rand.NewSource(8))
	old := sampleSet(50)
	value, err := Sets{}.Difference(old, mutate(old, random))
	if err != nil {
		t.Fatal(err)
	}
	sameVersion := mutate(old, random).WithVersion(old.Version())
	for name, base := range map[string]*publisher.Set{
		"none": nil, "version": old.WithVersion(old.Version() + 1), "objects": sameVersion,
	} {
		if set, err := (Sets{}).Apply(base, value); !errors.Is(err, ErrBaseMismatch) {
			t.Errorf("%s: %v, %v", name, set, err)
		}
	}
}

func BenchmarkSetsDifference(b *testing.B) {
	old := sampleSet(publisher.MaxTenants)
	new, _ := old.WithZone("kushiro", false)
	new = new.WithVersion(old.Version() + 1)
	for b.Loop() {
		value, err := Sets{}.Difference(old, new)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(value)), "bytes")
	}
}
