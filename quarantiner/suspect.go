package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Crash names one crash of a backend server in the whole fleet.
type Crash struct {
	id    uint64
	alone bool
}

// NewCrash returns the crash with its name; alone says that one request only was in flight.
func NewCrash(id uint64, alone bool) Crash { return Crash{id: id, alone: alone} }

// ID returns the name of the crash.
func (crash Crash) ID() uint64 { return crash.id }

// IsAlone reports whether one request only was in flight.
func (crash Crash) IsAlone() bool { return crash.alone }

// Suspect is what is known of a fingerprint that was in flight at crashes; it is all that instances tell each other of a request.
type Suspect struct {
	fingerprint Fingerprint
	workspace   string
	expires     time.Time
	crashes     []Crash
	cleared     []Crash
}

// SuspectConfig holds the parts of a Suspect.
type SuspectConfig struct {
	// Fingerprint is the fingerprint of the request.
	Fingerprint Fingerprint
	// Workspace names the workspace whose home regions the suspect must not leave.
	Workspace string
	// Expires is when the suspect is forgotten.
	Expires time.Time
	// Crashes are the crashes at which the request was in flight.
	Crashes []Crash
	// Cleared are those of the crashes that the request has not caused.
	Cleared []Crash
}

// NewSuspect returns the suspect that the configuration describes.
func NewSuspect(config SuspectConfig) Suspect {
	return Suspect{
		fingerprint: config.Fingerprint, workspace: config.Workspace, expires: config.Expires,
		crashes: config.Crashes, cleared: config.Cleared,
	}
}

// Fingerprint returns the fingerprint of the request.
func (suspect Suspect) Fingerprint() Fingerprint { return suspect.fingerprint }

// Workspace returns the name of the workspace whose home regions the suspect must not leave.
func (suspect Suspect) Workspace() string { return suspect.workspace }

// Expires returns when the suspect is forgotten.
func (suspect Suspect) Expires() time.Time { return suspect.expires }

// Crashes returns the crashes at which the request was in flight.
func (suspect Suspect) Crashes() []Crash { return suspect.crashes }

// Cleared returns those of the crashes that the request has not caused.
func (suspect Suspect) Cleared() []Crash { return suspect.cleared }

// record is a suspect within the aggregate; its sets only grow, so that merging in any order gives the same.
type record struct {
	workspace string
	expires   time.Time
	crashes   map[Crash]bool
	cleared   map[Crash]bool
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

// clear notes that the request ran alone without a crash; what crashed while it ran alone still counts.
func (record *record) clear() {
	for crash := range record.crashes {
		if !crash.alone {
			record.cleared[crash] = true
		}
	}
}

func (record *record) suspect(fingerprint Fingerprint) Suspect {
	return NewSuspect(SuspectConfig{
		Fingerprint: fingerprint, Workspace: record.workspace, Expires: record.expires,
		Crashes: ordered(record.crashes), Cleared: ordered(record.cleared),
	})
}

func ordered(crashes map[Crash]bool) []Crash {
	return slices.SortedFunc(maps.Keys(crashes), func(a, b Crash) int { return cmp.Compare(a.id, b.id) })
}
