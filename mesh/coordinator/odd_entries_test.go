package coordinator

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/chooser"
	"lagoonlanding.example/lagoonlanding/requests/quarantiner"
)

// TestOddEntriesOfAnotherWriterNameNoBackendServer covers entries that made processes end or stop following the list in similar systems.
func TestOddEntriesOfAnotherWriterNameNoBackendServer(t *testing.T) {
	const good = `{"daemon":"good","peer-address":"10.0.0.1:7000","availability-zone":"z","service":"s","backend-server":"b","born":5,"slots":6,"state":"ready"}`
	with := func(old, replacement string) string { return strings.Replace(good, old, replacement, 1) }
	for name, value := range map[string]string{
		"deeply nested":               strings.Repeat(`{"a":`, 200_000) + "1" + strings.Repeat("}", 200_000),
		"deeply nested field":         with(`"z"`, strings.Repeat("[", 200_000)+strings.Repeat("]", 200_000)),
		"slots that overflow":         with(`"slots":6`, `"slots":4611686018427387904`),
		"slots beyond an integer":     with(`"slots":6`, `"slots":1e300`),
		"negative slots":              with(`"slots":6`, `"slots":-6`),
		"port out of range":           with(":7000", ":70000"),
		"port zero":                   with(":7000", ":0"),
		"negative port":               with(":7000", ":-1"),
		"port that is no number":      with(":7000", ":http"),
		"no port":                     with(":7000", ""),
		"fields of other types":       with(`"slots":6`, `"slots":"six"`),
		"daemon of another entry":     with(`"daemon":"good"`, `"daemon":"other"`),
		"bytes that are not readable": "\x00\xff\xfe",
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			coordinator := newCoordinator(now, &recordingGate{}, false)
			coordinator.config.Quarantine = quarantiner.NewQuarantine(quarantiner.Config{Random: rand.New(rand.NewPCG(1, 1))})
			apply := func(key, value string, revision uint64) {
				coordinator.Apply(now, lagoonlanding.NewChangeList([]lagoonlanding.Change{
					lagoonlanding.NewChange(lagoonlanding.NewEntry(FleetPrefix+key, []byte(value), revision), false),
				}, revision))
			}
			odd := strings.Replace(value, `"daemon":"good"`, `"daemon":"odd"`, 1)
			apply("daemons/odd", odd, 10)
			apply("allotments/odd", odd, 11)
			apply("suspects/odd", odd, 12)
			apply("daemons/good", good, 13)
			candidates := coordinator.Snapshot().Candidates("s")
			if len(candidates) != 1 || candidates[0].ID().Daemon() != "good" {
				t.Fatalf("%d candidates: %v", len(candidates), candidates)
			}
			// The daemon goes on choosing, also while the good one is busy.
			chooser := chooser.New(chooser.Config{Random: rand.New(rand.NewPCG(1, 2))})
			for range 10 {
				if chooser.Choose(now, candidates) != 0 {
					t.Fatal("the good backend server is not chosen")
				}
				chooser.Sent("good")
			}
		})
	}
}
