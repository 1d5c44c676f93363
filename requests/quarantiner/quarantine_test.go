package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/lagoonlanding"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func request(path string) lagoonlanding.Request {
	return lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		Key: lagoonlanding.NewKey("archive", "ezo", path), Method: "POST", Path: path, Body: []byte("script"),
	})
}

func newQuarantine(seed uint64) *Quarantine {
	return NewQuarantine(Config{Random: rand.New(rand.NewPCG(seed, 5))})
}

func expect(t *testing.T, quarantine *Quarantine, now time.Time, path string, want Treatment) {
	t.Helper()
	if got := quarantine.Check(now, request(path)); got != want {
		t.Fatalf("%s is treated as %d, want %d", path, got, want)
	}
}

// told returns what the instance tells others.
func told(quarantine *Quarantine) lagoonlanding.SuspectNotice {
	return lagoonlanding.NewSuspectNotice("archive", "doto", quarantine.Suspects(start, "archive"))
}

// crashAlone lets a request run alone into a crash.
func crashAlone(t *testing.T, quarantine *Quarantine, path string) {
	t.Helper()
	run, ok := quarantine.Start(start, request(path), Alone)
	if !ok {
		t.Fatalf("%s may not run alone", path)
	}
	quarantine.Finish(start, run, true)
}

func TestFingerprintIgnoresWhatCallersRenew(t *testing.T) {
	renewed := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		ID: "2", IdempotencyKey: "new", Key: lagoonlanding.NewKey("archive", "ezo", "/x"), Method: "POST", Path: "/x", Body: []byte("script"),
	})
	if FingerprintOf(renewed) != FingerprintOf(request("/x")) {
		t.Errorf("a new idempotency key changes the fingerprint")
	}
	if FingerprintOf(request("/x")) == FingerprintOf(request("/y")) {
		t.Errorf("another path has the same fingerprint")
	}
}

func TestSuspectsRunAloneAndStop(t *testing.T) {
	quarantine := newQuarantine(1)
	queued := request("/poison")
	var runs []*Run
	for _, path := range []string{"/poison", "/good"} {
		run, _ := quarantine.Start(start, request(path), Free)
		runs = append(runs, run)
	}
	for _, run := range runs {
		quarantine.Finish(start, run, true)
	}
	if _, ok := quarantine.Start(start, queued, Free); ok {
		t.Fatalf("a queued copy followed the crash unchecked")
	}
	expect(t, quarantine, start, "/poison", Alone)
	expect(t, quarantine, start, "/good", Alone)
	expect(t, quarantine, start, "/other", Free)
	run, _ := quarantine.Start(start, request("/good"), Alone)
	quarantine.Finish(start, run, false)
	expect(t, quarantine, start, "/good", Free)
	crashAlone(t, quarantine, "/poison")
	expect(t, quarantine, start, "/poison", Alone)
	crashAlone(t, quarantine, "/poison")
	expect(t, quarantine, start, "/poison", Stopped)
	expect(t, quarantine, start.Add(Term+1), "/poison", Free)
}

func TestFleetSharesSuspects(t *testing.T) {
	first, second, third := newQuarantine(1), newQuarantine(2), newQuarantine(3)
	crashAlone(t, first, "/poison")
	second.Merge(start, told(first))
	expect(t, second, start, "/poison", Alone)
	crashAlone(t, second, "/poison")
	third.Merge(start, told(second))
	third.Merge(start, told(first))
	crashAlone(t, third, "/poison")
	for _, quarantine := range []*Quarantine{first, second} {
		quarantine.Merge(start, told(third))
		expect(t, quarantine, start, "/poison", Stopped)
	}
	if diff := cmp.Diff(first.Suspects(start, "archive"), second.Suspects(start, "archive"), cmp.AllowUnexported(lagoonlanding.Suspect{}, lagoonlanding.Crash{})); diff != "" {
		t.Errorf("instances that have told each other differ: %s", diff)
	}
}

func TestToldSuspectsExpireWithTheirLastCrash(t *testing.T) {
	first, second := newQuarantine(1), newQuarantine(2)
	crashAlone(t, first, "/poison")
	second.Merge(start.Add(Term/2), told(first))
	expect(t, second, start.Add(Term), "/poison", Alone)
	expect(t, second, start.Add(Term+1), "/poison", Free)
}

// TestRandomFleetStopsPoison lets callers re-send a crashing request among harmless ones to instances that tell each other after each crash.
func TestRandomFleetStopsPoison(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 6))
		fleet := []*Quarantine{newQuarantine(10 * seed), newQuarantine(10*seed + 1), newQuarantine(10*seed + 2)}
		crashes, refused := 0, 0
		for range 300 {
			instance := fleet[random.IntN(len(fleet))]
			paths := []string{fmt.Sprint("/good-", random.IntN(20)), fmt.Sprint("/good-", 20+random.IntN(20)), "/poison"}[random.IntN(2):]
			crashed := runBatch(instance, paths, &refused)
			if !crashed {
				continue
			}
			crashes++
			for _, other := range fleet {
				other.Merge(start, told(instance))
			}
		}
		if crashes != MaxCrashes {
			t.Errorf("seed %d: the request crashed %d backend servers", seed, crashes)
		}
		for i := range 40 {
			if fleet[0].Check(start, request(fmt.Sprint("/good-", i))) == Stopped {
				t.Errorf("seed %d: a harmless request was stopped", seed)
			}
		}
	}
}

// runBatch runs the requests that may run beside each other at once, then the others one by one, until a crash.
func runBatch(quarantine *Quarantine, paths []string, refused *int) bool {
	var together []*Run
	poisoned := false
	for _, path := range paths {
		if quarantine.Check(start, request(path)) == Free {
			run, _ := quarantine.Start(start, request(path), Free)
			together = append(together, run)
			poisoned = poisoned || path == "/poison"
		}
	}
	for _, run := range together {
		quarantine.Finish(start, run, poisoned)
	}
	if poisoned {
		return true
	}
	for _, path := range paths {
		switch quarantine.Check(start, request(path)) {
		case Stopped:
			*refused++
		case Alone:
			run, _ := quarantine.Start(start, request(path), Alone)
			quarantine.Finish(start, run, path == "/poison")
			if path == "/poison" {
				return true
			}
		}
	}
	return false
}

func TestSuspectsAreBounded(t *testing.T) {
	quarantine := newQuarantine(1)
	crashAlone(t, quarantine, "/poison")
	crashAlone(t, quarantine, "/poison")
	for i := range MaxSuspects + 10 {
		crashAlone(t, quarantine, fmt.Sprint("/other-", i))
	}
	if got := len(quarantine.Suspects(start, "archive")); got > MaxSuspects {
		t.Errorf("%d suspects", got)
	}
	crashAlone(t, quarantine, "/poison")
	expect(t, quarantine, start, "/poison", Stopped)
}
