package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// suspectRecord is the state of one suspect; its sets only grow, so that the result does not depend on the order of merges.
type suspectRecord struct {
	service   string
	workspace string
	expires   time.Time
	crashes   map[lagoonlanding.Crash]bool
	cleared   map[lagoonlanding.Crash]bool
}

// unclearedCrashes returns the number of crashes of which the suspect has not been cleared.
func (suspectrecord *suspectRecord) unclearedCrashes() int {
	count := 0
	for crash := range suspectrecord.crashes {
		if !suspectrecord.cleared[crash] {
			count++
		}
	}
	return count
}

// merge adds the crashes that another instance recorded, up to maxRecordedCrashes.
func (suspectrecord *suspectRecord) merge(suspect lagoonlanding.Suspect) {
	for _, crash := range suspect.Crashes() {
		if len(suspectrecord.crashes) < maxRecordedCrashes {
			suspectrecord.crashes[crash] = true
		}
	}
	for _, crash := range suspect.Cleared() {
		if suspectrecord.crashes[crash] {
			suspectrecord.cleared[crash] = true
		}
	}
}

// clear records that the request ran exclusively without a crash, which clears it of all crashes with other requests in flight.
func (suspectrecord *suspectRecord) clear() {
	for crash := range suspectrecord.crashes {
		if !crash.IsSingleRequest() {
			suspectrecord.cleared[crash] = true
		}
	}
}

func (suspectrecord *suspectRecord) suspect(fingerprint lagoonlanding.Fingerprint) lagoonlanding.Suspect {
	return lagoonlanding.NewSuspect(lagoonlanding.SuspectConfig{
		Fingerprint: fingerprint, Workspace: suspectrecord.workspace, Expires: suspectrecord.expires,
		Crashes: sortedByID(suspectrecord.crashes), Cleared: sortedByID(suspectrecord.cleared),
	})
}

func sortedByID(crashes map[lagoonlanding.Crash]bool) []lagoonlanding.Crash {
	return slices.SortedFunc(maps.Keys(crashes), func(a, b lagoonlanding.Crash) int { return cmp.Compare(a.ID(), b.ID()) })
}
