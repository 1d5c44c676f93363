package simulator

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lagoonlanding.example/soak/generator"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// scenario is a builder for the events of a golden file.
type scenario struct{ events []generator.Event }

// addTraffic adds a request every 50 ms, each to another daemon.
func (scenario *scenario) addTraffic(duration time.Duration) {
	const interval = 50 * time.Millisecond
	for at := time.Duration(0); at < duration; at += interval {
		number := len(scenario.events)
		scenario.add(generator.EventConfig{Kind: generator.KindRequest, Delay: interval, Subject: number * 7, Object: number * 3, Parameter: number*5 + 1})
	}
}

func (scenario *scenario) add(config generator.EventConfig) {
	scenario.events = append(scenario.events, generator.NewEvent(config))
}

func TestTracesMatchGoldenFiles(t *testing.T) {
	var loss, zone, outage scenario
	loss.addTraffic(time.Second)
	loss.add(generator.EventConfig{Kind: generator.KindKill, Subject: 0})
	loss.addTraffic(4 * time.Second)
	loss.add(generator.EventConfig{Kind: generator.KindRestart, Subject: 0})
	loss.addTraffic(2 * time.Second)

	zone.addTraffic(time.Second)
	zone.add(generator.EventConfig{Kind: generator.KindZoneOut, Subject: 1})
	zone.addTraffic(4 * time.Second)
	zone.add(generator.EventConfig{Kind: generator.KindZoneReturn, Subject: 1})
	zone.addTraffic(3 * time.Second)

	outage.addTraffic(time.Second)
	outage.add(generator.EventConfig{Kind: generator.KindStoreDown, Duration: 6 * time.Second})
	outage.addTraffic(time.Second)
	outage.add(generator.EventConfig{Kind: generator.KindKill, Subject: 0})
	outage.addTraffic(8 * time.Second)

	for name, scenario := range map[string]scenario{"loss": loss, "zone-out-and-return": zone, "store-outage": outage} {
		t.Run(name, func(t *testing.T) { compareGolden(t, name, scenario.events) })
	}
}

func compareGolden(t *testing.T, name string, events []generator.Event) {
	t.Helper()
	var lines []string
	report := New(Config{Seed: 1, Trace: func(line string) { lines = append(lines, line) }}).Run(events)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	got := strings.Join(lines, "\n") + "\n"
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("trace differs from %s; run with -update if this is intended:\n%s", path, diff)
	}
}
