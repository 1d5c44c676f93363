package allocator

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

func life(number int, born int64) lagoonlanding.BackendID {
	return lagoonlanding.NewBackendID(fmt.Sprintf("daemon-%d", number), fmt.Sprintf("server-%d", number), born)
}

func backends(ids ...lagoonlanding.BackendID) []lagoonlanding.Backend {
	var made []lagoonlanding.Backend
	for _, id := range ids {
		made = append(made, lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: id, State: lagoonlanding.BackendReady}))
	}
	return made
}

func nobodyGone(lagoonlanding.BackendID) bool { return false }

func counts(allotment *Allotment) map[lagoonlanding.BackendID]int {
	owned := map[lagoonlanding.BackendID]int{}
	for _, stripe := range allotment.Stripes() {
		owned[stripe.Owner()]++
	}
	return owned
}

func TestFirstPlanSharesAllKeysAndPartsNeighbours(t *testing.T) {
	a, b, c := life(1, 1), life(2, 1), life(3, 1)
	allotment, changed := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: backends(a, b, c), IsGone: nobodyGone})
	if !changed {
		t.Fatal("nothing was planned")
	}
	for id, count := range counts(allotment) {
		if count < LeastStripes/3 || count > LeastStripes/3+1 {
			t.Errorf("%s has %d stripes", id, count)
		}
	}
	for number, stripe := range allotment.Stripes() {
		if !stripe.IsSettled() {
			t.Errorf("stripe %d waits for somebody", number)
		}
		if number > 0 && allotment.Stripes()[number-1].Owner() == stripe.Owner() {
			t.Errorf("stripes %d and %d have one owner", number-1, number)
		}
	}
	if _, changed := allotment.Plan(PlanConfig{Backends: backends(a, b, c), IsGone: nobodyGone}); changed {
		t.Error("a plan that holds was changed")
	}
}

func TestMoveWaitsForThePriorHolder(t *testing.T) {
	a, b := life(1, 1), life(2, 1)
	first, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: backends(a), IsGone: nobodyGone})
	moved, changed := first.Plan(PlanConfig{Backends: backends(b), IsGone: nobodyGone})
	if !changed {
		t.Fatal("nothing moved")
	}
	if ranges := moved.Held(b, func(int, int) bool { return false }); len(ranges) != 0 {
		t.Fatalf("the new owner was told to hold %v before the prior one let go", ranges)
	}
	released, ok := moved.Release(a, func(first, _ int) (string, bool) { return "proof", first == 0 })
	if !ok {
		t.Fatal("nothing was released")
	}
	ranges := released.Held(b, func(int, int) bool { return false })
	if len(ranges) != 1 || ranges[0].First() != 0 || ranges[0].Handover() != "proof" || ranges[0].Token() <= first.Stripes()[0].Token() {
		t.Errorf("got %+v", ranges)
	}
	if again := released.Held(b, func(int, int) bool { return true }); again[0].Handover() != "" {
		t.Error("the handover is told to one who already holds the keys")
	}
}

func TestNewcomerGetsItsPart(t *testing.T) {
	a, b, c := life(1, 1), life(2, 1), life(3, 1)
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: backends(a, b), IsGone: nobodyGone})
	allotment, _ = allotment.Plan(PlanConfig{Backends: backends(a, b, c), IsGone: nobodyGone})
	if count := counts(allotment)[c]; count < LeastStripes/3-1 || count > LeastStripes/3+1 {
		t.Errorf("the newcomer owns %d stripes", count)
	}
}

func TestNewLifeKeepsTheKeysOfItsDaemon(t *testing.T) {
	old, fresh, other := life(1, 1), life(1, 2), life(2, 1)
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: backends(old, other), IsGone: nobodyGone})
	next, changed := allotment.Inherit(fresh)
	if !changed || counts(next)[fresh] != LeastStripes/2 || counts(next)[other] != LeastStripes/2 {
		t.Fatalf("got %v, %v", changed, counts(next))
	}
	for number, stripe := range next.Stripes() {
		if stripe.Owner() == fresh && (!stripe.IsSettled() || stripe.Token() <= allotment.Stripes()[number].Token()) {
			t.Errorf("stripe %d has token %d", number, stripe.Token())
		}
	}
	if _, changed := next.Inherit(fresh); changed {
		t.Error("it inherits twice")
	}
}

func TestRangesFitIntoAMessage(t *testing.T) {
	a := life(1, 1)
	var stripes []Stripe
	for number := range LeastStripes {
		stripes = append(stripes, NewStripe(StripeConfig{Owner: a, Token: uint64(number + 1)}))
	}
	allotment := NewAllotment(AllotmentConfig{Service: "s", Version: LeastStripes, Stripes: stripes})
	ranges := allotment.Held(a, func(int, int) bool { return false })
	if len(ranges) > maxRanges {
		t.Fatalf("%d ranges", len(ranges))
	}
	if ranges[0].First() != 0 || ranges[0].Last() != Keys-1 || ranges[0].Token() != LeastStripes {
		t.Errorf("got %+v", ranges[0])
	}
}

func TestCodecKeepsAnAllotment(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var stripes []Stripe
	for range LeastStripes {
		stripes = append(stripes, NewStripe(StripeConfig{
			Owner: life(random.IntN(4), 5), Prior: life(random.IntN(3), 7), Token: uint64(random.IntN(40)), Handover: fmt.Sprint(random.IntN(3)),
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
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: backends(life(1, 1)), IsGone: nobodyGone})
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

// holdersOf returns so many backend servers.
func holdersOf(count int) []lagoonlanding.Backend {
	var ids []lagoonlanding.BackendID
	for number := range count {
		ids = append(ids, life(number, 1))
	}
	return backends(ids...)
}

func TestNeighbouringKeysAreSpreadOverALargeFleet(t *testing.T) {
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: holdersOf(41), IsGone: nobodyGone})
	owners := map[lagoonlanding.BackendID]bool{}
	for key := 46592; key < 46592+256; key++ {
		owners[allotment.StripeOf(key).Owner()] = true
	}
	if len(owners) < 8 {
		t.Errorf("256 neighbouring keys have %d owners", len(owners))
	}
}

func TestFinerStripesMoveNoKeys(t *testing.T) {
	few, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: holdersOf(4), IsGone: nobodyGone})
	fine := few.next()
	if !fine.refine(41) {
		t.Fatal("nothing was refined")
	}
	for key := range Keys {
		if few.StripeOf(key) != fine.StripeOf(key) {
			t.Fatalf("key %d changed", key)
		}
	}
}

func TestRangesFitIntoAMessageWhenFewHoldersAreLeft(t *testing.T) {
	isGone := func(id lagoonlanding.BackendID) bool { return true }
	for _, left := range []int{1, 2, 4, 10, 20, 30} {
		allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: holdersOf(41), IsGone: nobodyGone})
		allotment, _ = allotment.Plan(PlanConfig{Backends: holdersOf(left), IsGone: isGone})
		held := 0
		for _, backend := range holdersOf(left) {
			ranges := allotment.Held(backend.ID(), func(int, int) bool { return false })
			for _, held1 := range ranges {
				held += held1.Last() - held1.First() + 1
			}
			if len(ranges) > maxJoined {
				t.Errorf("%d left: %d ranges", left, len(ranges))
			}
		}
		if held != Keys {
			t.Errorf("%d left: %d keys are held", left, held)
		}
	}
}

func TestLargeAllotmentIsShortInTheStore(t *testing.T) {
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: holdersOf(64), IsGone: nobodyGone})
	encoded, err := Codec{}.Encode(allotment)
	if err != nil {
		t.Fatal(err)
	}
	// The aim for control is 6 KB a second for each daemon, and each daemon gets every version.
	if len(encoded) > 6000 {
		t.Errorf("%d bytes for %d stripes", len(encoded), len(allotment.Stripes()))
	}
}

func BenchmarkDecodeLarge(b *testing.B) {
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: holdersOf(41), IsGone: nobodyGone})
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

func BenchmarkPlanThatHolds(b *testing.B) {
	holders := holdersOf(41)
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: holders, IsGone: nobodyGone})
	for b.Loop() {
		allotment.Plan(PlanConfig{Backends: holders, IsGone: nobodyGone})
	}
}

func BenchmarkHeld(b *testing.B) {
	holders := holdersOf(41)
	allotment, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: holders, IsGone: nobodyGone})
	for b.Loop() {
		allotment.Held(holders[0].ID(), func(int, int) bool { return false })
	}
}

func TestNewcomerToALargeFleetTakesFromFew(t *testing.T) {
	holders := holdersOf(42)
	before, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: holders[:41], IsGone: nobodyGone})
	after, changed := before.Plan(PlanConfig{Backends: holders, IsGone: nobodyGone})
	givers := map[lagoonlanding.BackendID]bool{}
	moved := 0
	for number, stripe := range after.Stripes() {
		if stripe.Owner() != before.Stripes()[number].Owner() {
			givers[stripe.Prior()] = true
			moved++
		}
	}
	if part := len(after.Stripes()) / 42; !changed || moved < part || moved > part+1 || len(givers) > 14 {
		t.Errorf("%d stripes moved from %d holders", moved, len(givers))
	}
}

func TestFleetThatStartsAgainInheritsByOneWrite(t *testing.T) {
	before, _ := NewAllotment(AllotmentConfig{Service: "s"}).Plan(PlanConfig{Backends: holdersOf(6), IsGone: nobodyGone})
	// Of the third daemon an older life is known than the one that holds the keys, and nothing of the fourth.
	known := []lagoonlanding.BackendID{life(1, 9), life(2, 0)}
	after, changed := before.Inherit(life(0, 9), known...)
	if !changed {
		t.Fatal("nothing changed")
	}
	want := map[lagoonlanding.BackendID]lagoonlanding.BackendID{life(0, 1): life(0, 9), life(1, 1): life(1, 9)}
	for number, stripe := range after.Stripes() {
		old := before.Stripes()[number]
		heir, isInherited := want[old.Owner()]
		if !isInherited {
			heir = old.Owner()
		}
		if stripe.Owner() != heir || isInherited != (stripe.Token() > old.Token()) {
			t.Fatalf("stripe %d of %v went to %v with token %d", number, old.Owner(), stripe.Owner(), stripe.Token())
		}
	}
}
