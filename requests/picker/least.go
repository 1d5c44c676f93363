package picker

import (
	"math/rand/v2"
	"sync"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// The times that a request and its answer take on the way, where none has been seen yet.
const (
	// zoneTime is the round trip between two availability zones of a region.
	zoneTime = 3 * time.Millisecond
	// regionTime is the round trip between two regions.
	regionTime = 16 * time.Millisecond
	// spillRatio is how many times better the next distance must look before a request leaves the nearer one.
	spillRatio = 1.25
)

// LeastConfig holds what a Least picker is built from.
type LeastConfig struct {
	// Self is this instance, from which distances count.
	Self lagoonlanding.Instance
	// Slots is how many requests an instance runs at once.
	Slots int
	// Choices is how many candidates of one distance are compared; zero for all.
	Choices int
	// Link is the budget between regions; nil for none.
	Link *Link
	// Random draws the candidates that are compared.
	Random *rand.Rand
}

// Least picks the instance from which the answer is expected first, the nearest zone before the region before other regions.
type Least struct {
	config LeastConfig

	mutex   sync.Mutex
	tracker *tracker
	regions map[lagoonlanding.InstanceID]string
}

var _ lagoonlanding.Picker = (*Least)(nil)

// NewLeast returns a picker that has seen nothing yet.
func NewLeast(config LeastConfig) *Least {
	return &Least{config: config, tracker: newTracker(), regions: map[lagoonlanding.InstanceID]string{}}
}

type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	distances
)

// Pick returns the instance with the least expected time; a farther one only if that helps and the link bears it.
func (least *Least) Pick(now time.Time, candidates []lagoonlanding.Instance, size int) (lagoonlanding.Instance, lagoonlanding.Reason) {
	least.mutex.Lock()
	defer least.mutex.Unlock()
	var best lagoonlanding.Instance
	expected, found, barred := 0.0, false, false
	for away, group := range least.split(candidates) {
		if len(group) == 0 {
			continue
		}
		if distance(away) == otherRegion && least.config.Link != nil && !least.config.Link.HasRoom(now, size) {
			barred = true
			continue
		}
		instance, took := least.best(now, group, distance(away))
		if !found || took*spillRatio < expected {
			best, expected, found = instance, took, true
		}
	}
	switch {
	case found:
		least.begin(now, best, size)
		return best, lagoonlanding.ReasonNone
	case barred:
		return best, lagoonlanding.ReasonLinkBudget
	}
	return best, lagoonlanding.ReasonNoUpstream
}

// Done counts what was seen of a request at a picked instance.
func (least *Least) Done(now time.Time, id lagoonlanding.InstanceID, observation lagoonlanding.Observation) {
	least.mutex.Lock()
	defer least.mutex.Unlock()
	least.tracker.observe(now, id, observation.Took(), observation.IsSuccess())
	if region, ok := least.regions[id]; ok && region != least.config.Self.Region() && least.config.Link != nil {
		least.config.Link.Spend(now, observation.Size())
	}
	if len(least.regions) > 2*len(least.tracker.tracks) {
		clear(least.regions)
	}
}

// Report notes an instance's own account of its load, which counts less the older it is.
func (least *Least) Report(now time.Time, id lagoonlanding.InstanceID, report lagoonlanding.UpstreamReport) {
	least.mutex.Lock()
	defer least.mutex.Unlock()
	known := least.tracker.of(now, id)
	known.reported = float64(report.InFlight())
	known.reportAt = now
}

func (least *Least) begin(now time.Time, instance lagoonlanding.Instance, size int) {
	least.tracker.of(now, instance.ID()).inFlight++
	least.regions[instance.ID()] = instance.Region()
	if instance.Region() != least.config.Self.Region() && least.config.Link != nil {
		least.config.Link.Spend(now, size)
	}
}

// split groups the candidates by their distance.
func (least *Least) split(candidates []lagoonlanding.Instance) [distances][]lagoonlanding.Instance {
	var groups [distances][]lagoonlanding.Instance
	for _, candidate := range candidates {
		away := otherRegion
		switch {
		case candidate.Region() == least.config.Self.Region() && candidate.AvailabilityZone() == least.config.Self.AvailabilityZone():
			away = sameZone
		case candidate.Region() == least.config.Self.Region():
			away = sameRegion
		}
		groups[away] = append(groups[away], candidate)
	}
	return groups
}

// best returns the candidate with the least expected time among those compared.
func (least *Least) best(now time.Time, group []lagoonlanding.Instance, away distance) (lagoonlanding.Instance, float64) {
	compared := len(group)
	if least.config.Choices > 0 {
		compared = min(compared, least.config.Choices)
	}
	var best lagoonlanding.Instance
	lowest := 0.0
	for i := range compared {
		// The drawn candidate changes places with the i-th, which keeps the draws distinct.
		drawn := i + least.config.Random.IntN(len(group)-i)
		group[i], group[drawn] = group[drawn], group[i]
		if took := least.expect(now, group[i].ID(), away); i == 0 || took < lowest {
			best, lowest = group[i], took
		}
	}
	return best, lowest
}

// expect returns the seconds after which the instance should answer.
func (least *Least) expect(now time.Time, id lagoonlanding.InstanceID, away distance) float64 {
	known := least.tracker.of(now, id)
	mean := least.tracker.decayed(now, known)
	if known.count == 0 {
		mean += [distances]time.Duration{0, zoneTime, regionTime}[away].Seconds()
	}
	return mean * (1 + least.tracker.load(now, known)/known.trusted(least.config.Slots))
}
