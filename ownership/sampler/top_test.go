package sampler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestTopFindsHotNames checks that 110 hot names among many others are reported first and with rates close to the actual ones.
func TestTopFindsHotNames(t *testing.T) {
	for seed := range uint64(2) {
		random := rand.New(rand.NewPCG(seed, 0))
		top := NewTop[string](TopConfig{Capacity: 1024, HalfLife: 10 * time.Second, Now: start})
		now := start
		sent := map[string]int{}
		const perSecond = 5000
		for range 30 * perSecond {
			now = now.Add(time.Second / perSecond)
			name := fmt.Sprint("cold-", random.IntN(1_000_000))
			if random.IntN(2) == 0 {
				name = fmt.Sprint("hot-", random.IntN(110))
			}
			sent[name]++
			top.Add(now, name)
		}
		rates := top.Rates(now, 0)
		if len(rates) != 1024 {
			t.Fatalf("seed %d: %d names are counted", seed, len(rates))
		}
		for _, rate := range rates[:110] {
			if rate.Name()[:3] != "hot" {
				t.Errorf("seed %d: %s is not hot", seed, rate.Name())
			}
			if want := perSecond / 2 / 110.0; rate.PerSecond() < want*0.7 || rate.Guaranteed() > want*1.3 {
				t.Errorf("seed %d: %s has rate %.1f, guaranteed %.1f, sent %.1f", seed, rate.Name(), rate.PerSecond(), rate.Guaranteed(), want)
			}
		}
	}
}

func TestTopDecaysOldCounts(t *testing.T) {
	top := NewTop[int](TopConfig{Capacity: 4, HalfLife: time.Second, Now: start})
	for range 1000 {
		top.Add(start, 1)
	}
	later := start.Add(100 * time.Second)
	top.Add(later, 2)
	rates := top.Rates(later, 0.1)
	if len(rates) != 1 || rates[0].Name() != 2 || math.Abs(rates[0].PerSecond()-math.Ln2) > 1e-9 {
		t.Errorf("rates %v", rates)
	}
}

func TestTopReportsSteadyRate(t *testing.T) {
	top := NewTop[int](TopConfig{Capacity: 2, HalfLife: 2 * time.Second, Now: start})
	now := start
	for range 100 * 300 {
		now = now.Add(10 * time.Millisecond)
		top.Add(now, 1)
	}
	if got := top.Rates(now, 0)[0].PerSecond(); math.Abs(got-100) > 1 {
		t.Errorf("rate %.2f, want 100 requests per second", got)
	}
}

func BenchmarkTopAdd(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	top := NewTop[string](TopConfig{Capacity: 1024, HalfLife: 10 * time.Second, Now: start})
	names := make([]string, 1<<16)
	for i := range names {
		names[i] = fmt.Sprint("key-", random.IntN(1_000_000))
	}
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(150 * time.Microsecond)
		top.Add(now, names[i%len(names)])
	}
}
