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

func newLeastTime(linkbudget *LinkBudget) *LeastTime {
	return NewLeastTime(LeastTimeConfig{Self: here, Slots: 6, Link: linkbudget, Random: rand.New(rand.NewPCG(1, 9))})
}

func observed(took time.Duration) lagoonlanding.Observation {
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

func TestNearestIsPreferredUntilSpilloverIsFaster(t *testing.T) {
	leasttime := newLeastTime(nil)
	if got := pick(t, leasttime, start, "", far, beside, here); got != "here" {
		t.Fatalf("picked %s without any load", got)
	}
	leasttime.Done(start, here.ID(), observed(5*time.Millisecond))
	picked := map[string]int{}
	for range 20 {
		picked[pick(t, leasttime, start, "", far, beside, here)]++
	}
	if picked["here"] < 6 || picked["beside"] == 0 {
		t.Errorf("20 concurrent requests went to %v", picked)
	}
	if got := pick(t, leasttime, start, lagoonlanding.ReasonNoUpstream); got != "" {
		t.Errorf("picked %q without candidates", got)
	}
}

func TestStragglerIsAvoidedAndRetried(t *testing.T) {
	leasttime := newLeastTime(nil)
	peer := instance("peer", "piraeus", "attica")
	now := start
	for range 50 {
		now = now.Add(time.Millisecond)
		took := 5 * time.Millisecond
		name, id := pick(t, leasttime, now, "", here, peer), here.ID()
		if name == "peer" {
			took, id = 100*time.Millisecond, peer.ID()
		}
		leasttime.Done(now, id, observed(took))
	}
	for range 50 {
		now = now.Add(time.Millisecond)
		if got := pick(t, leasttime, now, "", here, peer); got != "here" {
			t.Fatalf("the straggler was picked %v after the start", now.Sub(start))
		}
		leasttime.Done(now, here.ID(), observed(5*time.Millisecond))
	}
	// It is tried again some seconds later, while the other instance has requests in flight.
	now = now.Add(10 * time.Second)
	pick(t, leasttime, now, "", here, peer)
	if got := pick(t, leasttime, now, "", here, peer); got != "peer" {
		t.Errorf("the straggler is not tried again")
	}
}

func TestFailingInstanceIsAvoided(t *testing.T) {
	leasttime := newLeastTime(nil)
	leasttime.Done(start, here.ID(), lagoonlanding.NewObservation(time.Microsecond, 0, false))
	for range 10 {
		if got := pick(t, leasttime, start, "", here, beside); got != "beside" {
			t.Fatalf("an instance that refuses requests at once was picked")
		}
	}
}

func TestReportsDecayWithAge(t *testing.T) {
	leasttime := newLeastTime(nil)
	peer := instance("peer", "piraeus", "attica")
	leasttime.Report(start, here.ID(), lagoonlanding.NewUpstreamReport(true, 6, 6))
	if got := pick(t, leasttime, start, "", here, peer); got != "peer" {
		t.Errorf("picked %s immediately after the report", got)
	}
	for range 3 {
		pick(t, leasttime, start, "", peer)
	}
	if got := pick(t, leasttime, start.Add(10*time.Second), "", here, peer); got != "here" {
		t.Errorf("picked %s although the report is old and the other instance is busy", got)
	}
}

func TestLinkBudget(t *testing.T) {
	leasttime := newLeastTime(NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 1000, Burst: 2000}))
	pick(t, leasttime, start, "", far)
	leasttime.Done(start, far.ID(), observed(20*time.Millisecond))
	pick(t, leasttime, start, lagoonlanding.ReasonLinkBudget, far, farther)
	pick(t, leasttime, start, "", far, here)
	pick(t, leasttime, start.Add(time.Second), "", far)
}

func TestTwoChoicesAmongHundreds(t *testing.T) {
	leasttime := NewLeastTime(LeastTimeConfig{Self: here, Slots: 6, Choices: 2, Random: rand.New(rand.NewPCG(1, 10))})
	var candidates []lagoonlanding.Instance
	for i := range 300 {
		candidates = append(candidates, instance(fmt.Sprint("peer-", i), "piraeus", "attica"))
	}
	load := map[string]int{}
	for range 3000 {
		load[pick(t, leasttime, start, "", candidates...)]++
	}
	highest := 0
	for _, requests := range load {
		highest = max(highest, requests)
	}
	// With the better of two random choices, the highest load stays within a few requests of the mean of ten.
	if highest > 15 {
		t.Errorf("highest load %d", highest)
	}
}

func TestSharesAreOptimal(t *testing.T) {
	cost := func(serviceRates, shares []float64, rate float64) float64 {
		sum := 0.0
		for i, serviceRate := range serviceRates {
			sum += shares[i] / (serviceRate - rate*shares[i])
		}
		return sum
	}
	random := rand.New(rand.NewPCG(1, 11))
	for range 200 {
		serviceRates, total := make([]float64, 4), 0.0
		for i := range serviceRates {
			serviceRates[i] = 100 + 1900*random.Float64()
			total += serviceRates[i]
		}
		rate := total * (0.1 + 0.8*random.Float64())
		shares := optimalShares(serviceRates, rate)
		sum := shares[0] + shares[1] + shares[2] + shares[3]
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("the sum of the shares is %v", sum)
		}
		best := cost(serviceRates, shares, rate)
		for range 20 {
			// At the optimum, moving a small share from one server to another does not reduce the mean response time.
			from, to := random.IntN(4), random.IntN(4)
			moved := append([]float64(nil), shares...)
			step := min(0.01, moved[from])
			moved[from] -= step
			moved[to] += step
			if rate*moved[to] < serviceRates[to] && cost(serviceRates, moved, rate) < best*(1-1e-9) {
				t.Fatalf("service rates %v, request rate %.0f: another split is better", serviceRates, rate)
			}
		}
	}
}

func TestSplitPrefersFasterInstance(t *testing.T) {
	split := NewSplit(SplitConfig{Slots: 6})
	slow := instance("slow", "piraeus", "attica")
	now, picked := start, map[string]int{}
	for range 2000 {
		now = now.Add(time.Millisecond)
		name := pick(t, split, now, "", here, slow)
		picked[name]++
		if name == "slow" {
			split.Done(now, slow.ID(), observed(20*time.Millisecond))
			continue
		}
		split.Done(now, here.ID(), observed(5*time.Millisecond))
	}
	if picked["slow"] == 0 || picked["slow"]*2 > picked["here"] {
		t.Errorf("picked %v", picked)
	}
	robin := NewRoundRobin()
	if first, second := pick(t, robin, now, "", here, slow), pick(t, robin, now, "", here, slow); first == second {
		t.Errorf("round robin picked %s twice", first)
	}
}
