package chooser

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// regionBytesPerSecond is the part of the link to another region that one request is assumed to have.
const regionBytesPerSecond = 1 << 20

const (
	// nearSamples, regionSamples and remoteSamples are the candidates compared in the daemon's zone, in the rest of its region, and in each other region.
	nearSamples, regionSamples, remoteSamples = 4, 5, 3
	// maxSamples bounds the candidates of a tier.
	maxSamples = 8
	// runTimeReserve is the multiple of the run time that is left before the objective of a task that has to wait, as at the gate. A task that finds
	// a free slot is admitted without a reserve; with one here as well, slow machines were left idle while tasks crossed regions.
	runTimeReserve = 2
	// shortfallWeight is the cost of the time that is missing to that reserve.
	shortfallWeight = 0.25
	// maxRemoteLoad is the average load per slot up to which a zone of another region has spare room: single reports of free slots are too old under
	// overload, and led to tries that were refused there too.
	maxRemoteLoad = 0.9
	// avoidCost is the cost of a backend server that is avoided.
	avoidCost = time.Minute
	// regionLatency is the time that a request and its answer take between regions; the one-way latency is 8 ms.
	regionLatency = 20 * time.Millisecond
	// pressureWeight is the cost of a full backend server that has no queue yet, in run times of its zone, and runTimeWeight that of its own run
	// time: the load is evened out well before there is a queue, since reports are older than the time in which one forms.
	pressureWeight, runTimeWeight = 2.0, 0.25
)

// distance is what a tier adds to the response time, and what it costs besides.
type distance struct {
	latency, cost time.Duration
	// isRemote means that the tier is in another region.
	isRemote bool
}

// sampler chooses by power of d choices: it compares the requests in progress, and the latency that goes with them, of some candidates drawn at
// random in each tier of distance. The cost of a choice doesn't depend on the number of backend servers.
//
// Load: zones whose demand swings, machines of unlike speed that neighbours slow down for a moment, and reports that are older than a run time.
// Comparing few candidates keeps daemons with the same old reports from choosing the same one.
type sampler struct {
	config Config
	intN   func(n int) int
	tracks sync.Map // from the daemon's name to its *track
	views  sync.Map // from the service to its *atomic.Pointer[view]

	// forgotten counts the tracks that were removed: views from before may still have them.
	forgotten atomic.Int64

	// rebuilding serializes the preparation of views.
	rebuilding sync.Mutex
	averages   map[tierKey]*average
}

// tierKey identifies the backend servers of a service at one distance.
type tierKey struct{ service, zone, region string }

// view holds the candidates of a service, prepared for choices; it is immutable.
type view struct {
	source []lagoonlanding.Backend
	// forgotten is the number of tracks that had been removed when it was prepared.
	forgotten int64
	// near are the candidates in the daemon's zone, region those in the rest of its region, and remote those in each other region.
	near, region tier
	remote       []tier
}

// tier is the candidates at one distance.
type tier struct {
	region  string
	entries []entry
}

// entry is a candidate with what is known about it.
type entry struct {
	backend *lagoonlanding.Backend
	track   *track
	// average is the average of the candidate's zone.
	average *average
}

func newSampler(config Config) *sampler {
	created := &sampler{config: config, intN: rand.IntN, averages: map[tierKey]*average{}}
	if config.IntN != nil {
		created.intN = config.IntN
	}
	return created
}

func (sampler *sampler) track(daemon string) *track {
	if known, ok := sampler.tracks.Load(daemon); ok {
		return known.(*track)
	}
	known, _ := sampler.tracks.LoadOrStore(daemon, &track{})
	return known.(*track)
}

// view returns the prepared candidates; they are prepared again only when the snapshot has others.
func (sampler *sampler) view(now time.Time, candidates []lagoonlanding.Backend) *view {
	service := candidates[0].Service()
	slot, ok := sampler.views.Load(service)
	if !ok {
		slot, _ = sampler.views.LoadOrStore(service, &atomic.Pointer[view]{})
	}
	pointer := slot.(*atomic.Pointer[view])
	if known := pointer.Load(); known.isOf(candidates) {
		return known
	}
	if !sampler.rebuilding.TryLock() {
		// Another request prepares the candidates; until it is done, those of the previous snapshot do.
		if known := pointer.Load(); known != nil {
			return known
		}
		sampler.rebuilding.Lock()
	}
	defer sampler.rebuilding.Unlock()
	known := pointer.Load()
	if known.isOf(candidates) {
		return known
	}
	if known != nil && known.forgotten == sampler.forgotten.Load() && slices.Equal(known.source, candidates) {
		// The snapshot has changed in other respects.
		same := *known
		same.source = candidates
		pointer.Store(&same)
		return &same
	}
	prepared := sampler.prepare(now, candidates, known == nil)
	pointer.Store(prepared)
	return prepared
}

// isOf reports whether the view was prepared from these candidates, which are immutable.
func (view *view) isOf(candidates []lagoonlanding.Backend) bool {
	return view != nil && len(view.source) == len(candidates) && &view.source[0] == &candidates[0]
}

// prepare returns the view of the candidates; processes that have not been seen before are cold, except in the first view of a service.
func (sampler *sampler) prepare(now time.Time, candidates []lagoonlanding.Backend, isFirst bool) *view {
	prepared := &view{source: candidates, forgotten: sampler.forgotten.Load()}
	remotes := map[string]int{}
	for index := range candidates {
		backend := &candidates[index]
		key := tierKey{service: backend.Service(), zone: backend.AvailabilityZone(), region: backend.Region()}
		if sampler.averages[key] == nil {
			sampler.averages[key] = &average{}
		}
		entry := entry{backend: backend, track: sampler.track(backend.ID().Daemon()), average: sampler.averages[key]}
		entry.track.average.Store(entry.average)
		if entry.track.id != backend.ID() && !isFirst {
			entry.track.start(now)
		}
		entry.track.id = backend.ID()
		switch {
		case key.zone == sampler.config.AvailabilityZone:
			prepared.near.entries = append(prepared.near.entries, entry)
		case key.region == sampler.config.Region:
			prepared.region.entries = append(prepared.region.entries, entry)
		default:
			number, ok := remotes[key.region]
			if !ok {
				number = len(prepared.remote)
				remotes[key.region] = number
				prepared.remote = append(prepared.remote, tier{region: key.region})
			}
			prepared.remote[number].entries = append(prepared.remote[number].entries, entry)
		}
	}
	prepared.near.region, prepared.region.region = sampler.config.Region, sampler.config.Region
	return prepared
}

// option is the best candidate found so far.
type option struct {
	entry *entry
	// cost is the expected response time with the cost of the distance, and inTime whether the answer is expected by the objective.
	cost   time.Duration
	inTime bool
	// wait and runTime are the expected times at the candidate.
	wait, runTime time.Duration
}

func (option *option) choice() Choice {
	return Choice{
		backend: *option.entry.backend, wait: option.wait, runTime: option.runTime, reportedAt: option.entry.track.current().reportedAt, inTime: option.inTime,
	}
}

// pick returns the best of the candidates drawn; it returns false if the filter excludes all.
//
// Other regions are considered only if no candidate of the daemon's own region is expected to answer in time.
func (sampler *sampler) pick(
	now time.Time, need lagoonlanding.Need, candidates []lagoonlanding.Backend, filter lagoonlanding.CandidateFilter,
) (lagoonlanding.Backend, bool) {
	if len(candidates) == 0 {
		return lagoonlanding.Backend{}, false
	}
	view := sampler.view(now, candidates)
	var best option
	sampler.consider(&best, now, need, &view.near, nearSamples, distance{}, filter)
	sampler.consider(&best, now, need, &view.region, regionSamples, distance{cost: sampler.config.ZoneCost, latency: sampler.config.ZoneCost}, filter)
	if !best.inTime {
		for index := range view.remote {
			sampler.consider(&best, now, need, &view.remote[index], remoteSamples, sampler.regionDistance(need), filter)
		}
	}
	if best.entry == nil {
		return lagoonlanding.Backend{}, false
	}
	if sampler.config.OnPick != nil {
		sampler.config.OnPick(best.choice())
	}
	return *best.entry.backend, true
}

// regionDistance returns the distance of another region, with the time that the task's bytes take on the link.
func (sampler *sampler) regionDistance(need lagoonlanding.Need) distance {
	transfer := time.Duration(float64(need.Bytes()) / regionBytesPerSecond * float64(time.Second))
	return distance{latency: regionLatency + transfer, cost: sampler.config.RegionCost + transfer, isRemote: true}
}

// consider compares some candidates of a tier, drawn at random without repetition, with the best so far.
func (sampler *sampler) consider(
	best *option, now time.Time, need lagoonlanding.Need, tier *tier, samples int, distance distance, filter lagoonlanding.CandidateFilter,
) {
	count := len(tier.entries)
	if count == 0 || !filter.AllowsRegion(tier.region) {
		return
	}
	var drawn [maxSamples]int
	compared, cold := 0, -1
	for number := range min(samples, count) {
		index := sampler.draw(drawn[:number], count)
		drawn[number] = index
		entry := &tier.entries[index]
		if !filter.Allows(*entry.backend) {
			continue
		}
		if !sampler.takesShare(now, need, entry) {
			cold = index
			continue
		}
		sampler.compare(best, now, need, entry, distance)
		compared++
	}
	if compared > 0 {
		return
	}
	// At most the few candidates that were already tried are excluded, so the search ends soon.
	first := sampler.intN(count)
	for offset := range count {
		index := (first + offset) % count
		if entry := &tier.entries[index]; index != cold && filter.Allows(*entry.backend) {
			sampler.compare(best, now, need, entry, distance)
			return
		}
	}
	if cold >= 0 && best.entry == nil {
		sampler.compare(best, now, need, &tier.entries[cold], distance)
	}
}

// draw returns an index below count that has not been drawn before.
func (sampler *sampler) draw(drawn []int, count int) int {
	index := sampler.intN(count)
	for slices.Contains(drawn, index) {
		index = (index + 1) % count
	}
	return index
}

// compare replaces the best candidate if the other one is better: in time before late, then by cost.
func (sampler *sampler) compare(best *option, now time.Time, need lagoonlanding.Need, entry *entry, distance distance) {
	if distance.isRemote && best.entry != nil && entry.average.at(now).tasksPerSlot >= maxRemoteLoad {
		return
	}
	wait, runTime, pressure := sampler.expect(now, entry)
	other := option{entry: entry, cost: wait + pressure + time.Duration(runTimeWeight*float64(runTime)) + distance.cost, inTime: true, wait: wait, runTime: runTime}
	if !need.Objective().IsZero() {
		left := need.Objective().Sub(now) - wait - distance.latency
		other.inTime = left >= runTime && (wait == 0 || left >= runTimeReserve*runTime)
		// Run times vary: a task with less than the reserve is often late.
		other.cost += time.Duration(shortfallWeight * float64(max(runTimeReserve*runTime-left, 0)))
	}
	if best.entry == nil || other.inTime && !best.inTime || other.inTime == best.inTime && other.cost < best.cost {
		*best = other
	}
}

// expect returns how long a task is expected to wait at a candidate and to run there, and the cost of the slots in use.
//
// The report decays with its age towards the average of the candidate's zone.
func (sampler *sampler) expect(now time.Time, entry *entry) (wait, runTime, pressure time.Duration) {
	state := entry.track.current()
	average := entry.average.at(now)
	inFlight := entry.track.inFlight.Load()
	expected, sentSince, slots := average, inFlight, max(entry.backend.Slots(), 1)
	if !state.reportedAt.IsZero() {
		age := now.Sub(state.reportedAt)
		slots = max(state.load.Slots(), 1)
		expected.tasksPerSlot += (tasksPerSlotOf(state.load) - average.tasksPerSlot) * decay(age, sampler.config.QueueHalfLife)
		expected.meanRunTime += time.Duration(float64(state.usualRunTime-average.meanRunTime) * decay(age, sampler.config.RunTimeHalfLife))
		expected.meanRunTime = time.Duration(float64(expected.meanRunTime) * (1 + (state.slowdown-1)*decay(age, slowdownHalfLife)))
		sentSince = inFlight - state.inFlightAtReport
	}
	// The requests in progress there now: the estimate and those that this daemon has sent since, at least its own.
	ahead := max(expected.tasksPerSlot*float64(slots)+float64(sentSince), float64(inFlight))
	perSlot := ahead / float64(slots)
	queued := max(0, (ahead-float64(slots)+1)/float64(slots))
	wait = time.Duration(float64(expected.meanRunTime) * queued)
	pressure = time.Duration(float64(average.meanRunTime) * perSlot * pressureWeight)
	if now.Before(state.avoidUntil) {
		wait += avoidCost
	}
	return wait, expected.meanRunTime, pressure
}

// takesShare reports whether a candidate may be compared: a cold one gets only the share of the tasks that it accepts, drawn at random.
func (sampler *sampler) takesShare(now time.Time, need lagoonlanding.Need, entry *entry) bool {
	state := entry.track.current()
	if !now.Before(state.coldUntil) || need.ColdRate() <= 0 {
		return true
	}
	runTime := state.usualRunTime
	if runTime <= 0 {
		runTime = entry.average.at(now).meanRunTime
	}
	share := need.ColdRate() * runTime.Seconds() / float64(max(entry.backend.Slots(), 1))
	return sampler.intN(coldDraws) < int(share*coldDraws)
}

// coldDraws is the resolution of the share of a cold backend server.
const coldDraws = 1000

// sent records that a task is sent to the daemon.
func (sampler *sampler) sent(daemon string) { sampler.track(daemon).inFlight.Add(1) }

// done records the result of a task at the daemon.
func (sampler *sampler) done(now time.Time, daemon string, result lagoonlanding.Result) {
	sampler.track(daemon).done(now, result, sampler.config.AvoidTerm)
}

// utilization returns the recent load per slot and the mean run time; it returns false without a recent report.
func (sampler *sampler) utilization(now time.Time, daemon string) (perSlot float64, meanRunTime time.Duration, ok bool) {
	known, isKnown := sampler.tracks.Load(daemon)
	if !isKnown {
		return 0, 0, false
	}
	state := known.(*track).current()
	if state.reportedAt.IsZero() || now.Sub(state.reportedAt) > maxReportAge || !state.load.IsOpen() || now.Before(state.avoidUntil) {
		return 0, 0, false
	}
	return state.utilization, state.load.MeanRunTime(), true
}

// forget removes what is known of daemons that are no longer in the fleet.
//
// A view that is in use keeps its tracks; a daemon that returns gets a new one with the next snapshot.
func (sampler *sampler) forget(isKnown func(daemon string) bool) {
	sampler.tracks.Range(func(daemon, known any) bool {
		if known.(*track).inFlight.Load() == 0 && !isKnown(daemon.(string)) {
			sampler.tracks.Delete(daemon)
			sampler.forgotten.Add(1)
		}
		return true
	})
}
