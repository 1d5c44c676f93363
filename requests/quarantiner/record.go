package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// record is a suspect within the aggregate; its sets only grow, so that merging in any order gives the same.
type record struct {
	service   string
	workspace string
	expires   time.Time
	crashes   map[lagoonlanding.Crash]bool
	cleared   map[lagoonlanding.Crash]bool
}

func (record *record) count() int {
	count := 0
	for crash := range record.crashes {
		if !record.cleared[crash] {
			count++
		}
	}
	return count
}

// merge adds what another instance knows, within the bound.
func (record *record) merge(suspect lagoonlanding.Suspect) {
	for _, crash := range suspect.Crashes() {
		if len(record.crashes) < maxCrashes {
			record.crashes[crash] = true
		}
	}
	for _, crash := range suspect.Cleared() {
		if record.crashes[crash] {
			record.cleared[crash] = true
		}
	}
}

// clear notes that the request ran alone without a crash; what crashed while it ran alone still counts.
func (record *record) clear() {
	for crash := range record.crashes {
		if !crash.IsSingleRequest() {
			record.cleared[crash] = true
		}
	}
}

func (record *record) suspect(fingerprint lagoonlanding.Fingerprint) lagoonlanding.Suspect {
	return lagoonlanding.NewSuspect(lagoonlanding.SuspectConfig{
		Fingerprint: fingerprint, Workspace: record.workspace, Expires: record.expires,
		Crashes: ordered(record.crashes), Cleared: ordered(record.cleared),
	})
}

func ordered(crashes map[lagoonlanding.Crash]bool) []lagoonlanding.Crash {
	return slices.SortedFunc(maps.Keys(crashes), func(a, b lagoonlanding.Crash) int { return cmp.Compare(a.ID(), b.ID()) })
}
