package loadsimulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/chooser"
)

// Simulation runs the decisions of many daemons against modelled servers: a gate as in mesh/gatekeeper (first come, first served; it refuses what
// would start too late), no network but its latency, and no bytes.
type Simulation struct {
	config   Config
	random   *rand.Rand
	now      time.Time
	events   events
	sequence int
	servers  []*modelServer
	backends []lagoonlanding.Backend
	// numbers maps the servers' daemons to their positions.
	numbers map[string]int
	daemons []*modelDaemon
	tally   Tally
}

// Config holds the parameters of a Simulation.
type Config struct {
	// Samples means that the choosers draw candidates instead of comparing all.
	Samples bool
	// Load is the mean demand over the mean capacity; Swing is its amplitude in each zone, in waves of the given period.
	Load, Swing float64
	Period      time.Duration
	// ReportsSlowdown means that machines report their slowdown.
	ReportsSlowdown bool
	// Duration is the simulated time, of which the first ten seconds don't count for the ratio of busiest to mean load.
	Duration time.Duration
	// Seed selects the random numbers.
	Seed uint64
	// Servers with Slots each, and Daemons, are spread evenly over four zones in two regions; the Speeds of a zone's servers repeat.
	Servers, Slots, Daemons int
	Speeds                  []float64
	// RunTime is the mean run time at a speed of one, which varies by half; Objective is the latency objective.
	RunTime, Objective time.Duration
}

// UnevenDemand is the deployment of the page's name.
func UnevenDemand(load float64) Config {
	return Config{
		Load: load, Swing: 0.55, Period: 17 * time.Second, ReportsSlowdown: true, Duration: 27 * time.Second, Seed: 7,
		Servers: 50, Slots: 13, Daemons: 64, Speeds: []float64{0.6, 1.0, 1.4, 0.7, 1.6}, RunTime: 138 * time.Millisecond, Objective: 500 * time.Millisecond,
	}
}

// CompetingCallers is service 2 of the deployment of the page's name: more daemons than requests in progress, so reports are seconds old.
func CompetingCallers(load float64) Config {
	return Config{
		Load: load, Swing: 0.1, Period: 17 * time.Second, ReportsSlowdown: true, Duration: 27 * time.Second, Seed: 7,
		Servers: 20, Slots: 9, Daemons: 76, Speeds: []float64{0.7, 0.7, 1.6, 0.6, 1.4}, RunTime: 210 * time.Millisecond, Objective: 600 * time.Millisecond,
	}
}

// Tally counts what callers got in a simulation.
type Tally struct {
	requests, inTime, late, refused, arrivals, rejected, remote int
	// ratios are the busiest over the mean load of each interval.
	ratios []float64
}

// event is something that happens at a time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a heap, the earliest first.
type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(a, b int) bool {
	return events[a].at.Before(events[b].at) || events[a].at.Equal(events[b].at) && events[a].sequence < events[b].sequence
}
func (events events) Swap(a, b int) { events[a], events[b] = events[b], events[a] }
func (events *events) Push(x any)   { *events = append(*events, x.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// modelServer is a backend server with the gate in front of it.
type modelServer struct {
	backend     lagoonlanding.Backend
	speed       float64
	slowPhase   time.Duration
	running     int
	queue       []*modelTask
	meanRunTime float64
	// work is the accepted work in seconds per slot, at the server's own speed.
	work float64
}

// modelTask is a request at a server.
type modelTask struct {
	objective time.Time
	finish    func(result lagoonlanding.Result)
}

// modelDaemon is a daemon that accepts requests.
type modelDaemon struct {
	zone    int
	chooser *chooser.Chooser
}

const (
	modelZones = 4
	// maxTries and maxRefusals are those of mesh/forwarder.
	maxTries, maxRefusals = 16, 12
)

// New returns a simulation that has not started.
func New(config Config) *Simulation {
	created := &Simulation{config: config, random: rand.New(rand.NewPCG(config.Seed, 1)), now: time.Unix(1000, 0), numbers: map[string]int{}}
	for number := range config.Servers {
		zone := number % modelZones
		created.backends = append(created.backends, lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
			ID: lagoonlanding.NewBackendID(fmt.Sprint("d", number), "b", 1), Region: fmt.Sprint("r", zone/2), AvailabilityZone: fmt.Sprint("z", zone),
			Service: "s", Slots: config.Slots, State: lagoonlanding.BackendReady,
		}))
		created.numbers[created.backends[number].ID().Daemon()] = number
		created.servers = append(created.servers, &modelServer{
			backend: created.backends[number], speed: config.Speeds[(number/modelZones)%len(config.Speeds)],
			slowPhase: time.Duration(created.random.Int64N(int64(2 * time.Second))), meanRunTime: 0.2,
		})
	}
	for number := range config.Daemons {
		zone := number % modelZones
		created.daemons = append(created.daemons, &modelDaemon{zone: zone, chooser: chooser.New(chooser.Config{
			AvailabilityZone: fmt.Sprint("z", zone), Region: fmt.Sprint("r", zone/2), ZoneCost: 20 * time.Millisecond, RegionCost: 400 * time.Millisecond,
			QueueHalfLife: 2 * time.Second, RunTimeHalfLife: 8 * time.Second, AvoidTerm: time.Second, Random: created.random,
			Samples: config.Samples, IntN: created.random.IntN,
		})})
	}
	return created
}

func (simulation *Simulation) at(at time.Time, run func()) {
	simulation.sequence++
	heap.Push(&simulation.events, event{at: at, sequence: simulation.sequence, run: run})
}

// Run runs the simulation and returns its counts.
func (simulation *Simulation) Run() Tally {
	start := simulation.now
	end := start.Add(simulation.config.Duration)
	capacity := 0.0
	for _, server := range simulation.servers {
		capacity += server.speed * (0.8 + 0.2/3) * float64(simulation.config.Slots) / simulation.config.RunTime.Seconds()
	}
	for _, daemon := range simulation.daemons {
		simulation.arrive(daemon, start, simulation.config.Load*capacity/float64(simulation.config.Daemons))
	}
	for at := start.Add(measureInterval); !at.After(end); at = at.Add(measureInterval) {
		simulation.at(at, func() { simulation.measure(start) })
	}
	for len(simulation.events) > 0 && simulation.events[0].at.Before(end) {
		next := heap.Pop(&simulation.events).(event)
		simulation.now = next.at
		next.run()
	}
	return simulation.tally
}

// arrive schedules the next request at a daemon.
func (simulation *Simulation) arrive(daemon *modelDaemon, start time.Time, meanRate float64) {
	phase := simulation.now.Sub(start).Seconds()/simulation.config.Period.Seconds() + float64(daemon.zone)/modelZones
	rate := meanRate * (1 + simulation.config.Swing*math.Sin(2*math.Pi*phase))
	simulation.at(simulation.now.Add(time.Duration(simulation.random.ExpFloat64()/rate*float64(time.Second))), func() {
		simulation.tally.requests++
		request := &modelRequest{simulation: simulation, daemon: daemon, received: simulation.now, tried: map[string]bool{}, refusals: map[string]int{}}
		request.try()
		simulation.arrive(daemon, start, meanRate)
	})
}

// measureInterval is the time over which the busiest and the mean load are compared.
const measureInterval = 2 * time.Second

// measure records the busiest over the mean load of the last interval, after the first ten seconds.
func (simulation *Simulation) measure(start time.Time) {
	busiest, sum := 0.0, 0.0
	for _, server := range simulation.servers {
		busiest, sum = max(busiest, server.work), sum+server.work
		server.work = 0
	}
	if simulation.now.Sub(start) > 10*time.Second {
		simulation.tally.ratios = append(simulation.tally.ratios, busiest/(sum/float64(len(simulation.servers))))
	}
}

// modelRequest is one request with its tries; it is the filter of its choices.
type modelRequest struct {
	simulation *Simulation
	daemon     *modelDaemon
	received   time.Time
	tried      map[string]bool
	refusals   map[string]int
}

// AllowsRegion reports whether a server of the region may be tried.
func (request *modelRequest) AllowsRegion(region string) bool {
	return request.refusals[region] < maxRefusals
}

// Allows reports whether the server has not been tried.
func (request *modelRequest) Allows(candidate lagoonlanding.Backend) bool {
	return !request.tried[candidate.ID().Daemon()]
}

func (request *modelRequest) try() {
	simulation := request.simulation
	number, ok := request.choose()
	if !ok || len(request.tried) >= maxTries {
		simulation.tally.refused++
		return
	}
	server, daemon := simulation.servers[number], simulation.servers[number].backend.ID().Daemon()
	request.tried[daemon] = true
	request.daemon.chooser.Sent(daemon)
	latency := 250 * time.Microsecond
	switch {
	case number%modelZones/2 != request.daemon.zone/2:
		latency = 8 * time.Millisecond
		simulation.tally.remote++
	case number%modelZones != request.daemon.zone:
		latency = 4900 * time.Microsecond
	}
	simulation.at(simulation.now.Add(latency), func() {
		simulation.tally.arrivals++
		simulation.offer(server, &modelTask{objective: request.received.Add(simulation.config.Objective), finish: func(result lagoonlanding.Result) {
			simulation.at(simulation.now.Add(latency), func() { request.done(server, result) })
		}})
	})
}

func (request *modelRequest) choose() (int, bool) {
	simulation := request.simulation
	if simulation.config.Samples {
		need := lagoonlanding.NewNeed(request.received.Add(simulation.config.Objective), 0, 0)
		backend, ok := request.daemon.chooser.Pick(simulation.now, need, simulation.backends, request)
		if !ok {
			return 0, false
		}
		return simulation.numbers[backend.ID().Daemon()], true
	}
	var candidates []lagoonlanding.Backend
	var numbers []int
	for number, candidate := range simulation.backends {
		if request.AllowsRegion(candidate.Region()) && request.Allows(candidate) {
			candidates, numbers = append(candidates, candidate), append(numbers, number)
		}
	}
	index := request.daemon.chooser.Choose(simulation.now, candidates)
	if index < 0 {
		return 0, false
	}
	return numbers[index], true
}

func (request *modelRequest) done(server *modelServer, result lagoonlanding.Result) {
	simulation := request.simulation
	request.daemon.chooser.Done(simulation.now, server.backend.ID().Daemon(), result)
	if result.Outcome() == lagoonlanding.OutcomeNotRun {
		request.refusals[server.backend.Region()]++
		if server.backend.Region() != fmt.Sprint("r", request.daemon.zone/2) {
			request.refusals[server.backend.Region()] = maxRefusals
		}
		request.try()
		return
	}
	if simulation.now.Sub(request.received) <= simulation.config.Objective {
		simulation.tally.inTime++
	} else {
		simulation.tally.late++
	}
}

// slowdown returns how many times as long as usual work takes on the machine: three times for 400 ms of every 2 s.
func (server *modelServer) slowdown(now time.Time) float64 {
	if (time.Duration(now.UnixNano())+server.slowPhase)%(2*time.Second) < 400*time.Millisecond {
		return 3
	}
	return 1
}

func (simulation *Simulation) load(server *modelServer) lagoonlanding.Load {
	config := lagoonlanding.LoadConfig{
		Waiting: len(server.queue), Running: server.running, Slots: simulation.config.Slots, Open: true,
		MeanRunTime: time.Duration(server.meanRunTime * float64(time.Second)),
	}
	if simulation.config.ReportsSlowdown {
		config.Slowdown = server.slowdown(simulation.now)
	}
	return lagoonlanding.NewLoad(config)
}

// offer lets a task start, wait, or be refused.
func (simulation *Simulation) offer(server *modelServer, task *modelTask) {
	wait := server.meanRunTime * float64(len(server.queue)) / float64(simulation.config.Slots)
	if server.running >= simulation.config.Slots {
		wait += server.meanRunTime / float64(simulation.config.Slots+1)
	}
	startBy := task.objective.Add(-time.Duration(2 * server.meanRunTime * float64(time.Second)))
	isFree := len(server.queue) == 0 && server.running < simulation.config.Slots
	if !isFree && (len(server.queue) >= 64 || simulation.now.Add(time.Duration(wait*float64(time.Second))).After(startBy)) {
		simulation.tally.rejected++
		task.finish(lagoonlanding.NewResult(lagoonlanding.ResultConfig{
			Outcome: lagoonlanding.OutcomeNotRun, Reason: lagoonlanding.ReasonQueueFull, Load: simulation.load(server),
		}))
		return
	}
	server.queue = append(server.queue, task)
	simulation.start(server)
}

// start starts waiting tasks; the slowdown advances in steps of a task's twentieth part.
func (simulation *Simulation) start(server *modelServer) {
	for server.running < simulation.config.Slots && len(server.queue) > 0 {
		task := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		began := simulation.now
		work := time.Duration((0.5 + simulation.random.Float64()) * float64(simulation.config.RunTime) / server.speed)
		ends := began
		server.work += work.Seconds() / float64(simulation.config.Slots)
		for step := work / 20; work > 0; work -= step {
			ends = ends.Add(time.Duration(float64(step) * server.slowdown(ends)))
		}
		simulation.at(ends, func() {
			server.running--
			server.meanRunTime += (simulation.now.Sub(began).Seconds() - server.meanRunTime) * 0.05
			simulation.start(server)
			task.finish(lagoonlanding.NewResult(lagoonlanding.ResultConfig{Outcome: lagoonlanding.OutcomeAnswered, Load: simulation.load(server)}))
		})
	}
}

// Ratio returns the busiest over the mean load, averaged over the intervals.
func (tally Tally) Ratio() float64 {
	sum := 0.0
	for _, ratio := range tally.ratios {
		sum += ratio
	}
	return sum / float64(max(len(tally.ratios), 1))
}

// Missed returns the number of requests that were late or refused.
func (tally Tally) Missed() int { return tally.late + tally.refused }

// Tries returns the tries per request.
func (tally Tally) Tries() float64 { return float64(tally.arrivals) / float64(tally.requests) }

// String formats the counts for logs.
func (tally Tally) String() string {
	share := func(count int) float64 { return 100 * float64(count) / float64(tally.requests) }
	return fmt.Sprintf("busiest/mean %.2f, in time %.1f%%, late %.2f%%, refused %.2f%%, tries %.3f, rejected arrivals %.2f%%, other region %.2f%%", tally.Ratio(),
		share(tally.inTime), share(tally.late), share(tally.refused), tally.Tries(),
		100*float64(tally.rejected)/float64(tally.arrivals), share(tally.remote))
}
