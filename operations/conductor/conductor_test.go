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

// instantClock ends every wait at once.
type instantClock struct{}

func (instantclock instantClock) Now() time.Time { return time.Unix(1, 0) }

func (instantclock instantClock) Until(time.Time) <-chan time.Time {
	elapsed := make(chan time.Time, 1)
	elapsed <- time.Unix(1, 0)
	return elapsed
}

var zoneNames = []string{"kushiro", "obihiro", "asahikawa", "nayoro"}

// pairedSet has a class and a tenant that always change together, so that a partially applied set can be detected.
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

// unreliableStore loses replies and rejects calls at random.
type unreliableStore struct {
	*storer.Memory
	mutex  sync.Mutex
	random *rand.Rand
}

func (unreliablestore *unreliableStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	unreliablestore.mutex.Lock()
	roll := unreliablestore.random.Intn(8)
	unreliablestore.mutex.Unlock()
	if roll == 0 {
		return 0, lagoonlanding.ErrUnavailable
	}
	revision, err := unreliablestore.Memory.CompareAndSwap(ctx, key, expected, value)
	if err == nil && roll == 1 {
		return 0, lagoonlanding.ErrUnknown
	}
	return revision, err
}

func newConductor(store lagoonlanding.Store) *Conductor {
	return New(Config{
		Store: store, Records: encoder.Records{}, Placer: placer.NewRendezvous(),
		Submitter: submitter.New(submitter.Config{Store: store, Sets: encoder.Sets{}, Clock: instantClock{}}),
	})
}

// TestConcurrentPublishesAreAtomic runs publishes and zone changes concurrently and checks every set that was in force.
func TestConcurrentPublishesAreAtomic(t *testing.T) {
	for seed := range int64(20) {
		store := &unreliableStore{Memory: storer.NewMemory(), random: rand.New(rand.NewSource(seed))}
		conductor := newConductor(store)
		var operators sync.WaitGroup
		written := make([]int, 4)
		for operator := range 4 {
			random := rand.New(rand.NewSource(seed*10 + int64(operator)))
			operators.Go(func() { written[operator] = publishRepeatedly(conductor, operator, random) })
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
		requireAtomicSets(t, seed, sets, total)
	}
}

// publishRepeatedly returns the number of requests that were reported as written.
func publishRepeatedly(conductor *Conductor, operator int, random *rand.Rand) int {
	written := 0
	for i := range 6 {
		publication := publisher.NewPublication(publisher.PublicationConfig{ID: fmt.Sprintf("%d-%d", operator, i)})
		storedset, err := conductor.config.Submitter.Read(context.Background())
		if err != nil {
			continue
		}
		var outcome Outcome
		if storedset.Set() == nil || random.Intn(2) == 0 {
			set := publisher.NewSet(pairedSet(1 + operator*10 + i))
			outcome = conductor.Publish(context.Background(), NewSetRequest(SetRequestConfig{
				Set: set, Base: storedset.Version(), Accepted: []string{string(planner.ZoneReturned)}, Publication: publication,
			}))
		} else {
			outcome = conductor.SetZone(context.Background(), NewZoneRequest(ZoneRequestConfig{
				Zone: zoneNames[random.Intn(len(zoneNames))], Out: random.Intn(2) == 0, Publication: publication,
			}))
		}
		if outcome.Verdict() == Written {
			written++
		}
	}
	return written
}

func requireAtomicSets(t *testing.T, seed int64, sets []*publisher.Set, written int) {
	t.Helper()
	if len(sets) != written || sets[0].Version() != uint64(written) {
		t.Fatalf("seed %d: %d sets are in the history, %d were reported as written", seed, len(sets), written)
	}
	for _, set := range sets {
		class, _ := set.Class("lookup")
		tenant, _ := set.Tenant("hall")
		if class.Cost() != tenant.Weight() || len(publisher.Check(set)) > 0 {
			t.Errorf("seed %d: set %d is partially applied: cost %d, weight %d", seed, set.Version(), class.Cost(), tenant.Weight())
		}
	}
}

// TestZoneChangeKeepsConcurrentPublish checks that a zone change is based on the set in force, not on an older one.
func TestZoneChangeKeepsConcurrentPublish(t *testing.T) {
	conductor := newConductor(storer.NewMemory())
	publish := func(value int, base uint64) {
		t.Helper()
		outcome := conductor.Publish(t.Context(), NewSetRequest(SetRequestConfig{Set: publisher.NewSet(pairedSet(value)), Base: base, Publication: publicationWithID(fmt.Sprint(value))}))
		if outcome.Verdict() != Written {
			t.Fatal(outcome.Verdict(), outcome.Err())
		}
	}
	publish(1, 0)
	publish(2, 1)
	if outcome := conductor.SetZone(t.Context(), NewZoneRequest(ZoneRequestConfig{Zone: "nayoro", Out: true, Publication: publicationWithID("zone")})); outcome.Verdict() != Written {
		t.Fatal(outcome.Verdict())
	}
	storedset, err := conductor.config.Submitter.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	zone, _ := storedset.Set().AvailabilityZone("nayoro")
	class, _ := storedset.Set().Class("lookup")
	if !zone.IsOut() || class.Cost() != 2 || storedset.Version() != 3 {
		t.Errorf("set %d: out %v, cost %d", storedset.Version(), zone.IsOut(), class.Cost())
	}
}

// TestOutrunReturnsTheDifference checks that the operator who publishes second gets the difference to the set in force.
func TestOutrunReturnsTheDifference(t *testing.T) {
	conductor := newConductor(storer.NewMemory())
	for base := range uint64(2) {
		conductor.Publish(t.Context(), NewSetRequest(SetRequestConfig{Set: publisher.NewSet(pairedSet(int(base) + 1)), Base: base, Publication: publicationWithID(fmt.Sprint(base))}))
	}
	outcome := conductor.Publish(t.Context(), NewSetRequest(SetRequestConfig{Set: publisher.NewSet(pairedSet(9)), Base: 1, Publication: publicationWithID("late")}))
	var got []string
	for _, change := range outcome.Proposal().Plan().Changes() {
		got = append(got, fmt.Sprintf("%s %s %s", change.Object(), change.Before(), change.After()))
	}
	if diff := cmp.Diff([]string{"class.lookup 2 9", "tenant.hall 2 9"}, got); diff != "" || outcome.Verdict() != Outrun {
		t.Error(outcome.Verdict(), diff)
	}
}

func publicationWithID(id string) publisher.Publication {
	return publisher.NewPublication(publisher.PublicationConfig{ID: id})
}

// hangingStore accepts calls and never replies.
type hangingStore struct{ lagoonlanding.Store }

func (hangingstore hangingStore) Get(ctx context.Context, _ string) (lagoonlanding.Entry, error) {
	<-ctx.Done()
	return lagoonlanding.Entry{}, ctx.Err()
}

// TestRequestsEndWhenTheStoreHangs guards against calls to the store without a timeout: a read once waited forever, since only
// the write had one.
func TestRequestsEndWhenTheStoreHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conductor := newConductor(hangingStore{})
		for name, outcome := range map[string]Outcome{
			"publish": conductor.Publish(t.Context(), NewSetRequest(SetRequestConfig{Set: publisher.NewSet(pairedSet(1))})),
			"zone":    conductor.SetZone(t.Context(), NewZoneRequest(ZoneRequestConfig{Zone: "nayoro", Out: true})),
		} {
			if outcome.Verdict() != NotWritten || outcome.Err() == nil {
				t.Errorf("%s: %v, %v", name, outcome.Verdict(), outcome.Err())
			}
		}
	})
}
