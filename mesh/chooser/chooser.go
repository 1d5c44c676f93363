package chooser

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Config holds the parameters of a Chooser.
type Config struct {
	// AvailabilityZone and Region are those of the daemon.
	AvailabilityZone, Region string
	// ZoneCost is added to the expected response time of a backend server in another zone of the region.
	ZoneCost time.Duration
	// RegionCost is added to the expected response time of a backend server in another region.
	RegionCost time.Duration
	// QueueHalfLife is the age at which a reported queue length has half its weight.
	QueueHalfLife time.Duration
	// RunTimeHalfLife is the age at which a reported run time has half its weight: run times are stable, but other load on an instance comes and goes.
	RunTimeHalfLife time.Duration
	// AvoidTerm is how long a daemon is avoided after it could not be reached.
	AvoidTerm time.Duration
	// Random breaks ties.
	Random *rand.Rand
	// Samples enables the choice among a few candidates drawn at random, as Pick makes it; otherwise all candidates are compared.
	Samples bool
	// IntN returns a random number from 0 to n-1 for the draw, and may be called concurrently; nil selects the runtime's generator.
	IntN func(n int) int
	// OnPick is called with each choice of Pick; nil if they are not counted.
	OnPick func(choice Choice)
}

// initialTasksPerSlot is the assumed number of tasks per slot of a backend server that has not reported its load yet.
const initialTasksPerSlot = 0.5

// initialMeanRunTime is the assumed run time of a task at a backend server that has not reported its load yet.
const initialMeanRunTime = 200 * time.Millisecond

const (
	// utilizationHalfLife is the time after which a new level of utilization has half its weight in the moving average.
	utilizationHalfLife = 2 * time.Second
	// maxReportAge is the age up to which a report says how loaded a backend server is.
	maxReportAge = 6 * time.Second
)

var _ lagoonlanding.LoadReports = (*Chooser)(nil)

// Chooser tracks the load that backend servers report with their answers; it is safe for concurrent use.
type Chooser struct {
	config Config
	// sampler keeps all state instead if candidates are drawn; otherwise it is nil.
	sampler *sampler

	mutex         sync.Mutex
	statsByDaemon map[string]*stats
}

// stats is the last known state of one backend server.
type stats struct {
	load lagoonlanding.Load
	// reportedAt is when the load was reported, or the zero time.
	reportedAt time.Time
	// inFlight counts the tasks of this daemon at the backend server; inFlightAtReport is its value when the load was reported.
	inFlight, inFlightAtReport int
	// utilization is the moving average of the running and waiting tasks per slot.
	utilization float64
	// avoidUntil is the time until which the backend server is selected only if there is no other.
	avoidUntil time.Time
}

// New returns a chooser without load reports.
func New(config Config) *Chooser {
	created := &Chooser{config: config, statsByDaemon: map[string]*stats{}}
	if config.Samples {
		created.sampler = newSampler(config)
	}
	return created
}

// Samples reports whether candidates are drawn, so that Pick chooses.
func (chooser *Chooser) Samples() bool { return chooser.sampler != nil }

// Pick returns one of the candidates, which must be an immutable list that the caller passes again until it changes; it returns false if the
// filter excludes all. It allocates nothing and takes no lock unless the candidates have changed.
func (chooser *Chooser) Pick(
	now time.Time, need lagoonlanding.Need, candidates []lagoonlanding.Backend, filter lagoonlanding.CandidateFilter,
) (lagoonlanding.Backend, bool) {
	return chooser.sampler.pick(now, need, candidates, filter)
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there is none.
func (chooser *Chooser) Choose(now time.Time, candidates []lagoonlanding.Backend) int {
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	best, bestCost := -1, time.Duration(0)
	average := chooser.average(candidates)
	for index, candidate := range candidates {
		cost := chooser.cost(now, candidate, average)
		if best < 0 || cost < bestCost {
			best, bestCost = index, cost
		}
	}
	return best
}

// estimate is the expected state of a backend server: the mean run time of tasks, and the running and waiting tasks per slot.
type estimate struct {
	meanRunTime  time.Duration
	tasksPerSlot float64
}

// average returns the average of the candidates' last reports.
func (chooser *Chooser) average(candidates []lagoonlanding.Backend) estimate {
	var sum estimate
	count := 0
	for _, candidate := range candidates {
		if stats, ok := chooser.statsByDaemon[candidate.ID().Daemon()]; ok && !stats.reportedAt.IsZero() {
			sum.meanRunTime += stats.load.MeanRunTime()
			sum.tasksPerSlot += stats.tasksPerSlot()
			count++
		}
	}
	if count == 0 {
		return estimate{meanRunTime: initialMeanRunTime, tasksPerSlot: initialTasksPerSlot}
	}
	// Including the initial assumption keeps a single full backend server from making all others look full.
	return estimate{meanRunTime: sum.meanRunTime / time.Duration(count), tasksPerSlot: (sum.tasksPerSlot + initialTasksPerSlot) / float64(count+1)}
}

// tasksPerSlot returns the running and waiting tasks per slot at the last report.
func (stats *stats) tasksPerSlot() float64 {
	return float64(stats.load.Running()+stats.load.Waiting()) / float64(max(stats.load.Slots(), 1))
}

// estimate returns the expected state of a backend server: its last report, which decays with age towards the average.
//
// If old queue reports were dropped, a fast backend server would look empty to all daemons that have not sent it a task recently.
func (chooser *Chooser) estimate(now time.Time, stats *stats, average estimate) estimate {
	if stats.reportedAt.IsZero() {
		return average
	}
	age := now.Sub(stats.reportedAt)
	return estimate{
		meanRunTime:  average.meanRunTime + time.Duration(float64(stats.load.MeanRunTime()-average.meanRunTime)*decay(age, chooser.config.RunTimeHalfLife)),
		tasksPerSlot: average.tasksPerSlot + (stats.tasksPerSlot()-average.tasksPerSlot)*decay(age, chooser.config.QueueHalfLife),
	}
}

// decay returns the weight of a report of the given age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / max(halfLife, time.Millisecond).Seconds())
}

// cost returns the expected response time plus the cost of the distance.
func (chooser *Chooser) cost(now time.Time, candidate lagoonlanding.Backend, average estimate) time.Duration {
	cost := chooser.distanceCost(candidate)
	stats := chooser.stats(candidate.ID().Daemon())
	expected := chooser.estimate(now, stats, average)
	meanRunTime, slots := expected.meanRunTime, max(candidate.Slots(), 1)
	if stats.load.Slots() > 0 {
		slots = stats.load.Slots()
	}
	// The tasks expected there now: the estimate and the tasks that this daemon has sent since the report, at least its own tasks in flight.
	ahead := max(int(math.Round(expected.tasksPerSlot*float64(slots)))+stats.inFlight-stats.inFlightAtReport, stats.inFlight)
	cost += meanRunTime
	if ahead >= slots {
		cost += meanRunTime * time.Duration(ahead-slots+1) / time.Duration(slots)
	}
	// A busier backend server is slower even while it has free slots.
	cost += meanRunTime * time.Duration(min(ahead, slots)) / time.Duration(4*slots)
	if now.Before(stats.avoidUntil) {
		cost += time.Minute
	}
	return cost + time.Duration(chooser.config.Random.Int64N(int64(time.Millisecond)))
}

func (chooser *Chooser) distanceCost(candidate lagoonlanding.Backend) time.Duration {
	switch {
	case candidate.AvailabilityZone() == chooser.config.AvailabilityZone:
		return 0
	case candidate.Region() == chooser.config.Region:
		return chooser.config.ZoneCost
	}
	return chooser.config.RegionCost
}

func (chooser *Chooser) stats(daemon string) *stats {
	found, ok := chooser.statsByDaemon[daemon]
	if !ok {
		found = &stats{}
		chooser.statsByDaemon[daemon] = found
	}
	return found
}

// Sent records that a task is sent to the daemon.
func (chooser *Chooser) Sent(daemon string) {
	if chooser.sampler != nil {
		chooser.sampler.sent(daemon)
		return
	}
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	chooser.stats(daemon).inFlight++
}

// Done records the result of a task at the daemon.
func (chooser *Chooser) Done(now time.Time, daemon string, result lagoonlanding.Result) {
	if chooser.sampler != nil {
		chooser.sampler.done(now, daemon, result)
		return
	}
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	stats := chooser.stats(daemon)
	stats.inFlight--
	if result.Load().Slots() > 0 {
		stats.report(now, result.Load())
	}
	switch result.Reason() {
	case lagoonlanding.ReasonUnreachable, lagoonlanding.ReasonConnectionLost, lagoonlanding.ReasonNoUpstream, lagoonlanding.ReasonShuttingDown:
		stats.avoidUntil = now.Add(chooser.config.AvoidTerm)
	case lagoonlanding.ReasonDeadline:
		// A daemon that has not responded by the deadline may hang; one that reports a load has only run out of time at its backend server.
		if result.Load().Slots() == 0 {
			stats.avoidUntil = now.Add(chooser.config.AvoidTerm)
		}
	case lagoonlanding.ReasonNone:
		stats.avoidUntil = time.Time{}
	}
}

// report records a reported load.
func (stats *stats) report(now time.Time, load lagoonlanding.Load) {
	age := now.Sub(stats.reportedAt)
	isFirst := stats.reportedAt.IsZero() || age > maxReportAge
	stats.load, stats.inFlightAtReport, stats.reportedAt = load, stats.inFlight, now
	weight := 1 - decay(age, utilizationHalfLife)
	if isFirst {
		weight = 1
	}
	stats.utilization += (stats.tasksPerSlot() - stats.utilization) * weight
}

// Utilization returns the recent load per slot of a daemon's backend server and the mean run time of its tasks; it returns false without a
// recent report.
func (chooser *Chooser) Utilization(now time.Time, daemon string) (perSlot float64, meanRunTime time.Duration, ok bool) {
	if chooser.sampler != nil {
		return chooser.sampler.utilization(now, daemon)
	}
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	stats, isKnown := chooser.statsByDaemon[daemon]
	if !isKnown || stats.reportedAt.IsZero() || now.Sub(stats.reportedAt) > maxReportAge || !stats.load.IsOpen() || now.Before(stats.avoidUntil) {
		return 0, 0, false
	}
	return stats.utilization, stats.load.MeanRunTime(), true
}

// Forget removes the stats of daemons that are no longer in the fleet.
func (chooser *Chooser) Forget(isKnown func(daemon string) bool) {
	if chooser.sampler != nil {
		chooser.sampler.forget(isKnown)
		return
	}
	chooser.mutex.Lock()
	defer chooser.mutex.Unlock()
	for daemon, stats := range chooser.statsByDaemon {
		if stats.inFlight == 0 && !isKnown(daemon) {
			delete(chooser.statsByDaemon, daemon)
		}
	}
}
