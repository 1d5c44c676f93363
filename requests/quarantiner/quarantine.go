package quarantiner

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Limits of the quarantine.
const (
	// MaxCrashes is the number of crashes after which a request is refused everywhere: after the first, every request in flight is
	// a suspect; the second happens while the suspect runs exclusively, which singles it out; the third rules out a coincidence.
	MaxCrashes = 3
	// SuspectTTL is how long a suspect is kept after its last crash.
	SuspectTTL = 10 * time.Minute
	// MaxSuspects bounds the number of suspects.
	MaxSuspects = 512
	// maxRecordedCrashes bounds the crashes that are recorded per suspect.
	maxRecordedCrashes = 4 * MaxCrashes
)

// Treatment is how the quarantine lets a request run.
type Treatment uint8

// The treatments of requests.
const (
	// Unrestricted means that the request may run concurrently with others.
	Unrestricted Treatment = iota + 1
	// Exclusive means that the request must run while no other is running.
	Exclusive
	// Refused means that the request must not run.
	Refused
)

// Config holds the dependencies of a Quarantine.
type Config struct {
	// Random generates the crash IDs, which must be unique across the fleet.
	Random *rand.Rand
}

// Quarantine tracks the requests in flight at the backend server and the suspects of the fleet; it is safe for concurrent use.
type Quarantine struct {
	config Config

	mutex      sync.Mutex
	suspects   map[lagoonlanding.Fingerprint]*suspectRecord
	running    map[*Run]bool
	crashCount uint64
}

// Run is a request in flight.
type Run struct {
	request        lagoonlanding.Request
	exclusive      bool
	crashesAtStart uint64
}

// NewQuarantine returns a quarantine without suspects.
func NewQuarantine(config Config) *Quarantine {
	return &Quarantine{config: config, suspects: map[lagoonlanding.Fingerprint]*suspectRecord{}, running: map[*Run]bool{}}
}

// Check returns the treatment of the request.
func (quarantine *Quarantine) Check(now time.Time, request lagoonlanding.Request) Treatment {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	return quarantine.check(now, request)
}

// Start records that the request is sent to the backend server; it returns false if the request may no longer run with the treatment,
// so that copies of a request that were queued before a crash are not sent unchecked after it.
func (quarantine *Quarantine) Start(now time.Time, request lagoonlanding.Request, treatment Treatment) (*Run, bool) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	current := quarantine.check(now, request)
	if current == Refused || current == Exclusive && treatment != Exclusive {
		return nil, false
	}
	run := &Run{request: request, exclusive: treatment == Exclusive, crashesAtStart: quarantine.crashCount}
	quarantine.running[run] = true
	return run, true
}

// Finish records that the request has ended and whether the backend server crashed; it reports whether this is a new crash.
func (quarantine *Quarantine) Finish(now time.Time, run *Run, crashed bool) bool {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	// A crash ends all requests in flight, so only the first of them to finish counts it.
	isFirst := crashed && run.crashesAtStart == quarantine.crashCount
	if isFirst {
		quarantine.recordCrash(now)
	}
	delete(quarantine.running, run)
	if !run.exclusive || crashed {
		return isFirst
	}
	if suspectrecord, ok := quarantine.suspects[FingerprintOf(run.request)]; ok {
		suspectrecord.clear()
	}
	return isFirst
}

// Suspects returns the suspects of the service to share with other instances, ordered by fingerprint.
func (quarantine *Quarantine) Suspects(now time.Time, service string) []lagoonlanding.Suspect {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	quarantine.expire(now)
	suspects := make([]lagoonlanding.Suspect, 0, len(quarantine.suspects))
	for fingerprint, suspectrecord := range quarantine.suspects {
		if suspectrecord.service == service {
			suspects = append(suspects, suspectrecord.suspect(fingerprint))
		}
	}
	slices.SortFunc(suspects, func(a, b lagoonlanding.Suspect) int {
		x, y := a.Fingerprint(), b.Fingerprint()
		return bytes.Compare(x[:], y[:])
	})
	return suspects
}

// Merge adds the suspects of another instance.
func (quarantine *Quarantine) Merge(now time.Time, notice lagoonlanding.SuspectNotice) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	quarantine.expire(now)
	for _, suspect := range notice.Suspects() {
		if len(suspect.Crashes()) > maxRecordedCrashes || len(suspect.Cleared()) > maxRecordedCrashes || !suspect.Expires().After(now) {
			continue
		}
		expires := suspect.Expires()
		if latest := now.Add(SuspectTTL); expires.After(latest) {
			expires = latest
		}
		suspectrecord := quarantine.getOrAdd(expires, suspect.Fingerprint(), notice.Service(), suspect.Workspace())
		if expires.After(suspectrecord.expires) {
			suspectrecord.expires = expires
		}
		suspectrecord.merge(suspect)
	}
}

// check returns the treatment of the request; it computes no fingerprint while there are no suspects.
func (quarantine *Quarantine) check(now time.Time, request lagoonlanding.Request) Treatment {
	if len(quarantine.suspects) == 0 {
		return Unrestricted
	}
	suspectrecord, ok := quarantine.suspects[FingerprintOf(request)]
	if !ok || now.After(suspectrecord.expires) {
		return Unrestricted
	}
	switch count := suspectrecord.unclearedCrashes(); {
	case count >= MaxCrashes:
		return Refused
	case count > 0:
		return Exclusive
	}
	return Unrestricted
}

// recordCrash makes every request in flight a suspect of a new crash.
func (quarantine *Quarantine) recordCrash(now time.Time) {
	quarantine.expire(now)
	quarantine.crashCount++
	crash := lagoonlanding.NewCrash(quarantine.config.Random.Uint64(), len(quarantine.running) == 1)
	for run := range quarantine.running {
		key := run.request.Key()
		suspectrecord := quarantine.getOrAdd(now.Add(SuspectTTL), FingerprintOf(run.request), key.Service(), key.Workspace())
		suspectrecord.expires = now.Add(SuspectTTL)
		if len(suspectrecord.crashes) < maxRecordedCrashes {
			suspectrecord.crashes[crash] = true
		}
	}
}

// getOrAdd returns the record of a fingerprint; a new record expires at the given time.
func (quarantine *Quarantine) getOrAdd(expires time.Time, fingerprint lagoonlanding.Fingerprint, service, workspace string) *suspectRecord {
	suspectrecord, ok := quarantine.suspects[fingerprint]
	if ok {
		return suspectrecord
	}
	if len(quarantine.suspects) >= MaxSuspects {
		quarantine.evict()
	}
	suspectrecord = &suspectRecord{
		service: service, workspace: workspace, expires: expires,
		crashes: map[lagoonlanding.Crash]bool{}, cleared: map[lagoonlanding.Crash]bool{},
	}
	quarantine.suspects[fingerprint] = suspectrecord
	return suspectrecord
}

// evict deletes the suspect with the fewest crashes, and among those the one that expires first.
func (quarantine *Quarantine) evict() {
	var evicted lagoonlanding.Fingerprint
	var fewest *suspectRecord
	for fingerprint, suspectrecord := range quarantine.suspects {
		switch {
		case fewest == nil, suspectrecord.unclearedCrashes() < fewest.unclearedCrashes():
			evicted, fewest = fingerprint, suspectrecord
		case suspectrecord.unclearedCrashes() == fewest.unclearedCrashes() && suspectrecord.expires.Before(fewest.expires):
			evicted, fewest = fingerprint, suspectrecord
		}
	}
	delete(quarantine.suspects, evicted)
}

func (quarantine *Quarantine) expire(now time.Time) {
	maps.DeleteFunc(quarantine.suspects, func(_ lagoonlanding.Fingerprint, item *suspectRecord) bool { return now.After(item.expires) })
}
