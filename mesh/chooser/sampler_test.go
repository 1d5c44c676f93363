package chooser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// excluding excludes the named daemons and regions.
type excluding struct{ daemons, regions map[string]bool }

func (excluding excluding) AllowsRegion(region string) bool { return !excluding.regions[region] }
func (excluding excluding) Allows(candidate lagoonlanding.Backend) bool {
	return !excluding.daemons[candidate.ID().Daemon()]
}

func newSampling() *Chooser {
	random := rand.New(rand.NewPCG(3, 4))
	return New(Config{
		AvailabilityZone: "near", Region: "home", ZoneCost: 20 * time.Millisecond, RegionCost: 400 * time.Millisecond, QueueHalfLife: 2 * time.Second,
		RunTimeHalfLife: 8 * time.Second, AvoidTerm: time.Second, Samples: true, IntN: random.IntN,
	})
}

// shares returns how often each daemon is picked.
func shares(chooser *Chooser, now time.Time, need lagoonlanding.Need, candidates []lagoonlanding.Backend) map[string]int {
	picked := map[string]int{}
	for range 1000 {
		if backend, ok := chooser.Pick(now, need, candidates, excluding{}); ok {
			picked[backend.ID().Daemon()]++
		}
	}
	return picked
}

// TestOtherRegionIsUsedOnlyWithoutRoomInTheOwnOne guards against traffic across regions while a server of the region has room, and against
// requests that wait beyond their objective while another region has room.
func TestOtherRegionIsUsedOnlyWithoutRoomInTheOwnOne(t *testing.T) {
	chooser := newSampling()
	all := candidates([2]string{"home", "near"}, [2]string{"home", "next"}, [2]string{"far", "other"})
	need := lagoonlanding.NewNeed(start.Add(500*time.Millisecond), 0, 0)
	report(chooser, start, "d0", 200*time.Millisecond, 24)
	if got := shares(chooser, start, need, all); got["d1"] != 1000 {
		t.Errorf("with room in the next zone: %v", got)
	}
	report(chooser, start, "d1", 200*time.Millisecond, 24)
	if got := shares(chooser, start, need, all); got["d2"] != 1000 {
		t.Errorf("with room only in the other region: %v", got)
	}
	if got := shares(chooser, start, lagoonlanding.NewNeed(start.Add(500*time.Millisecond), 4<<20, 0), all); got["d2"] != 0 {
		t.Errorf("a body that takes longer than the objective on the link crossed regions: %v", got)
	}
	if _, ok := chooser.Pick(start, need, all, excluding{regions: map[string]bool{"home": true, "far": true}}); ok {
		t.Error("a server of a region that is not allowed was chosen")
	}
}

// TestEveryCandidateIsFound guards against requests that are refused although a server is left that was not drawn.
func TestEveryCandidateIsFound(t *testing.T) {
	chooser := newSampling()
	var locations [][2]string
	tried := map[string]bool{}
	for number := range 40 {
		locations = append(locations, [2]string{"home", "near"})
		tried[fmt.Sprint("d", number)] = number != 17
	}
	all := candidates(locations...)
	for range 100 {
		if got, ok := chooser.Pick(start, lagoonlanding.Need{}, all, excluding{daemons: tried}); !ok || got.ID().Daemon() != "d17" {
			t.Fatalf("got %v, %v", got.ID(), ok)
		}
	}
}

// TestSlowedServerIsAvoidedWhileItsReportIsFresh guards against tasks for a machine that neighbours slow down, and against avoiding it for longer.
func TestSlowedServerIsAvoidedWhileItsReportIsFresh(t *testing.T) {
	chooser := newSampling()
	all := candidates([2]string{"home", "near"}, [2]string{"home", "near"})
	for number, slowdown := range []float64{3, 1} {
		daemon := fmt.Sprint("d", number)
		chooser.Sent(daemon)
		chooser.Done(start, daemon, lagoonlanding.NewResult(lagoonlanding.ResultConfig{Load: lagoonlanding.NewLoad(lagoonlanding.LoadConfig{
			Slots: 6, Running: 3, MeanRunTime: 200 * time.Millisecond, Open: true, Slowdown: slowdown,
		})}))
	}
	need := lagoonlanding.NewNeed(start.Add(time.Minute), 0, 0)
	if got := shares(chooser, start.Add(50*time.Millisecond), need, all); got["d0"] != 0 {
		t.Errorf("shortly after the report: %v", got)
	}
	chooser.Sent("d1")
	if got := shares(chooser, start.Add(2*time.Second), need, all); got["d0"] == 0 {
		t.Errorf("2 s after the report: %v", got)
	}
}

// TestNewServerGetsTheShareThatItAccepts guards against a new server that all daemons overload while it is cold.
func TestNewServerGetsTheShareThatItAccepts(t *testing.T) {
	chooser := newSampling()
	all := candidates([2]string{"home", "near"}, [2]string{"home", "near"}, [2]string{"home", "near"})
	// Six slots at 200 ms run 30 tasks a second; a cold server accepts 3.
	need := lagoonlanding.NewNeed(start.Add(time.Minute), 0, 3)
	chooser.Pick(start, need, all[:2:2], excluding{})
	for _, daemon := range []string{"d0", "d1"} {
		report(chooser, start, daemon, 200*time.Millisecond, 3)
	}
	cold := shares(chooser, start, need, all)
	if cold["d2"] == 0 || cold["d2"] > 150 {
		t.Errorf("while it is cold: %v", cold)
	}
	if warm := shares(chooser, start.Add(coldTerm), need, all); warm["d2"] < 300 {
		t.Errorf("once it is warm: %v", warm)
	}
}

// TestUnreachableServerIsAvoidedByDraws guards against tries that are lost at a server that has just failed.
func TestUnreachableServerIsAvoidedByDraws(t *testing.T) {
	chooser := newSampling()
	all := candidates([2]string{"home", "near"}, [2]string{"home", "next"})
	chooser.Sent("d0")
	chooser.Done(start, "d0", lagoonlanding.NotRun(lagoonlanding.ReasonUnreachable, start))
	if got := shares(chooser, start, lagoonlanding.Need{}, all); got["d0"] != 0 {
		t.Errorf("right after the failure: %v", got)
	}
	if got := shares(chooser, start.Add(1100*time.Millisecond), lagoonlanding.Need{}, all); got["d0"] != 1000 {
		t.Errorf("after the term: %v", got)
	}
}

// TestOldReportsDecayTowardsTheAverage guards against a server that is avoided for a queue that has long gone, and against one that counts as empty
// because nothing has been heard of it.
func TestOldReportsDecayTowardsTheAverage(t *testing.T) {
	chooser := newSampling()
	all := candidates([2]string{"home", "near"}, [2]string{"home", "near"}, [2]string{"home", "near"})
	need := lagoonlanding.NewNeed(start.Add(time.Hour), 0, 0)
	chooser.Pick(start, need, all, excluding{})
	report(chooser, start, "d0", 200*time.Millisecond, 12)
	for age := time.Duration(0); age <= 30*time.Second; age += time.Second {
		report(chooser, start.Add(age), "d1", 200*time.Millisecond, 4)
		report(chooser, start.Add(age), "d2", 200*time.Millisecond, 8)
	}
	if fresh := shares(chooser, start, need, all); fresh["d0"] != 0 {
		t.Errorf("with a fresh report of a queue: %v", fresh)
	}
	later := start.Add(30 * time.Second)
	if got := shares(chooser, later, need, all); got["d0"] != 0 || got["d1"] != 1000 {
		t.Errorf("a server of which nothing is known is preferred to one with room: %v", got)
	}
	if got := shares(chooser, later, need, all[:1:1]); got["d0"] != 1000 {
		t.Errorf("the only server is not chosen: %v", got)
	}
	if got := shares(chooser, later, need, []lagoonlanding.Backend{all[0], all[2]}); got["d0"] != 1000 {
		t.Errorf("a server is avoided for an old queue: %v", got)
	}
}

// BenchmarkPick shows that a choice costs the same time for any number of servers, and allocates nothing.
func BenchmarkPick(b *testing.B) {
	need := lagoonlanding.NewNeed(start.Add(time.Second), 0, 0)
	var filter lagoonlanding.CandidateFilter = excluding{}
	benchmarkChoice(b, true, func(chooser *Chooser, all []lagoonlanding.Backend) { chooser.Pick(start, need, all, filter) })
}

// BenchmarkChoose shows the time of the comparison of all candidates.
func BenchmarkChoose(b *testing.B) {
	benchmarkChoice(b, false, func(chooser *Chooser, all []lagoonlanding.Backend) { chooser.Choose(start, all) })
}

func benchmarkChoice(b *testing.B, samples bool, choose func(chooser *Chooser, all []lagoonlanding.Backend)) {
	for _, count := range []int{10, 100, 1000, 2900} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var locations [][2]string
			for number := range count {
				locations = append(locations, [2]string{fmt.Sprint("home", number%3), fmt.Sprint("zone", number%9)})
			}
			all := candidates(locations...)
			chooser := New(Config{
				AvailabilityZone: "zone0", Region: "home0", QueueHalfLife: time.Second, RunTimeHalfLife: time.Second, Samples: samples,
				Random: rand.New(rand.NewPCG(1, 2)),
			})
			for _, backend := range all {
				report(chooser, start, backend.ID().Daemon(), 200*time.Millisecond, 3)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				choose(chooser, all)
			}
		})
	}
}

// TestReturningServerIsKnownByItsNewReports guards against choices by what was known of a server before it left the fleet for a while.
func TestReturningServerIsKnownByItsNewReports(t *testing.T) {
	chooser := newSampling()
	all := candidates([2]string{"home", "near"}, [2]string{"home", "near"})
	need := lagoonlanding.NewNeed(start.Add(time.Hour), 0, 0)
	chooser.Pick(start, need, all, excluding{})
	report(chooser, start, "d0", 200*time.Millisecond, 0)
	chooser.Forget(func(daemon string) bool { return daemon != "d0" })
	report(chooser, start, "d0", 200*time.Millisecond, 12)
	report(chooser, start, "d1", 200*time.Millisecond, 2)
	if got := shares(chooser, start, need, slices.Clone(all)); got["d0"] != 0 {
		t.Errorf("a server that reported a queue after its return was chosen: %v", got)
	}
}

// TestChoicesRunConcurrently guards against races between choices, results, new snapshots and the removal of daemons; it needs the race detector.
func TestChoicesRunConcurrently(t *testing.T) {
	chooser := New(Config{
		AvailabilityZone: "near", Region: "home", QueueHalfLife: time.Second, RunTimeHalfLife: time.Second, AvoidTerm: time.Second, Samples: true,
	})
	snapshots := [][]lagoonlanding.Backend{
		candidates([2]string{"home", "near"}, [2]string{"home", "next"}, [2]string{"far", "other"}),
		candidates([2]string{"home", "near"}, [2]string{"home", "next"}),
	}
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for round := range 500 {
				now := start.Add(time.Duration(round) * time.Millisecond)
				backend, ok := chooser.Pick(now, lagoonlanding.NewNeed(now.Add(time.Second), 0, 5), snapshots[(round+worker)%2], excluding{})
				if !ok {
					t.Error("no candidate was chosen")
					return
				}
				report(chooser, now, backend.ID().Daemon(), 100*time.Millisecond, round%8)
				chooser.Utilization(now, "d1")
				if round%50 == 0 {
					chooser.Forget(func(daemon string) bool { return daemon != "d2" })
				}
			}
		})
	}
	group.Wait()
	for _, daemon := range []string{"d0", "d1"} {
		if got := chooser.sampler.track(daemon).inFlight.Load(); got != 0 {
			t.Errorf("%d tasks of %s are in flight at the end", got, daemon)
		}
	}
}

// BenchmarkPrepare shows what a new snapshot of 2,900 servers costs the first choice after it, with the same servers and with a changed one.
func BenchmarkPrepare(b *testing.B) {
	var locations [][2]string
	for number := range 2900 {
		locations = append(locations, [2]string{fmt.Sprint("home", number%3), fmt.Sprint("zone", number%9)})
	}
	first := candidates(locations...)
	locations[2899][1] = "zone9"
	for name, second := range map[string][]lagoonlanding.Backend{"same": slices.Clone(first), "changed": candidates(locations...)} {
		b.Run(name, func(b *testing.B) {
			snapshots := [][]lagoonlanding.Backend{first, second}
			chooser := New(Config{AvailabilityZone: "zone0", Region: "home0", QueueHalfLife: time.Second, RunTimeHalfLife: time.Second, Samples: true})
			for number := 0; b.Loop(); number++ {
				chooser.Pick(start, lagoonlanding.Need{}, snapshots[number%2], excluding{})
			}
		})
	}
}
