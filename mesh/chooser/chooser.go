package chooser

import (
	"math"
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
	// QueueHalfLife is the age at which a report of the queue counts half.
	QueueHalfLife time.Duration
	// SpeedHalfLife is the age at which a report of the speed counts half: speeds last, but neighbours on an instance come and go.
	SpeedHalfLife time.Duration
	// AvoidTerm is how long a daemon that could not be reached is avoided.
	AvoidTerm time.Duration
	// Random breaks ties.
	Random *rand.Rand
}

// firstFilled is the part of the slots that is taken to be in use at a backend server that has told nothing yet.
const firstFilled = 0.5

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
	// reported is when the load was reported, zero for never.
	reported time.Time
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
	typical := chooser.typical(candidates)
	for index, candidate := range candidates {
		cost := chooser.cost(now, candidate, typical)
		if best < 0 || cost < least {
			best, least = index, cost
		}
	}
	return best
}

// estimate is what is expected of a backend server: how long a task takes, and how many there are for each slot.
type estimate struct {
	mean   time.Duration
	filled float64
}

// typical returns what the candidates have told, on average.
func (chooser *Chooser) typical(candidates []lagoonlanding.Backend) estimate {
	var sum estimate
	count := 0
	for _, candidate := range candidates {
		if known, ok := chooser.seen[candidate.ID().Daemon()]; ok && !known.reported.IsZero() {
			sum.mean += known.load.MeanRunTime()
			sum.filled += known.filled()
			count++
		}
	}
	if count == 0 {
		return estimate{mean: firstMean, filled: firstFilled}
	}
	// One more backend server as at first keeps a single full one from making all others look full.
	return estimate{mean: sum.mean / time.Duration(count), filled: (sum.filled + firstFilled) / float64(count+1)}
}

// filled returns how many tasks there were for each slot at the last report.
func (sight *sight) filled() float64 {
	return float64(sight.load.Running()+sight.load.Waiting()) / float64(max(sight.load.Slots(), 1))
}

// expect returns what is expected of a backend server: what it told last, and with the age of that ever more what is typical.
//
// Without the last word on its queue a quick backend server would look empty to all daemons that have not asked it lately.
func (chooser *Chooser) expect(now time.Time, known *sight, typical estimate) estimate {
	if known.reported.IsZero() {
		return typical
	}
	age := now.Sub(known.reported)
	return estimate{
		mean:   typical.mean + time.Duration(float64(known.load.MeanRunTime()-typical.mean)*halved(age, chooser.config.SpeedHalfLife)),
		filled: typical.filled + (known.filled()-typical.filled)*halved(age, chooser.config.QueueHalfLife),
	}
}

// halved returns what is left of one after so many half lives.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / max(halfLife, time.Millisecond).Seconds())
}

// cost is the expected time to an answer and what the way there is worth.
func (chooser *Chooser) cost(now time.Time, candidate lagoonlanding.Backend, typical estimate) time.Duration {
	cost := chooser.distance(candidate)
	known := chooser.sight(candidate.ID().Daemon())
	expected := chooser.expect(now, known, typical)
	mean, slots := expected.mean, max(candidate.Slots(), 1)
	if known.load.Slots() > 0 {
		slots = known.load.Slots()
	}
	ahead := max(int(math.Round(expected.filled*float64(slots)))+known.sent-known.sentThen, known.sent)
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
		known.load, known.sentThen, known.reported = result.Load(), known.sent, now
	}
	switch result.Reason() {
	case lagoonlanding.ReasonUnreachable, lagoonlanding.ReasonConnectionLost, lagoonlanding.ReasonNoUpstream, lagoonlanding.ReasonShuttingDown:
		known.avoid = now.Add(chooser.config.AvoidTerm)
	case lagoonlanding.ReasonDeadline:
		// A daemon that has not said a word until the deadline may hang, unlike one that tells of its backend server's deadline.
		if result.Load().Slots() == 0 {
			known.avoid = now.Add(chooser.config.AvoidTerm)
		}
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
