package picker

import (
	"math/rand/v2"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Network latencies that are assumed before the first reply of an instance, and the preference for near instances.
const (
	// zoneRoundTrip is the round-trip time between two availability zones of a region.
	zoneRoundTrip = 3 * time.Millisecond
	// regionRoundTrip is the round-trip time between two regions.
	regionRoundTrip = 16 * time.Millisecond
	// spilloverRatio is how many times faster a more distant instance must be expected to answer before it is preferred.
	spilloverRatio = 1.25
)

// LeastTimeConfig holds the dependencies of a LeastTime picker.
type LeastTimeConfig struct {
	// Self is this instance, from which distances are measured.
	Self lagoonlanding.Instance
	// Slots is the maximum concurrency of an instance.
	Slots int
	// Choices is how many random candidates at the same distance are compared; zero means all.
	Choices int
	// Link is the byte budget for traffic between regions; nil means no limit.
	Link *LinkBudget
	// Random selects the candidates that are compared.
	Random *rand.Rand
}

// LeastTime picks the instance with the least expected response time and prefers the same availability zone over the same region
// over other regions.
type LeastTime struct {
	config LeastTimeConfig

	mutex   sync.Mutex
	tracker *tracker
	regions map[lagoonlanding.InstanceID]string
}

var _ lagoonlanding.Picker = (*LeastTime)(nil)

// NewLeastTime returns a picker without observations.
func NewLeastTime(config LeastTimeConfig) *LeastTime {
	return &LeastTime{config: config, tracker: newTracker(), regions: map[lagoonlanding.InstanceID]string{}}
}

type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	distanceCount
)

// Pick returns the instance with the least expected response time; a more distant one only if it is faster by spilloverRatio and
// the byte budget permits it.
func (leasttime *LeastTime) Pick(now time.Time, candidates []lagoonlanding.Instance, size int) (lagoonlanding.Instance, lagoonlanding.Reason) {
	leasttime.mutex.Lock()
	defer leasttime.mutex.Unlock()
	var best lagoonlanding.Instance
	leastSeconds, found, isBudgetExhausted := 0.0, false, false
	for level, group := range leasttime.byDistance(candidates) {
		if len(group) == 0 {
			continue
		}
		if distance(level) == otherRegion && leasttime.config.Link != nil && !leasttime.config.Link.Permits(now, size) {
			isBudgetExhausted = true
			continue
		}
		instance, seconds := leasttime.best(now, group, distance(level))
		if !found || seconds*spilloverRatio < leastSeconds {
			best, leastSeconds, found = instance, seconds, true
		}
	}
	switch {
	case found:
		leasttime.start(now, best, size)
		return best, lagoonlanding.ReasonNone
	case isBudgetExhausted:
		return best, lagoonlanding.ReasonLinkBudget
	}
	return best, lagoonlanding.ReasonNoUpstream
}

// Done records the observation of a request to a picked instance.
func (leasttime *LeastTime) Done(now time.Time, id lagoonlanding.InstanceID, observation lagoonlanding.Observation) {
	leasttime.mutex.Lock()
	defer leasttime.mutex.Unlock()
	leasttime.tracker.observe(now, id, observation.Took(), observation.IsSuccess())
	if region, ok := leasttime.regions[id]; ok && region != leasttime.config.Self.Region() && leasttime.config.Link != nil {
		leasttime.config.Link.Spend(now, observation.Size())
	}
	if len(leasttime.regions) > 2*len(leasttime.tracker.instances) {
		clear(leasttime.regions)
	}
}

// Report records the load that an instance reports, which is weighted less with age.
func (leasttime *LeastTime) Report(now time.Time, id lagoonlanding.InstanceID, report lagoonlanding.UpstreamReport) {
	leasttime.mutex.Lock()
	defer leasttime.mutex.Unlock()
	instancestats := leasttime.tracker.get(now, id)
	instancestats.reportedLoad = float64(report.InFlight())
	instancestats.reportedAt = now
}

func (leasttime *LeastTime) start(now time.Time, instance lagoonlanding.Instance, size int) {
	leasttime.tracker.get(now, instance.ID()).inFlight++
	leasttime.regions[instance.ID()] = instance.Region()
	if instance.Region() != leasttime.config.Self.Region() && leasttime.config.Link != nil {
		leasttime.config.Link.Spend(now, size)
	}
}

// byDistance groups the candidates by their distance.
func (leasttime *LeastTime) byDistance(candidates []lagoonlanding.Instance) [distanceCount][]lagoonlanding.Instance {
	var groups [distanceCount][]lagoonlanding.Instance
	for _, candidate := range candidates {
		level := otherRegion
		switch {
		case candidate.Region() == leasttime.config.Self.Region() && candidate.AvailabilityZone() == leasttime.config.Self.AvailabilityZone():
			level = sameZone
		case candidate.Region() == leasttime.config.Self.Region():
			level = sameRegion
		}
		groups[level] = append(groups[level], candidate)
	}
	return groups
}

// best returns the candidate with the least expected response time among those compared, and that time in seconds.
func (leasttime *LeastTime) best(now time.Time, group []lagoonlanding.Instance, level distance) (lagoonlanding.Instance, float64) {
	compared := len(group)
	if leasttime.config.Choices > 0 {
		compared = min(compared, leasttime.config.Choices)
	}
	var best lagoonlanding.Instance
	bestSeconds := 0.0
	for i := range compared {
		// A partial Fisher-Yates shuffle draws each candidate at most once.
		drawn := i + leasttime.config.Random.IntN(len(group)-i)
		group[i], group[drawn] = group[drawn], group[i]
		if seconds := leasttime.expectedSeconds(now, group[i].ID(), level); i == 0 || seconds < bestSeconds {
			best, bestSeconds = group[i], seconds
		}
	}
	return best, bestSeconds
}

// expectedSeconds returns the expected response time of the instance in seconds.
func (leasttime *LeastTime) expectedSeconds(now time.Time, id lagoonlanding.InstanceID, level distance) float64 {
	instancestats := leasttime.tracker.get(now, id)
	mean := leasttime.tracker.decayedMean(now, instancestats)
	if instancestats.count == 0 {
		mean += [distanceCount]time.Duration{0, zoneRoundTrip, regionRoundTrip}[level].Seconds()
	}
	return mean * (1 + leasttime.tracker.load(now, instancestats)/instancestats.assumedConcurrency(leasttime.config.Slots))
}
