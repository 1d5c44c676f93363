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

// The rules of the quarantine.
const (
	// MaxCrashes is the number of crashes after which a request is refused everywhere: the first leaves every request in
	// flight suspect, the second, with the request alone, leaves it alone, and the third tells it from a chance crash.
	MaxCrashes = 3
	// Term is how long after its last crash a suspect is remembered.
	Term = 10 * time.Minute
	// MaxSuspects bounds the suspects.
	MaxSuspects = 512
	// maxCrashes bounds the crashes that are remembered of one suspect.
	maxCrashes = 4 * MaxCrashes
)

// Treatment is how a request may run.
type Treatment uint8

// The treatments of a request.
const (
	// Free says that the request runs beside others.
	Free Treatment = iota + 1
	// Alone says that it runs without others.
	Alone
	// Stopped says that it is refused.
	Stopped
)

// Config holds what a Quarantine is built from.
type Config struct {
	// Random draws the names of crashes, which must differ in the whole fleet.
	Random *rand.Rand
}

// Quarantine knows the requests in flight at the backend server beside the daemon and the suspects of the fleet.
//
// It is safe for use by many goroutines.
type Quarantine struct {
	config Config

	mutex    sync.Mutex
	suspects map[lagoonlanding.Fingerprint]*record
	running  map[*Run]bool
	crashes  uint64
}

// Run is one request in flight.
type Run struct {
	request lagoonlanding.Request
	alone   bool
	crashes uint64
}

// NewQuarantine returns a quarantine without suspects.
func NewQuarantine(config Config) *Quarantine {
	return &Quarantine{config: config, suspects: map[lagoonlanding.Fingerprint]*record{}, running: map[*Run]bool{}}
}

// Check returns how the request may run.
func (quarantine *Quarantine) Check(now time.Time, request lagoonlanding.Request) Treatment {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	return quarantine.check(now, request)
}

// Start notes that the request goes to the backend server; it is false if the request may not run this way any more, so
// that copies which were queued before a crash do not follow it unchecked.
func (quarantine *Quarantine) Start(now time.Time, request lagoonlanding.Request, treatment Treatment) (*Run, bool) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	current := quarantine.check(now, request)
	if current == Stopped || current == Alone && treatment != Alone {
		return nil, false
	}
	run := &Run{request: request, alone: treatment == Alone, crashes: quarantine.crashes}
	quarantine.running[run] = true
	return run, true
}

// Finish notes that the request has ended, and whether the backend server crashed with it; it is true at the first word of a crash.
func (quarantine *Quarantine) Finish(now time.Time, run *Run, crashed bool) bool {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	// All requests in flight end with a crash; the first of them to tell counts for all.
	isFirst := crashed && run.crashes == quarantine.crashes
	if isFirst {
		quarantine.crash(now)
	}
	delete(quarantine.running, run)
	if !run.alone || crashed {
		return isFirst
	}
	if known, ok := quarantine.suspects[FingerprintOf(run.request)]; ok {
		known.clear()
	}
	return isFirst
}

// Suspects returns what other instances of the service should know, ordered by fingerprint.
func (quarantine *Quarantine) Suspects(now time.Time, service string) []lagoonlanding.Suspect {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	quarantine.expire(now)
	suspects := make([]lagoonlanding.Suspect, 0, len(quarantine.suspects))
	for fingerprint, known := range quarantine.suspects {
		if known.service == service {
			suspects = append(suspects, known.suspect(fingerprint))
		}
	}
	slices.SortFunc(suspects, func(a, b lagoonlanding.Suspect) int {
		x, y := a.Fingerprint(), b.Fingerprint()
		return bytes.Compare(x[:], y[:])
	})
	return suspects
}

// Merge takes in what another instance knows.
func (quarantine *Quarantine) Merge(now time.Time, notice lagoonlanding.SuspectNotice) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	quarantine.expire(now)
	for _, suspect := range notice.Suspects() {
		if len(suspect.Crashes()) > maxCrashes || len(suspect.Cleared()) > maxCrashes || !suspect.Expires().After(now) {
			continue
		}
		expires := suspect.Expires()
		if latest := now.Add(Term); expires.After(latest) {
			expires = latest
		}
		known := quarantine.record(expires, suspect.Fingerprint(), notice.Service(), suspect.Workspace())
		if expires.After(known.expires) {
			known.expires = expires
		}
		known.merge(suspect)
	}
}

// check computes no fingerprint while nothing is suspect.
func (quarantine *Quarantine) check(now time.Time, request lagoonlanding.Request) Treatment {
	if len(quarantine.suspects) == 0 {
		return Free
	}
	known, ok := quarantine.suspects[FingerprintOf(request)]
	if !ok || now.After(known.expires) {
		return Free
	}
	switch count := known.count(); {
	case count >= MaxCrashes:
		return Stopped
	case count > 0:
		return Alone
	}
	return Free
}

// crash makes every request in flight a suspect of one new crash.
func (quarantine *Quarantine) crash(now time.Time) {
	quarantine.expire(now)
	quarantine.crashes++
	crash := lagoonlanding.NewCrash(quarantine.config.Random.Uint64(), len(quarantine.running) == 1)
	for run := range quarantine.running {
		key := run.request.Key()
		known := quarantine.record(now.Add(Term), FingerprintOf(run.request), key.Service(), key.Workspace())
		known.expires = now.Add(Term)
		if len(known.crashes) < maxCrashes {
			known.crashes[crash] = true
		}
	}
}

// record returns what is known of a fingerprint, and begins it with the time at which it expires.
func (quarantine *Quarantine) record(expires time.Time, fingerprint lagoonlanding.Fingerprint, service, workspace string) *record {
	known, ok := quarantine.suspects[fingerprint]
	if ok {
		return known
	}
	if len(quarantine.suspects) >= MaxSuspects {
		quarantine.displace()
	}
	known = &record{
		service: service, workspace: workspace, expires: expires,
		crashes: map[lagoonlanding.Crash]bool{}, cleared: map[lagoonlanding.Crash]bool{},
	}
	quarantine.suspects[fingerprint] = known
	return known
}

// displace forgets the suspect of the fewest crashes, and of these the one that expires first.
func (quarantine *Quarantine) displace() {
	var least lagoonlanding.Fingerprint
	var fewest *record
	for fingerprint, known := range quarantine.suspects {
		switch {
		case fewest == nil, known.count() < fewest.count():
			least, fewest = fingerprint, known
		case known.count() == fewest.count() && known.expires.Before(fewest.expires):
			least, fewest = fingerprint, known
		}
	}
	delete(quarantine.suspects, least)
}

func (quarantine *Quarantine) expire(now time.Time) {
	maps.DeleteFunc(quarantine.suspects, func(_ lagoonlanding.Fingerprint, known *record) bool { return now.After(known.expires) })
}
