package picker

import (
	"math"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Parameters of the response time estimates.
const (
	// defaultResponseTime is the assumed response time before any instance has answered.
	defaultResponseTime = 5 * time.Millisecond
	// failurePenalty is the minimum response time that a failed request counts as.
	failurePenalty = time.Second
	// slowHalfLife is the half-life of the excess of an instance's mean over the typical response time while the instance receives no
	// requests, so that it is tried again.
	slowHalfLife = time.Second
	// reportHalfLife is the half-life of the weight of a load report.
	reportHalfLife = 500 * time.Millisecond
	// meanSmoothing is the reciprocal of the weight of a new response time in an instance's mean.
	meanSmoothing = 8
	// absenceTimeout is how long an instance may be absent from the candidates before it counts as new, since it may return cold.
	absenceTimeout = 3 * time.Second
	// rampUpStep is how many replies of a new instance raise its assumed concurrency by one.
	rampUpStep = 16
	// retention is how long the statistics of an instance are kept after it was last a candidate.
	retention = time.Minute
)

// instanceStats holds the statistics of one instance.
type instanceStats struct {
	inFlight     int
	meanSeconds  float64
	count        int
	observedAt   time.Time
	reportedLoad float64
	reportedAt   time.Time
	lastSeen     time.Time
}

// tracker holds the statistics of all instances.
type tracker struct {
	instances      map[lagoonlanding.InstanceID]*instanceStats
	typicalSeconds float64
	prunedAt       time.Time
}

func newTracker() *tracker {
	return &tracker{instances: map[lagoonlanding.InstanceID]*instanceStats{}, typicalSeconds: defaultResponseTime.Seconds()}
}

// get returns the statistics of an instance, creating them if needed, and records that the instance was seen.
func (tracker *tracker) get(now time.Time, id lagoonlanding.InstanceID) *instanceStats {
	instancestats, ok := tracker.instances[id]
	if !ok {
		instancestats = &instanceStats{meanSeconds: tracker.typicalSeconds}
		tracker.instances[id] = instancestats
	}
	if now.Sub(instancestats.lastSeen) > absenceTimeout {
		instancestats.count = 0
	}
	instancestats.lastSeen = now
	return instancestats
}

// observe adds a response time; the mean rises quickly and falls slowly, so that a straggler is detected by its first replies.
func (tracker *tracker) observe(now time.Time, id lagoonlanding.InstanceID, took time.Duration, success bool) {
	instancestats := tracker.get(now, id)
	instancestats.inFlight = max(instancestats.inFlight-1, 0)
	if !success {
		took = max(took, failurePenalty)
	}
	instancestats.meanSeconds = tracker.decayedMean(now, instancestats)
	smoothing := float64(meanSmoothing)
	if took.Seconds() > instancestats.meanSeconds {
		smoothing = 2
	}
	instancestats.meanSeconds += (took.Seconds() - instancestats.meanSeconds) / smoothing
	instancestats.observedAt = now
	instancestats.count++
	if success {
		tracker.typicalSeconds += (min(took.Seconds(), 2*tracker.typicalSeconds) - tracker.typicalSeconds) / (4 * meanSmoothing)
	}
	tracker.prune(now)
}

// decayedMean returns the mean response time in seconds, whose excess over the typical one decays while the instance receives no
// requests.
func (tracker *tracker) decayedMean(now time.Time, instancestats *instanceStats) float64 {
	if instancestats.meanSeconds <= tracker.typicalSeconds || instancestats.observedAt.IsZero() {
		return instancestats.meanSeconds
	}
	return tracker.typicalSeconds + (instancestats.meanSeconds-tracker.typicalSeconds)*decay(now.Sub(instancestats.observedAt), slowHalfLife)
}

// load returns the estimated requests in flight at the instance: the exact number of this daemon's own, and those of other daemons
// according to the last report, decayed by its age.
func (tracker *tracker) load(now time.Time, instancestats *instanceStats) float64 {
	others := max(instancestats.reportedLoad-float64(instancestats.inFlight), 0)
	return float64(instancestats.inFlight) + others*decay(now.Sub(instancestats.reportedAt), reportHalfLife)
}

// assumedConcurrency returns the concurrency that is assumed for the instance, up to its slots.
func (instancestats *instanceStats) assumedConcurrency(slots int) float64 {
	return float64(max(min(1+instancestats.count/rampUpStep, slots), 1))
}

// prune deletes the statistics of instances that have not been seen for the retention.
func (tracker *tracker) prune(now time.Time) {
	if now.Sub(tracker.prunedAt) < retention {
		return
	}
	tracker.prunedAt = now
	for id, instancestats := range tracker.instances {
		if now.Sub(instancestats.lastSeen) > retention && instancestats.inFlight == 0 {
			delete(tracker.instances, id)
		}
	}
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
