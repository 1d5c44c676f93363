package conductor

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/adapters/storer"
	"lagoonlanding.example/lagoonlanding/operations/planner"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/operations/submitter"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
)

// hastyClock lets every wait end at once.
type hastyClock struct{}

func (hastyclock hastyClock) Now() time.Time { return time.Unix(1, 0) }

func (hastyclock hastyClock) Until(time.Time) <-chan time.Time {
	passed := make(chan time.Time, 1)
	passed <- time.Unix(1, 0)
	return passed
}

var zoneNames = []string{"kushiro", "obihiro", "asahikawa", "nayoro"}

// pairedSet has a class and a tenant that always change together, so that a half-applied set shows.
func pairedSet(value int) publisher.SetConfig {
	config := publisher.SetConfig{
		HomeRegions: []publisher.HomeRegion{publisher.NewHomeRegion(publisher.HomeRegionConfig{Name: "doto"})},
		Workspaces:  []publisher.Workspace{publisher.NewWorkspace(publisher.WorkspaceConfig{Name: "ezo"})},
		Classes:     []publisher.Class{publisher.NewClass(publisher.ClassConfig{Name: "lookup", Cost: value})},
		Tenants:     []publisher.Tenant{publisher.NewTenant(publisher.TenantConfig{Name: "hall", Workspace: "ezo", Weight: value})},
	}
	for _, name := range zoneNames {
		config.AvailabilityZones = append(config.AvailabilityZones, publisher.NewAvailabilityZone(publisher.AvailabilityZoneConfig{Name: name, Region: "doto"}))
	}
	return config
}

// jitteryStore loses answers and refuses calls at random.
type jitteryStore struct {
	*storer.Memory
	mutex  sync.Mutex
	random *rand.Rand
}

func (jitterystore *jitteryStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	jitterystore.mutex.Lock()
	fate := jitterystore.random.Intn(8)
	jitterystore.mutex.Unlock()
	if fate == 0 {
		return 0, lagoonlanding.ErrUnavailable
	}
	revision, err := jitterystore.Memory.CompareAndSwap(ctx, key, expected, value)
	if err == nil && fate == 1 {
		return 0, lagoonlanding.ErrUnknown
	}
	return revision, err
}

func newConductor(store lagoonlanding.Store) *Conductor {
	return New(Config{
		Store: store, Records: encoder.Records{}, Placer: placer.NewRendezvous(),
		Submitter: submitter.New(submitter.Config{Store: store, Sets: encoder.Sets{}, Clock: hastyClock{}}),
	})
}

// TestOrdersAreWholeOrNothing races publishes and zone changes and checks every set that was ever in force.
func TestOrdersAreWholeOrNothing(t *testing.T) {
	for seed := range int64(20) {
		store := &jitteryStore{Memory: storer.NewMemory(), random: rand.New(rand.NewSource(seed))}
		conductor := newConductor(store)
		var operators sync.WaitGroup
		written := make([]int, 4)
		for operator := range 4 {
			random := rand.New(rand.NewSource(seed*10 + int64(operator)))
			operators.Go(func() { written[operator] = orderOften(conductor, operator, random) })
		}
		operators.Wait()
		sets, err := conductor.config.Submitter.History(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		total := 0
		for _, count := range written {
			total += count
		}
		requireWhole(t, seed, sets, total)
	}
}

// orderOften returns how many orders were told to be written.
func orderOften(conductor *Conductor, operator int, random *rand.Rand) int {
	written := 0
	for i := range 6 {
		publication := publisher.NewPublication(publisher.PublicationConfig{ID: fmt.Sprintf("%d-%d", operator, i)})
		held, err := conductor.config.Submitter.Read(context.Background())
		if err != nil {
			continue
		}
		var outcome Outcome
		if held.Set() == nil || random.Intn(2) == 0 {
			set := publisher.NewSet(pairedSet(1 + operator*10 + i))
			outcome = conductor.Publish(context.Background(), NewOrder(OrderConfig{
				Set: set, Base: held.Version(), Accepted: []string{string(planner.ZoneReturned)}, Publication: publication,
			}))
		} else {
			outcome = conductor.SetZone(context.Background(), NewZoneOrder(ZoneOrderConfig{
				Zone: zoneNames[random.Intn(len(zoneNames))], Out: random.Intn(2) == 0, Publication: publication,
			}))
		}
		if outcome.Verdict() == Written {
			written++
		}
	}
	return written
}

func requireWhole(t *testing.T, seed int64, sets []*publisher.Set, written int) {
	t.Helper()
	if len(sets) != written || sets[0].Version() != uint64(written) {
		t.Fatalf("seed %d: %d sets are kept, %d were told to be written", seed, len(sets), written)
	}
	for _, set := range sets {
		class, _ := set.Class("lookup")
		tenant, _ := set.Tenant("hall")
		if class.Cost() != tenant.Weight() || len(publisher.Check(set)) > 0 {
			t.Errorf("seed %d: set %d is half applied: cost %d, weight %d", seed, set.Version(), class.Cost(), tenant.Weight())
		}
	}
}

// TestZoneKeepsAnotherPublish checks that a zone change is made on the set in force, not on an older one.
func TestZoneKeepsAnotherPublish(t *testing.T) {
	conductor := newConductor(storer.NewMemory())
	publish := func(value int, base uint64) {
		t.Helper()
		outcome := conductor.Publish(t.Context(), NewOrder(OrderConfig{Set: publisher.NewSet(pairedSet(value)), Base: base, Publication: named(fmt.Sprint(value))}))
		if outcome.Verdict() != Written {
			t.Fatal(outcome.Verdict(), outcome.Err())
		}
	}
	publish(1, 0)
	publish(2, 1)
	if outcome := conductor.SetZone(t.Context(), NewZoneOrder(ZoneOrderConfig{Zone: "nayoro", Out: true, Publication: named("zone")})); outcome.Verdict() != Written {
		t.Fatal(outcome.Verdict())
	}
	held, err := conductor.config.Submitter.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	zone, _ := held.Set().AvailabilityZone("nayoro")
	class, _ := held.Set().Class("lookup")
	if !zone.IsOut() || class.Cost() != 2 || held.Version() != 3 {
		t.Errorf("set %d: out %v, cost %d", held.Version(), zone.IsOut(), class.Cost())
	}
}

// TestOutrunShowsTheDifference checks what the operator who came second sees.
func TestOutrunShowsTheDifference(t *testing.T) {
	conductor := newConductor(storer.NewMemory())
	for base := range uint64(2) {
		conductor.Publish(t.Context(), NewOrder(OrderConfig{Set: publisher.NewSet(pairedSet(int(base) + 1)), Base: base, Publication: named(fmt.Sprint(base))}))
	}
	outcome := conductor.Publish(t.Context(), NewOrder(OrderConfig{Set: publisher.NewSet(pairedSet(9)), Base: 1, Publication: named("late")}))
	var got []string
	for _, change := range outcome.Proposal().Plan().Changes() {
		got = append(got, fmt.Sprintf("%s %s %s", change.Object(), change.Before(), change.After()))
	}
	if diff := cmp.Diff([]string{"class.lookup 2 9", "tenant.hall 2 9"}, got); diff != "" || outcome.Verdict() != Outrun {
		t.Error(outcome.Verdict(), diff)
	}
}

func named(id string) publisher.Publication {
	return publisher.NewPublication(publisher.PublicationConfig{ID: id})
}

// frozenStore takes calls and never answers them.
type frozenStore struct{ lagoonlanding.Store }

func (frozenstore frozenStore) Get(ctx context.Context, _ string) (lagoonlanding.Entry, error) {
	<-ctx.Done()
	return lagoonlanding.Entry{}, ctx.Err()
}

// TestOrdersEndThoughTheStoreNeverAnswers was red while only the write was bounded in time.
func TestOrdersEndThoughTheStoreNeverAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conductor := newConductor(frozenStore{})
		for name, outcome := range map[string]Outcome{
			"publish": conductor.Publish(t.Context(), NewOrder(OrderConfig{Set: publisher.NewSet(pairedSet(1))})),
			"zone":    conductor.SetZone(t.Context(), NewZoneOrder(ZoneOrderConfig{Zone: "nayoro", Out: true})),
		} {
			if outcome.Verdict() != NotWritten || outcome.Err() == nil {
				t.Errorf("%s: %v, %v", name, outcome.Verdict(), outcome.Err())
			}
		}
	})
}
