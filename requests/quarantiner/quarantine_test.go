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
		t.Fatalf("%s: got treatment %d, want %d", path, got, want)
	}
}

// noticeOf returns the suspects that the instance shares with others.
func noticeOf(quarantine *Quarantine) lagoonlanding.SuspectNotice {
	return lagoonlanding.NewSuspectNotice("archive", "doto", quarantine.Suspects(start, "archive"))
}

// crashExclusively runs a request exclusively and lets it crash.
func crashExclusively(t *testing.T, quarantine *Quarantine, path string) {
	t.Helper()
	run, ok := quarantine.Start(start, request(path), Exclusive)
	if !ok {
		t.Fatalf("%s may not run exclusively", path)
	}
	quarantine.Finish(start, run, true)
}

func TestFingerprintIgnoresIDAndIdempotencyKey(t *testing.T) {
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

func TestSuspectsRunExclusivelyUntilRefused(t *testing.T) {
	quarantine := newQuarantine(1)
	queued := request("/poison")
	var runs []*Run
	for _, path := range []string{"/poison", "/good"} {
		run, _ := quarantine.Start(start, request(path), Unrestricted)
		runs = append(runs, run)
	}
	for _, run := range runs {
		quarantine.Finish(start, run, true)
	}
	if _, ok := quarantine.Start(start, queued, Unrestricted); ok {
		t.Fatalf("a queued copy was sent unchecked after the crash")
	}
	expect(t, quarantine, start, "/poison", Exclusive)
	expect(t, quarantine, start, "/good", Exclusive)
	expect(t, quarantine, start, "/other", Unrestricted)
	run, _ := quarantine.Start(start, request("/good"), Exclusive)
	quarantine.Finish(start, run, false)
	expect(t, quarantine, start, "/good", Unrestricted)
	crashExclusively(t, quarantine, "/poison")
	expect(t, quarantine, start, "/poison", Exclusive)
	crashExclusively(t, quarantine, "/poison")
	expect(t, quarantine, start, "/poison", Refused)
	expect(t, quarantine, start.Add(SuspectTTL+1), "/poison", Unrestricted)
}

func TestFleetSharesSuspects(t *testing.T) {
	first, second, third := newQuarantine(1), newQuarantine(2), newQuarantine(3)
	crashExclusively(t, first, "/poison")
	second.Merge(start, noticeOf(first))
	expect(t, second, start, "/poison", Exclusive)
	crashExclusively(t, second, "/poison")
	third.Merge(start, noticeOf(second))
	third.Merge(start, noticeOf(first))
	crashExclusively(t, third, "/poison")
	for _, quarantine := range []*Quarantine{first, second} {
		quarantine.Merge(start, noticeOf(third))
		expect(t, quarantine, start, "/poison", Refused)
	}
	if diff := cmp.Diff(first.Suspects(start, "archive"), second.Suspects(start, "archive"), cmp.AllowUnexported(lagoonlanding.Suspect{}, lagoonlanding.Crash{})); diff != "" {
		t.Errorf("instances that have shared their suspects differ: %s", diff)
	}
}

func TestSharedSuspectsExpireAfterLastCrash(t *testing.T) {
	first, second := newQuarantine(1), newQuarantine(2)
	crashExclusively(t, first, "/poison")
	second.Merge(start.Add(SuspectTTL/2), noticeOf(first))
	expect(t, second, start.Add(SuspectTTL), "/poison", Exclusive)
	expect(t, second, start.Add(SuspectTTL+1), "/poison", Unrestricted)
}

// TestRandomFleetRefusesCrashingRequest re-sends a crashing request among harmless ones to instances that share their suspects
// after each crash.
func TestRandomFleetRefusesCrashingRequest(t *testing.T) {
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
				other.Merge(start, noticeOf(instance))
			}
		}
		if crashes != MaxCrashes {
			t.Errorf("seed %d: the request crashed %d backend servers", seed, crashes)
		}
		for i := range 40 {
			if fleet[0].Check(start, request(fmt.Sprint("/good-", i))) == Refused {
				t.Errorf("seed %d: a harmless request was refused", seed)
			}
		}
	}
}

// runBatch runs the unrestricted requests concurrently and then the others one by one, until a crash.
func runBatch(quarantine *Quarantine, paths []string, refused *int) bool {
	var concurrent []*Run
	crashed := false
	for _, path := range paths {
		if quarantine.Check(start, request(path)) == Unrestricted {
			run, _ := quarantine.Start(start, request(path), Unrestricted)
			concurrent = append(concurrent, run)
			crashed = crashed || path == "/poison"
		}
	}
	for _, run := range concurrent {
		quarantine.Finish(start, run, crashed)
	}
	if crashed {
		return true
	}
	for _, path := range paths {
		switch quarantine.Check(start, request(path)) {
		case Refused:
			*refused++
		case Exclusive:
			run, _ := quarantine.Start(start, request(path), Exclusive)
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
	crashExclusively(t, quarantine, "/poison")
	crashExclusively(t, quarantine, "/poison")
	for i := range MaxSuspects + 10 {
		crashExclusively(t, quarantine, fmt.Sprint("/other-", i))
	}
	if got := len(quarantine.Suspects(start, "archive")); got > MaxSuspects {
		t.Errorf("%d suspects", got)
	}
	crashExclusively(t, quarantine, "/poison")
	expect(t, quarantine, start, "/poison", Refused)
}
