package allocator

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

func process(number int, startedMilli int64) lagoonlanding.BackendID {
	return lagoonlanding.NewBackendID(fmt.Sprintf("daemon-%d", number), fmt.Sprintf("server-%d", number), startedMilli)
}

func backends(ids ...lagoonlanding.BackendID) []lagoonlanding.Backend {
	var created []lagoonlanding.Backend
	for _, id := range ids {
		created = append(created, lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: id, State: lagoonlanding.BackendReady}))
	}
	return created
}

func neverExpired(lagoonlanding.BackendID) bool { return false }

// counts returns the number of stripes of each owner.
func counts(allotment *Allotment) map[lagoonlanding.BackendID]int {
	owned := map[lagoonlanding.BackendID]int{}
	for _, stripe := range allotment.Stripes() {
		owned[stripe.Owner()]++
	}
	return owned
}

func TestFirstPlanSharesAllKeysAndSpreadsAdjacentStripes(t *testing.T) {
	a, b, c := process(1, 1), process(2, 1), process(3, 1)
	allotment, changed := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: backends(a, b, c), IsExpired: neverExpired})
	if !changed {
		t.Fatal("the first plan changed nothing")
	}
	for id, count := range counts(allotment) {
		if count < MinStripes/3 || count > MinStripes/3+1 {
			t.Errorf("%s has %d stripes", id, count)
		}
	}
	for number, stripe := range allotment.Stripes() {
		if !stripe.IsAssignable() {
			t.Errorf("stripe %d waits for a previous owner", number)
		}
		if number > 0 && allotment.Stripes()[number-1].Owner() == stripe.Owner() {
			t.Errorf("stripes %d and %d have the same owner", number-1, number)
		}
	}
	if _, changed := allotment.Plan(PlanConfig{Backends: backends(a, b, c), IsExpired: neverExpired}); changed {
		t.Error("a balanced allotment was changed")
	}
}

func TestMoveWaitsForThePriorOwner(t *testing.T) {
	a, b := process(1, 1), process(2, 1)
	first, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: backends(a), IsExpired: neverExpired})
	moved, changed := first.Plan(PlanConfig{Backends: backends(b), IsExpired: neverExpired})
	if !changed {
		t.Fatal("nothing moved")
	}
	if ranges := moved.RangesOf(b, func(int, int) bool { return false }); len(ranges) != 0 {
		t.Fatalf("the new owner was assigned %v before the prior one released it", ranges)
	}
	released, ok := moved.Release(a, func(first, _ int) (string, bool) { return "proof", first == 0 })
	if !ok {
		t.Fatal("nothing was released")
	}
	ranges := released.RangesOf(b, func(int, int) bool { return false })
	if len(ranges) != 1 || ranges[0].First() != 0 || ranges[0].Handover() != "proof" || ranges[0].Token() <= first.Stripes()[0].Token() {
		t.Errorf("got %+v", ranges)
	}
	if again := released.RangesOf(b, func(int, int) bool { return true }); again[0].Handover() != "" {
		t.Error("the handover is sent to a backend server that already owns the keys")
	}
}

func TestNewBackendGetsItsShare(t *testing.T) {
	a, b, c := process(1, 1), process(2, 1), process(3, 1)
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: backends(a, b), IsExpired: neverExpired})
	allotment, _ = allotment.Plan(PlanConfig{Backends: backends(a, b, c), IsExpired: neverExpired})
	if count := counts(allotment)[c]; count < MinStripes/3-1 || count > MinStripes/3+1 {
		t.Errorf("the new backend server owns %d stripes", count)
	}
}

func TestNewProcessKeepsTheKeysOfItsDaemon(t *testing.T) {
	old, fresh, other := process(1, 1), process(1, 2), process(2, 1)
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: backends(old, other), IsExpired: neverExpired})
	next, changed := allotment.Inherit(fresh)
	if !changed || counts(next)[fresh] != MinStripes/2 || counts(next)[other] != MinStripes/2 {
		t.Fatalf("got %v, %v", changed, counts(next))
	}
	for number, stripe := range next.Stripes() {
		if stripe.Owner() == fresh && (!stripe.IsAssignable() || stripe.Token() <= allotment.Stripes()[number].Token()) {
			t.Errorf("stripe %d has token %d", number, stripe.Token())
		}
	}
	if _, changed := next.Inherit(fresh); changed {
		t.Error("the keys were inherited twice")
	}
}

// TestDelayedAnnouncementInheritsNoKeysOfALaterProcess guards against two owners of a key: after a restart of its daemon an ended process may be the
// only one known, while the one that followed it still owns keys or has not released them yet.
func TestDelayedAnnouncementInheritsNoKeysOfALaterProcess(t *testing.T) {
	ended, running, other := process(1, 1), process(1, 2), process(2, 1)
	stripes := make([]Stripe, MinStripes)
	for number := range stripes {
		stripes[number] = NewStripe(StripeConfig{Owner: running, Token: 1})
		if number%2 == 0 {
			stripes[number] = NewStripe(StripeConfig{Owner: other, Prior: running, Token: 1})
		}
	}
	allotment := NewAllotment(AllotmentConfig{Service: "s", Version: 1, Stripes: stripes})
	if next, changed := allotment.Inherit(ended); changed {
		t.Errorf("the first stripe is assignable %v, the second one belongs to %v", next.Stripes()[0].IsAssignable(), next.Stripes()[1].Owner())
	}
}

func TestRangesFitIntoAMessage(t *testing.T) {
	a := process(1, 1)
	var stripes []Stripe
	for number := range MinStripes {
		stripes = append(stripes, NewStripe(StripeConfig{Owner: a, Token: uint64(number + 1)}))
	}
	allotment := NewAllotment(AllotmentConfig{Service: "s", Version: MinStripes, Stripes: stripes})
	ranges := allotment.RangesOf(a, func(int, int) bool { return false })
	if len(ranges) > maxRanges {
		t.Fatalf("%d ranges", len(ranges))
	}
	if ranges[0].First() != 0 || ranges[0].Last() != Keys-1 || ranges[0].Token() != MinStripes {
		t.Errorf("got %+v", ranges[0])
	}
}

func TestCodecRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var stripes []Stripe
	for range MinStripes {
		stripes = append(stripes, NewStripe(StripeConfig{
			Owner: process(random.IntN(4), 5), Prior: process(random.IntN(3), 7), Token: uint64(random.IntN(40)), Handover: fmt.Sprint(random.IntN(3)),
		}))
	}
	allotment := NewAllotment(AllotmentConfig{Service: "s", Version: 40, Stripes: stripes})
	encoded, err := Codec{}.Encode(allotment)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Codec{}.Decode(lagoonlanding.NewEntry("k", encoded, 1))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(allotment, decoded, cmp.AllowUnexported(Allotment{}, Stripe{}, lagoonlanding.BackendID{})); diff != "" {
		t.Error(diff)
	}
}

func FuzzDecode(f *testing.F) {
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: backends(process(1, 1)), IsExpired: neverExpired})
	encoded, err := Codec{}.Encode(allotment)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte("not compressed"))
	f.Fuzz(func(t *testing.T, value []byte) {
		decoded, err := Codec{}.Decode(lagoonlanding.NewEntry("k", value, 1))
		if err == nil && !isStripeCount(len(decoded.Stripes())) {
			t.Errorf("%d stripes", len(decoded.Stripes()))
		}
	})
}

// newBackends returns the given number of backend servers.
func newBackends(count int) []lagoonlanding.Backend {
	var ids []lagoonlanding.BackendID
	for number := range count {
		ids = append(ids, process(number, 1))
	}
	return backends(ids...)
}

func TestAdjacentKeysAreSpreadOverALargeFleet(t *testing.T) {
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: newBackends(41), IsExpired: neverExpired})
	owners := map[lagoonlanding.BackendID]bool{}
	for key := 46592; key < 46592+256; key++ {
		owners[allotment.StripeOf(key).Owner()] = true
	}
	if len(owners) < 8 {
		t.Errorf("256 adjacent keys have %d owners", len(owners))
	}
}

func TestSplittingStripesMovesNoKeys(t *testing.T) {
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: newBackends(4), IsExpired: neverExpired})
	split := allotment.next()
	if !split.split(41) {
		t.Fatal("no stripe was split")
	}
	for key := range Keys {
		if allotment.StripeOf(key) != split.StripeOf(key) {
			t.Fatalf("key %d changed", key)
		}
	}
}

func TestRangesFitIntoAMessageWhenFewBackendsAreLeft(t *testing.T) {
	isExpired := func(id lagoonlanding.BackendID) bool { return true }
	for _, left := range []int{1, 2, 4, 10, 20, 30} {
		allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: newBackends(41), IsExpired: neverExpired})
		allotment, _ = allotment.Plan(PlanConfig{Backends: newBackends(left), IsExpired: isExpired})
		owned := 0
		for _, backend := range newBackends(left) {
			ranges := allotment.RangesOf(backend.ID(), func(int, int) bool { return false })
			for _, heldrange := range ranges {
				owned += heldrange.Last() - heldrange.First() + 1
			}
			if len(ranges) > maxMergedRanges {
				t.Errorf("%d left: %d ranges", left, len(ranges))
			}
		}
		if owned != Keys {
			t.Errorf("%d left: %d keys are owned", left, owned)
		}
	}
}

func TestStoredFormOfALargeAllotmentIsSmall(t *testing.T) {
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: newBackends(64), IsExpired: neverExpired})
	encoded, err := Codec{}.Encode(allotment)
	if err != nil {
		t.Fatal(err)
	}
	// The budget for control traffic is 6 KB per second and daemon, and every daemon receives each version.
	if len(encoded) > 6000 {
		t.Errorf("%d bytes for %d stripes", len(encoded), len(allotment.Stripes()))
	}
}

func BenchmarkDecodeLarge(b *testing.B) {
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: newBackends(41), IsExpired: neverExpired})
	encoded, err := Codec{}.Encode(allotment)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := (Codec{}).Decode(lagoonlanding.NewEntry("k", encoded, 1)); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPlanWithoutChange(b *testing.B) {
	all := newBackends(41)
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: all, IsExpired: neverExpired})
	for b.Loop() {
		allotment.Plan(PlanConfig{Backends: all, IsExpired: neverExpired})
	}
}

func BenchmarkRangesOf(b *testing.B) {
	all := newBackends(41)
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: all, IsExpired: neverExpired})
	for b.Loop() {
		allotment.RangesOf(all[0].ID(), func(int, int) bool { return false })
	}
}

func TestNewBackendInALargeFleetReceivesFromFewDonors(t *testing.T) {
	all := newBackends(42)
	before, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: all[:41], IsExpired: neverExpired})
	after, changed := before.Plan(PlanConfig{Backends: all, IsExpired: neverExpired})
	donors := map[lagoonlanding.BackendID]bool{}
	moved := 0
	for number, stripe := range after.Stripes() {
		if stripe.Owner() != before.Stripes()[number].Owner() {
			donors[stripe.Prior()] = true
			moved++
		}
	}
	if share := len(after.Stripes()) / 42; !changed || moved < share || moved > share+1 || len(donors) > 14 {
		t.Errorf("%d stripes moved from %d donors", moved, len(donors))
	}
}

func TestRestartedFleetInheritsItsKeysWithOneWrite(t *testing.T) {
	before, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: newBackends(6), IsExpired: neverExpired})
	// The known process of the third daemon is older than the owner of the keys, and no process of the fourth daemon is known.
	known := []lagoonlanding.BackendID{process(1, 9), process(2, 0)}
	after, changed := before.Inherit(process(0, 9), known...)
	if !changed {
		t.Fatal("nothing changed")
	}
	want := map[lagoonlanding.BackendID]lagoonlanding.BackendID{process(0, 1): process(0, 9), process(1, 1): process(1, 9)}
	for number, stripe := range after.Stripes() {
		old := before.Stripes()[number]
		successor, isInherited := want[old.Owner()]
		if !isInherited {
			successor = old.Owner()
		}
		if stripe.Owner() != successor || isInherited != (stripe.Token() > old.Token()) {
			t.Fatalf("stripe %d of %v went to %v with token %d", number, old.Owner(), stripe.Owner(), stripe.Token())
		}
	}
}

// TestLaterAssignmentIsAcceptedByTheSameProcess plays a backend server that rejects rows below the greatest token it has seen for a key.
func TestLaterAssignmentIsAcceptedByTheSameProcess(t *testing.T) {
	a, b := process(1, 1), process(2, 1)
	var stripes []Stripe
	for number := range MinStripes {
		owner := a
		if number%2 == 1 && number < 20 {
			owner = b
		}
		stripes = append(stripes, NewStripe(StripeConfig{Owner: owner, Token: uint64(number + 1)}))
	}
	var seen [Keys]uint64
	assign := func(allotment *Allotment) {
		t.Helper()
		for _, row := range allotment.RangesOf(a, func(int, int) bool { return true }) {
			for key := row.First(); key <= row.Last(); key++ {
				if row.Token() < seen[key] {
					t.Fatalf("key %d is assigned with token %d after %d", key, row.Token(), seen[key])
				}
				seen[key] = row.Token()
			}
		}
	}
	// So many ranges that adjacent ones are merged, then few.
	assign(NewAllotment(AllotmentConfig{Service: "s", Version: MinStripes, Stripes: stripes}))
	for number := 100; number < MinStripes; number++ {
		stripes[number] = NewStripe(StripeConfig{Owner: b, Token: MinStripes + 1})
	}
	assign(NewAllotment(AllotmentConfig{Service: "s", Version: MinStripes + 1, Stripes: stripes}))
}
