package picker

import (
	"math"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// The rules by which observations age.
const (
	// unknownTime is the service time of an instance while none has answered yet.
	unknownTime = 5 * time.Millisecond
	// unfitTime is the time that a request counts whose instance was lost or refused it.
	unfitTime = time.Second
	// slowHalfLife halves the excess over the usual time of an instance that gets no requests, so that it is tried again.
	slowHalfLife = time.Second
	// reportHalfLife halves what a load report counts.
	reportHalfLife = 500 * time.Millisecond
	// sampleWeight is the share of a new time in an instance's mean, as its inverse.
	sampleWeight = 8
	// absentTerm is how long an instance is no candidate before it counts as new, since it may return cold.
	absentTerm = 3 * time.Second
	// probationStep is how many answers a new instance needs to be trusted with one more request at once.
	probationStep = 16
	// trackTerm is how long an instance is remembered that is no candidate any more.
	trackTerm = time.Minute
)

// track is what this daemon has seen of one instance.
type track struct {
	inFlight int
	mean     float64
	count    int
	updated  time.Time
	reported float64
	reportAt time.Time
	seen     time.Time
}

// tracker keeps what this daemon has seen of the instances.
type tracker struct {
	tracks map[lagoonlanding.InstanceID]*track
	usual  float64
	pruned time.Time
}

func newTracker() *tracker {
	return &tracker{tracks: map[lagoonlanding.InstanceID]*track{}, usual: unknownTime.Seconds()}
}

func (tracker *tracker) of(now time.Time, id lagoonlanding.InstanceID) *track {
	known, ok := tracker.tracks[id]
	if !ok {
		known = &track{mean: tracker.usual}
		tracker.tracks[id] = known
	}
	if now.Sub(known.seen) > absentTerm {
		known.count = 0
	}
	known.seen = now
	return known
}

// observe adds a service time; a rise counts at once and a fall slowly, so that a straggler shows with its first answers.
func (tracker *tracker) observe(now time.Time, id lagoonlanding.InstanceID, took time.Duration, fit bool) {
	known := tracker.of(now, id)
	known.inFlight = max(known.inFlight-1, 0)
	if !fit {
		took = max(took, unfitTime)
	}
	known.mean = tracker.decayed(now, known)
	weight := float64(sampleWeight)
	if took.Seconds() > known.mean {
		weight = 2
	}
	known.mean += (took.Seconds() - known.mean) / weight
	known.updated = now
	known.count++
	if fit {
		tracker.usual += (min(took.Seconds(), 2*tracker.usual) - tracker.usual) / (4 * sampleWeight)
	}
	tracker.prune(now)
}

// decayed returns the instance's mean time, whose excess over the usual one halves while it gets no requests.
func (tracker *tracker) decayed(now time.Time, known *track) float64 {
	if known.mean <= tracker.usual || known.updated.IsZero() {
		return known.mean
	}
	return tracker.usual + (known.mean-tracker.usual)*halved(now.Sub(known.updated), slowHalfLife)
}

// load returns the requests at the instance: this daemon's own exactly, and of the others what a report of some age suggests.
func (tracker *tracker) load(now time.Time, known *track) float64 {
	others := max(known.reported-float64(known.inFlight), 0)
	return float64(known.inFlight) + others*halved(now.Sub(known.reportAt), reportHalfLife)
}

// trusted returns how many requests at once this daemon trusts the instance with, of so many slots.
func (track *track) trusted(slots int) float64 {
	return float64(max(min(1+track.count/probationStep, slots), 1))
}

func (tracker *tracker) prune(now time.Time) {
	if now.Sub(tracker.pruned) < trackTerm {
		return
	}
	tracker.pruned = now
	for id, known := range tracker.tracks {
		if now.Sub(known.seen) > trackTerm && known.inFlight == 0 {
			delete(tracker.tracks, id)
		}
	}
}

func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
