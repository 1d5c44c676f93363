package picker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func instance(name, zone, region string) lagoonlanding.Instance {
	return lagoonlanding.NewInstance(lagoonlanding.InstanceConfig{
		ID: lagoonlanding.NewInstanceID(name, 1), AvailabilityZone: zone, Region: region,
	})
}

var (
	here    = instance("here", "piraeus", "attica")
	beside  = instance("beside", "marousi", "attica")
	far     = instance("far", "kalamaria", "macedonia")
	farther = instance("farther", "ladadika", "macedonia")
)

func newLeast(link *Link) *Least {
	return NewLeast(LeastConfig{Self: here, Slots: 6, Link: link, Random: rand.New(rand.NewPCG(1, 9))})
}

func seen(took time.Duration) lagoonlanding.Observation {
	return lagoonlanding.NewObservation(took, 1000, true)
}

func pick(t *testing.T, picker lagoonlanding.Picker, now time.Time, want lagoonlanding.Reason, candidates ...lagoonlanding.Instance) string {
	t.Helper()
	picked, reason := picker.Pick(now, candidates, 1000)
	if reason != want {
		t.Fatalf("got reason %q, want %q", reason, want)
	}
	return picked.ID().Name()
}

func TestNearestFirstAndSpillOnlyWhenItHelps(t *testing.T) {
	least := newLeast(nil)
	if got := pick(t, least, start, "", far, beside, here); got != "here" {
		t.Fatalf("picked %s without any load", got)
	}
	least.Done(start, here.ID(), seen(5*time.Millisecond))
	picked := map[string]int{}
	for range 20 {
		picked[pick(t, least, start, "", far, beside, here)]++
	}
	if picked["here"] < 6 || picked["beside"] == 0 {
		t.Errorf("20 requests at once went to %v", picked)
	}
	if got := pick(t, least, start, lagoonlanding.ReasonNoUpstream); got != "" {
		t.Errorf("picked %q of none", got)
	}
}

func TestStragglerIsLeftAndTriedAgain(t *testing.T) {
	least := newLeast(nil)
	peer := instance("peer", "piraeus", "attica")
	now := start
	for range 50 {
		now = now.Add(time.Millisecond)
		took := 5 * time.Millisecond
		name, id := pick(t, least, now, "", here, peer), here.ID()
		if name == "peer" {
			took, id = 100*time.Millisecond, peer.ID()
		}
		least.Done(now, id, seen(took))
	}
	for range 50 {
		now = now.Add(time.Millisecond)
		if got := pick(t, least, now, "", here, peer); got != "here" {
			t.Fatalf("the straggler was picked %v after it showed", now.Sub(start))
		}
		least.Done(now, here.ID(), seen(5*time.Millisecond))
	}
	// It is tried again some seconds later, while the other one has requests.
	now = now.Add(10 * time.Second)
	pick(t, least, now, "", here, peer)
	if got := pick(t, least, now, "", here, peer); got != "peer" {
		t.Errorf("the straggler is never tried again")
	}
}

func TestUnfitInstanceIsLeft(t *testing.T) {
	least := newLeast(nil)
	least.Done(start, here.ID(), lagoonlanding.NewObservation(time.Microsecond, 0, false))
	for range 10 {
		if got := pick(t, least, start, "", here, beside); got != "beside" {
			t.Fatalf("an instance that refuses at once was picked")
		}
	}
}

func TestReportsCountLessWithAge(t *testing.T) {
	least := newLeast(nil)
	peer := instance("peer", "piraeus", "attica")
	least.Report(start, here.ID(), lagoonlanding.NewUpstreamReport(true, 6, 6))
	if got := pick(t, least, start, "", here, peer); got != "peer" {
		t.Errorf("picked %s at once after the report", got)
	}
	for range 3 {
		pick(t, least, start, "", peer)
	}
	if got := pick(t, least, start.Add(10*time.Second), "", here, peer); got != "here" {
		t.Errorf("picked %s though the report is old and the other is busy", got)
	}
}

func TestLinkBudget(t *testing.T) {
	least := newLeast(NewLink(LinkConfig{BytesPerSecond: 1000, Burst: 2000}))
	pick(t, least, start, "", far)
	least.Done(start, far.ID(), seen(20*time.Millisecond))
	pick(t, least, start, lagoonlanding.ReasonLinkBudget, far, farther)
	pick(t, least, start, "", far, here)
	pick(t, least, start.Add(time.Second), "", far)
}

func TestChoicesAmongHundreds(t *testing.T) {
	least := NewLeast(LeastConfig{Self: here, Slots: 6, Choices: 2, Random: rand.New(rand.NewPCG(1, 10))})
	var candidates []lagoonlanding.Instance
	for i := range 300 {
		candidates = append(candidates, instance(fmt.Sprint("peer-", i), "piraeus", "attica"))
	}
	load := map[string]int{}
	for range 3000 {
		load[pick(t, least, start, "", candidates...)]++
	}
	highest := 0
	for _, requests := range load {
		highest = max(highest, requests)
	}
	// The better of two random choices keeps the highest load within a few requests of the mean of ten.
	if highest > 15 {
		t.Errorf("highest load %d", highest)
	}
}

func TestSharesAreOptimal(t *testing.T) {
	cost := func(speeds, parts []float64, rate float64) float64 {
		sum := 0.0
		for i, speed := range speeds {
			sum += parts[i] / (speed - rate*parts[i])
		}
		return sum
	}
	random := rand.New(rand.NewPCG(1, 11))
	for range 200 {
		speeds, total := make([]float64, 4), 0.0
		for i := range speeds {
			speeds[i] = 100 + 1900*random.Float64()
			total += speeds[i]
		}
		rate := total * (0.1 + 0.8*random.Float64())
		parts := shares(speeds, rate)
		sum := parts[0] + parts[1] + parts[2] + parts[3]
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("the shares add up to %v", sum)
		}
		best := cost(speeds, parts, rate)
		for range 20 {
			// Moving a little from one server to another never helps at the optimum.
			from, to := random.IntN(4), random.IntN(4)
			moved := append([]float64(nil), parts...)
			step := min(0.01, moved[from])
			moved[from] -= step
			moved[to] += step
			if rate*moved[to] < speeds[to] && cost(speeds, moved, rate) < best*(1-1e-9) {
				t.Fatalf("speeds %v, rate %.0f: another split is better", speeds, rate)
			}
		}
	}
}

func TestSplitFollowsItsShares(t *testing.T) {
	split := NewSplit(SplitConfig{Slots: 6})
	slow := instance("slow", "piraeus", "attica")
	now, picked := start, map[string]int{}
	for range 2000 {
		now = now.Add(time.Millisecond)
		name := pick(t, split, now, "", here, slow)
		picked[name]++
		if name == "slow" {
			split.Done(now, slow.ID(), seen(20*time.Millisecond))
			continue
		}
		split.Done(now, here.ID(), seen(5*time.Millisecond))
	}
	if picked["slow"] == 0 || picked["slow"]*2 > picked["here"] {
		t.Errorf("picked %v", picked)
	}
	robin := NewRoundRobin()
	if first, second := pick(t, robin, now, "", here, slow), pick(t, robin, now, "", here, slow); first == second {
		t.Errorf("round robin picked %s twice", first)
	}
}
