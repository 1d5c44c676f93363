package experimenter

import (
	"fmt"
	"math"
	"sort"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/sequencer"
	"lagoonlanding.example/measure/tabulator"
)

// The parameters of the skew experiment.
const (
	skewEnd       = 40 * time.Second
	skewSlots     = 12
	skewRunTime   = 400 * time.Millisecond
	skewObjective = 1500 * time.Millisecond
	// skewMoveTime is how long keys that move are unavailable.
	skewMoveTime = time.Second
	skewHalfLife = 5.0
	// skewSettleTime is how long an allotment must be unchanged before keys move.
	skewSettleTime = 5 * time.Second
)

// skewSpeeds are the speeds of the owners.
var skewSpeeds = []float64{0.7, 0.7, 1.6, 1}

// Skew plays keys of which a few adjacent ones are busy, on owners of unlike speed.
func Skew(seed uint64) Result {
	var result Result
	for _, load := range []float64{0.5, 0.75} {
		table := tabulator.NewTable(
			fmt.Sprintf("4 owners with speeds of %v, keys of unlike popularity, %.0f %% load", skewSpeeds, 100*load),
			"p50 in ms", "p99 in ms", "refused in 1000", "worth in 1000", "stripes moved")
		var lines []*plotter.Line
		for _, variant := range []struct {
			name  string
			sheds bool
		}{{name: "equal stripes"}, {name: "keys move for load", sheds: true}} {
			run := runSkew(seed, load, variant.sheds)
			table.Add(variant.name, run.worth.tally.percentile(50), run.worth.tally.percentile(99), run.worth.tally.failedPerMille(), run.worth.perMille(), float64(run.moved))
			lines = append(lines, run.worth.line(variant.name))
		}
		result.tables = append(result.tables, table)
		result.charts = append(result.charts, worthChart(fmt.Sprintf("skew-%.0f", 100*load), fmt.Sprintf("Skewed keys at %.0f %% load", 100*load), seed, lines))
	}
	return result
}

// skewOwner is an owner of keys with the load that has arrived for them.
type skewOwner struct {
	slotServer
	id    lagoonlanding.BackendID
	speed float64
	// demand is the run time that has arrived for each demand range, decayed as of decayedAt.
	demand    []float64
	decayedAt time.Duration
}

// skewRun is one run of the experiment.
type skewRun struct {
	simulation *sequencer.Simulation
	worth      *worthTally
	allotment  *allocator.Allotment
	owners     map[lagoonlanding.BackendID]*skewOwner
	ids        []lagoonlanding.BackendID
	// popularity are the summed popularities of the keys.
	popularity []float64
	// movingUntil maps the stripes that move to the end of the move.
	movingUntil map[int]time.Duration
	settledAt   time.Duration
	moved       int
}

func runSkew(seed uint64, load float64, sheds bool) *skewRun {
	simulation := sequencer.NewSimulation(seed)
	simulation.StartExperiment()
	run := &skewRun{
		simulation: simulation, worth: newWorthTally(skewEnd), owners: map[lagoonlanding.BackendID]*skewOwner{}, movingUntil: map[int]time.Duration{},
	}
	var backends []lagoonlanding.Backend
	speeds := 0.0
	for number, speed := range skewSpeeds {
		id := lagoonlanding.NewBackendID(fmt.Sprintf("daemon-%d", number), "server", 1)
		run.ids = append(run.ids, id)
		run.owners[id] = &skewOwner{
			slotServer: slotServer{simulation: simulation, slots: skewSlots}, id: id, speed: speed, demand: make([]float64, lagoonlanding.DemandRanges),
		}
		backends = append(backends, lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: id, State: lagoonlanding.BackendReady}))
		speeds += speed
	}
	run.allotment, _ = allocator.NewAllotment(allocator.AllotmentConfig{Service: "s"}).Plan(allocator.PlanConfig{
		Backends: backends, IsExpired: func(lagoonlanding.BackendID) bool { return false },
	})
	sum := 0.0
	first := simulation.Random().IntN(allocator.Keys)
	for key := range allocator.Keys {
		sum += math.Pow(float64(1+(key+first)%allocator.Keys), -0.7)
		run.popularity = append(run.popularity, sum)
	}
	perSecond := load * speeds * skewSlots / skewRunTime.Seconds()
	simulation.Arrivals(func() float64 { return perSecond }, skewEnd, run.arrive)
	if sheds {
		simulation.Every(time.Second, func() bool {
			run.shed()
			return simulation.Elapsed() < skewEnd
		})
	}
	simulation.Run()
	return run
}

// arrive sends a request for a random key to its owner, which refuses it if it cannot start in time.
func (skewrun *skewRun) arrive() {
	now := skewrun.simulation.Elapsed()
	key := sort.SearchFloat64s(skewrun.popularity, skewrun.simulation.Random().Float64()*skewrun.popularity[allocator.Keys-1])
	stripe := key * len(skewrun.allotment.Stripes()) / allocator.Keys
	owner := skewrun.owners[skewrun.allotment.StripeOf(key).Owner()]
	runTime := time.Duration(float64(logNormal(skewrun.simulation, skewRunTime)) / owner.speed)
	owner.decay(now)
	owner.demand[lagoonlanding.DemandRangeOf(key)] += skewRunTime.Seconds() / owner.speed
	expectedWait := time.Duration(float64(len(owner.waiting)) * float64(skewRunTime) / owner.speed / skewSlots)
	if now < skewrun.movingUntil[stripe] || expectedWait > skewObjective-skewRunTime {
		skewrun.worth.record(now, 0, skewObjective, false)
		return
	}
	owner.submit(func(end func()) {
		skewrun.simulation.After(runTime, func() {
			end()
			skewrun.worth.record(now, skewrun.simulation.Elapsed()-now, skewObjective, true)
		})
	})
}

func (skewowner *skewOwner) decay(now time.Duration) {
	factor := math.Exp2(-(now - skewowner.decayedAt).Seconds() / skewHalfLife)
	for index := range skewowner.demand {
		skewowner.demand[index] *= factor
	}
	skewowner.decayedAt = now
}

// load returns the load per slot of the owner's keys from first to last.
func (skewowner *skewOwner) load(first, last int) float64 {
	sum := 0.0
	for number := lagoonlanding.DemandRangeOf(first); number <= lagoonlanding.DemandRangeOf(last); number++ {
		sum += skewowner.demand[number]
	}
	return sum * math.Ln2 / skewHalfLife / skewSlots
}

// shed lets each owner decide whether keys move.
func (skewrun *skewRun) shed() {
	now := skewrun.simulation.Elapsed()
	for _, id := range skewrun.ids {
		if now < skewrun.settledAt+skewSettleTime {
			return
		}
		donor := skewrun.owners[id]
		donor.decay(now)
		config := allocator.ShedConfig{Donor: id, Utilization: donor.load(0, allocator.Keys-1), MeanRunTime: donor.meanRunTime(), LoadOf: donor.load}
		for _, other := range skewrun.ids {
			if other != id {
				receiver := skewrun.owners[other]
				config.Receivers = append(config.Receivers, allocator.ReceiverConfig{
					ID: other, Utilization: float64(receiver.running+len(receiver.waiting)) / skewSlots, MeanRunTime: receiver.meanRunTime(),
				})
			}
		}
		if next, ok := skewrun.allotment.Shed(config); ok {
			skewrun.apply(now, id, next)
		}
	}
}

func (skewowner *skewOwner) meanRunTime() time.Duration {
	return time.Duration(float64(skewRunTime) / skewowner.speed)
}

// apply moves stripes, which are unavailable for the time of the move.
func (skewrun *skewRun) apply(now time.Duration, donor lagoonlanding.BackendID, next *allocator.Allotment) {
	for number, stripe := range next.Stripes() {
		if stripe.Owner() != skewrun.allotment.Stripes()[number].Owner() {
			skewrun.movingUntil[number] = now + skewMoveTime
			skewrun.moved++
		}
	}
	skewrun.allotment, _ = next.Release(donor, func(int, int) (string, bool) { return "proof", true })
	skewrun.settledAt = now
}
