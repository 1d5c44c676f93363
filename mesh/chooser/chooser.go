package chooser

import (
	"math/rand/v2"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Config holds what a Chooser is built from.
type Config struct {
	// AvailabilityZone and Region are where the daemon runs.
	AvailabilityZone, Region string
	// ZoneCost is how much sooner an answer from another zone must be expected.
	ZoneCost time.Duration
	// RegionCost is how much sooner an answer from another region must be expected.
	RegionCost time.Duration
	// ReportTerm is how long a report of the load counts.
	ReportTerm time.Duration
	// AvoidTerm is how long a daemon that could not be reached is avoided.
	AvoidTerm time.Duration
	// Random breaks ties.
	Random *rand.Rand
}

// firstMean is how long a task is taken to last at a backend server that has told nothing yet.
const firstMean = 200 * time.Millisecond

// Chooser knows the load of the backend servers from what answers carry; it is safe for use by many goroutines.
type Chooser struct {
	config Config

	mutex sync.Mutex
	seen  map[string]*sight
}

// sight is what is known of one backend server.
type sight struct {
	load lagoonlanding.Load
	// stale is when the report of the load no longer counts.
	stale time.Time
	// sent counts the own tasks that are there now; at the report it was sentThen.
	sent, sentThen int
	// avoid is until when the backend server is not picked unless there is no other.
	avoid time.Time
}

// New returns a chooser that knows no load.
func New(config Config) *Chooser { return &Chooser{config: config, seen: map[string]*sight{}} }

// Choose returns the index of the candidate from which an answer is expected first.
func (chooser *Chooser) Choose(now time.Time, candidates []lagoonlanding.Backend) int {
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	best, least := -1, time.Duration(0)
	for index, candidate := range candidates {
		cost := chooser.cost(now, candidate)
		if best < 0 || cost < least {
			best, least = index, cost
		}
	}
	return best
}

// cost is the expected time to an answer and what the way there is worth.
func (chooser *Chooser) cost(now time.Time, candidate lagoonlanding.Backend) time.Duration {
	cost := chooser.distance(candidate)
	known := chooser.sight(candidate.ID().Daemon())
	mean, ahead, slots := firstMean, known.sent, max(candidate.Slots(), 1)
	if now.Before(known.stale) {
		mean = known.load.Mean()
		slots = max(known.load.Slots(), 1)
		ahead = max(known.load.Running()+known.load.Waiting()+known.sent-known.sentThen, known.sent)
	}
	cost += mean
	if ahead >= slots {
		cost += mean * time.Duration(ahead-slots+1) / time.Duration(slots)
	}
	// A busier backend server is slower even while it has slots.
	cost += mean * time.Duration(min(ahead, slots)) / time.Duration(4*slots)
	if now.Before(known.avoid) {
		cost += time.Minute
	}
	return cost + time.Duration(chooser.config.Random.Int64N(int64(time.Millisecond)))
}

func (chooser *Chooser) distance(candidate lagoonlanding.Backend) time.Duration {
	switch {
	case candidate.AvailabilityZone() == chooser.config.AvailabilityZone:
		return 0
	case candidate.Region() == chooser.config.Region:
		return chooser.config.ZoneCost
	}
	return chooser.config.RegionCost
}

func (chooser *Chooser) sight(daemon string) *sight {
	known, ok := chooser.seen[daemon]
	if !ok {
		known = &sight{}
		chooser.seen[daemon] = known
	}
	return known
}

// Sent notes that a task goes to the daemon.
func (chooser *Chooser) Sent(daemon string) {
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	chooser.sight(daemon).sent++
}

// Done notes how a task at the daemon ended.
func (chooser *Chooser) Done(now time.Time, daemon string, result lagoonlanding.Result) {
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	known := chooser.sight(daemon)
	known.sent--
	if result.Load().Slots() > 0 {
		known.load, known.sentThen = result.Load(), known.sent
		known.stale = now.Add(chooser.config.ReportTerm)
	}
	switch result.Reason() {
	case lagoonlanding.ReasonUnreachable, lagoonlanding.ReasonConnectionLost, lagoonlanding.ReasonNoUpstream, lagoonlanding.ReasonShuttingDown:
		known.avoid = now.Add(chooser.config.AvoidTerm)
	case lagoonlanding.ReasonNone:
		known.avoid = time.Time{}
	}
}

// Forget drops what is known of daemons that are no longer in the fleet.
func (chooser *Chooser) Forget(isKnown func(daemon string) bool) {
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	for daemon, known := range chooser.seen {
		if known.sent == 0 && !isKnown(daemon) {
			delete(chooser.seen, daemon)
		}
	}
}
