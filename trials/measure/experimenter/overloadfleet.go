package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/admitter"
	"lagoonlanding.example/lagoonlanding/mesh/chooser"
	"lagoonlanding.example/lagoonlanding/mesh/gatekeeper"
	"lagoonlanding.example/measure/sequencer"
)

const (
	overloadServers, overloadSlots, overloadOrigins = 8, 8, 16
	overloadHop                                     = 2 * time.Millisecond
	// overloadPoll is the interval at which a queued task asks the gate for its decision.
	overloadPoll     = 5 * time.Millisecond
	overloadDeadline = time.Second
	// formerMaxRefusals is the number of servers that a refused request asks without overload control.
	formerMaxRefusals = 12
	// runTimeSpread is that of the log-normal run times; one in a hundred takes five times as long.
	runTimeSpread = 0.65
	// meanFactor is the mean of the run times over the usual one.
	meanFactor = 1.04
)

// overloadRoute is a route of the experiment.
type overloadRoute struct {
	name, service                string
	runTime, objective, deadline time.Duration
	priority                     int
}

var (
	urgentRoute = overloadRoute{"urgent", "front", 110 * time.Millisecond, 400 * time.Millisecond, overloadDeadline, 0}
	usualRoute  = overloadRoute{"usual", "front", 160 * time.Millisecond, 500 * time.Millisecond, overloadDeadline, 1}
	calledRoute = overloadRoute{"called", "called", 40 * time.Millisecond, 150 * time.Millisecond, overloadDeadline / 2, 1}
	ownRoute    = overloadRoute{"own", "called", 210 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond, 1}
)

// clock is the time of a simulation.
type clock struct{ simulation *sequencer.Simulation }

// Now returns the simulated time.
func (clock clock) Now() time.Time { return clock.simulation.Now() }

// Until returns a channel that never receives: the simulation polls.
func (clock clock) Until(time.Time) <-chan time.Time { return nil }

// overloadServer is a gate with its backend server.
type overloadServer struct {
	backend lagoonlanding.Backend
	gate    *gatekeeper.Gate
	speed   float64
	index   int
	origin  *overloadOrigin
}

// overloadOrigin is a daemon that accepts requests.
type overloadOrigin struct {
	chooser *chooser.Chooser
	table   *admitter.Table
	returns *admitter.Returns
}

// overloadRun is one run of the experiment, with what the clients of the front service got.
type overloadRun struct {
	simulation   *sequencer.Simulation
	variant      overloadVariant
	isControlled bool
	servers      map[string]*overloadServer
	backends     map[string][]lagoonlanding.Backend
	origins      []*overloadOrigin
	sequence     int

	requests, inTime, urgentInTime, late, refused, failed, tries, hops, shed int
}

func (overloadrun *overloadRun) percent(count int) float64 {
	return 100 * float64(count) / float64(max(overloadrun.requests, 1))
}

func runOverload(seed uint64, variant overloadVariant, isControlled bool) *overloadRun {
	simulation := sequencer.NewSimulation(seed)
	run := &overloadRun{
		simulation: simulation, variant: variant, isControlled: isControlled, servers: map[string]*overloadServer{},
		backends: map[string][]lagoonlanding.Backend{},
	}
	for index := range overloadOrigins {
		run.origins = append(run.origins, &overloadOrigin{
			chooser: chooser.New(chooser.Config{
				AvailabilityZone: "z", Region: "r", QueueHalfLife: 2 * time.Second, RunTimeHalfLife: 8 * time.Second, AvoidTerm: time.Second,
				Random: rand.New(rand.NewPCG(seed, uint64(index))),
			}),
			table: admitter.NewTable(simulation.Random().Float64), returns: admitter.NewReturns(),
		})
	}
	front := run.addServers("front", overloadServers)
	rate := func() float64 {
		elapsed := simulation.Elapsed()
		share := variant.urgent(elapsed)
		mean := share*urgentRoute.runTime.Seconds() + (1-share)*usualRoute.runTime.Seconds()
		return variant.load(elapsed) * front / mean / meanFactor
	}
	simulation.Arrivals(rate, overloadEnd, func() {
		route := usualRoute
		if simulation.Random().Float64() < variant.urgent(simulation.Elapsed()) {
			route = urgentRoute
		}
		run.submit(route)
	})
	simulation.After(overloadFrom, func() {
		for range variant.herd {
			run.submit(urgentRoute)
		}
	})
	if variant.calls {
		called := run.addServers("called", overloadServers/2)
		// Its own requests need 1.5 times its capacity, less what the calls need.
		own := 1.5*called - rate()*calledRoute.runTime.Seconds()*meanFactor
		simulation.Arrivals(func() float64 { return own / ownRoute.runTime.Seconds() / meanFactor }, overloadEnd, func() {
			run.request(run.origins[simulation.Random().IntN(overloadOrigins)], ownRoute, func(bool) {})
		})
	}
	simulation.Run()
	return run
}

// addServers adds servers of unequal speed and returns the slots that they are worth.
func (overloadrun *overloadRun) addServers(service string, count int) float64 {
	worth := 0.0
	for index := range count {
		name := service + "-" + strconv.Itoa(index)
		gate := gatekeeper.NewGate(gatekeeper.Config{Clock: clock{overloadrun.simulation}, MaxWaiting: 64, OverloadControl: overloadrun.isControlled})
		server := &overloadServer{
			backend: lagoonlanding.NewBackend(lagoonlanding.BackendConfig{
				ID: lagoonlanding.NewBackendID(name, "i-"+name, 1), AvailabilityZone: "z", Region: "r", Service: service, Slots: overloadSlots,
				State: lagoonlanding.BackendReady,
			}),
			gate: gate, speed: []float64{0.6, 1, 1.4}[index%3], index: index, origin: overloadrun.origins[index%overloadOrigins],
		}
		gate.Open(server.backend.ID(), overloadSlots, time.Time{}, 0)
		overloadrun.servers[name] = server
		overloadrun.backends[service] = append(overloadrun.backends[service], server.backend)
		worth += server.speed * overloadSlots
	}
	return worth
}

// submit sends a client's request and counts what the client gets.
func (overloadrun *overloadRun) submit(route overloadRoute) {
	overloadrun.requests++
	started := overloadrun.simulation.Now()
	origin := overloadrun.origins[overloadrun.simulation.Random().IntN(overloadOrigins)]
	overloadrun.request(origin, route, func(isAnswered bool) {
		switch took := overloadrun.simulation.Now().Sub(started); {
		case !isAnswered:
			overloadrun.refused++
		case took <= route.objective:
			overloadrun.inTime++
			if route.priority == 0 {
				overloadrun.urgentInTime++
			}
		default:
			overloadrun.late++
		}
	})
}

// overloadRequest is a request of a client with its retries.
type overloadRequest struct {
	run      *overloadRun
	origin   *overloadOrigin
	route    overloadRoute
	id       int
	deadline time.Time
	tries    int
	done     func(isAnswered bool)
	// owner is the only daemon whose server can run the request, empty if any can.
	owner string
	// task, tried, refusals and retryAt are those of the current try.
	task     lagoonlanding.Task
	tried    map[string]bool
	refusals int
	retryAt  time.Time
}

func (overloadrun *overloadRun) request(origin *overloadOrigin, route overloadRoute, done func(isAnswered bool)) {
	overloadrun.sequence++
	request := &overloadRequest{
		run: overloadrun, origin: origin, route: route, id: overloadrun.sequence, deadline: overloadrun.simulation.Now().Add(route.deadline), done: done,
	}
	if overloadrun.variant.keyed {
		request.owner = overloadrun.drawOwner(route.service)
	}
	request.try()
}

// drawOwner draws a server by its speed.
func (overloadrun *overloadRun) drawOwner(service string) string {
	sum := 0.0
	for _, backend := range overloadrun.backends[service] {
		sum += overloadrun.servers[backend.ID().Daemon()].speed
	}
	point := overloadrun.simulation.Random().Float64() * sum
	for _, backend := range overloadrun.backends[service] {
		if point -= overloadrun.servers[backend.ID().Daemon()].speed; point < 0 {
			return backend.ID().Daemon()
		}
	}
	return overloadrun.backends[service][0].ID().Daemon()
}

// try sends one attempt of the client.
func (overloadrequest *overloadRequest) try() {
	now := overloadrequest.run.simulation.Now()
	overloadrequest.tries++
	if overloadrequest.route.service == "front" {
		overloadrequest.run.tries++
	}
	overloadrequest.tried, overloadrequest.refusals, overloadrequest.retryAt = map[string]bool{}, 0, time.Time{}
	key := lagoonlanding.NoShardKey
	if overloadrequest.owner != "" {
		key = overloadrequest.id % 1000
	}
	overloadrequest.task = lagoonlanding.NewTask(lagoonlanding.TaskConfig{
		ID: fmt.Sprint(overloadrequest.id, "-", overloadrequest.tries), Client: strconv.Itoa(overloadrequest.id), Service: overloadrequest.route.service,
		Route: overloadrequest.route.name, Priority: overloadrequest.route.priority, Received: now, Objective: now.Add(overloadrequest.route.objective),
		Deadline: overloadrequest.deadline, ShardKey: key,
	})
	if overloadrequest.run.isControlled {
		overloadrequest.task = overloadrequest.origin.returns.Arrived(now, overloadrequest.task)
	}
	overloadrequest.ask()
}

// ask sends the attempt to one more server, as the forwarder does, or refuses it.
func (overloadrequest *overloadRequest) ask() {
	run, origin, now := overloadrequest.run, overloadrequest.origin, overloadrequest.run.simulation.Now()
	var candidates []lagoonlanding.Backend
	for _, backend := range run.backends[overloadrequest.route.service] {
		isOwner := overloadrequest.owner == "" || overloadrequest.owner == backend.ID().Daemon()
		if isOwner && !overloadrequest.tried[backend.ID().Daemon()] && overloadrequest.refusals < formerMaxRefusals {
			candidates = append(candidates, backend)
		}
	}
	if run.isControlled {
		if overloadrequest.refusals > 0 && !origin.table.AsksMore(now, overloadrequest.route.service, "r", overloadrequest.refusals) {
			candidates = nil
		}
		candidates = origin.table.Admitting(now, admitter.RankOf(overloadrequest.task), candidates)
	}
	index := origin.chooser.Choose(now, candidates)
	if index < 0 {
		overloadrequest.refuse()
		return
	}
	server := run.servers[candidates[index].ID().Daemon()]
	daemon := server.backend.ID().Daemon()
	overloadrequest.tried[daemon] = true
	if overloadrequest.route.service == "front" {
		run.hops++
	}
	origin.chooser.Sent(daemon)
	run.simulation.After(overloadHop, func() {
		server.accept(run, overloadrequest.task, overloadrequest.route, func(result lagoonlanding.Result) {
			result = result.With(func(config *lagoonlanding.ResultConfig) { config.Load = server.gate.Load() })
			run.simulation.After(overloadHop, func() {
				origin.chooser.Done(run.simulation.Now(), daemon, result)
				isBusy := result.Reason() == lagoonlanding.ReasonQueueFull
				if run.isControlled {
					origin.table.Report(run.simulation.Now(), server.backend, result.Load(), isBusy)
				}
				overloadrequest.handle(result, isBusy)
			})
		})
	})
}

// handle continues after the result of a server.
func (overloadrequest *overloadRequest) handle(result lagoonlanding.Result, isBusy bool) {
	switch {
	case result.Outcome() == lagoonlanding.OutcomeAnswered:
		isAnswered := result.Answer().Status() == http.StatusOK
		if !isAnswered && overloadrequest.route.service == "front" {
			overloadrequest.run.failed++
		}
		overloadrequest.done(isAnswered && overloadrequest.run.simulation.Now().Before(overloadrequest.deadline))
	case isBusy:
		overloadrequest.refusals++
		if overloadrequest.retryAt.IsZero() || result.RetryAt().Before(overloadrequest.retryAt) {
			overloadrequest.retryAt = result.RetryAt()
		}
		overloadrequest.ask()
	default:
		overloadrequest.refuse()
	}
}

// refuse ends an attempt; the client retries once as told, or up to eight times at once if it is impatient.
func (overloadrequest *overloadRequest) refuse() {
	run := overloadrequest.run
	now := run.simulation.Now()
	retryAt := overloadrequest.retryAt
	if run.isControlled {
		retryAt = overloadrequest.origin.table.ReturnAt(now, retryAt, overloadrequest.deadline)
		overloadrequest.origin.returns.Refused(now, overloadrequest.task, retryAt)
	}
	delay, maxTries := min(retryAt.Sub(now), overloadrequest.deadline.Sub(now)/3), 2
	if run.variant.impatient {
		delay, maxTries = impatientDelay, 9
	}
	if overloadrequest.tries >= maxTries || !now.Add(delay).Before(overloadrequest.deadline) {
		overloadrequest.done(false)
		return
	}
	run.simulation.After(delay, overloadrequest.try)
}

// accept admits a task and runs it.
func (overloadserver *overloadServer) accept(run *overloadRun, task lagoonlanding.Task, route overloadRoute, done func(lagoonlanding.Result)) {
	entry, pass, reason, retryAt := overloadserver.gate.Queue(task)
	if entry == nil {
		overloadserver.start(run, pass, reason, retryAt, route, done)
		return
	}
	run.simulation.Every(overloadPoll, func() bool {
		pass, reason, retryAt, isDecided := entry.Poll()
		if isDecided {
			overloadserver.start(run, pass, reason, retryAt, route, done)
		}
		return !isDecided
	})
}

// start runs an admitted task, or returns the refusal.
func (overloadserver *overloadServer) start(
	run *overloadRun, pass *gatekeeper.Pass, reason lagoonlanding.Reason, retryAt time.Time, route overloadRoute, done func(lagoonlanding.Result),
) {
	if pass == nil {
		done(lagoonlanding.NotRun(reason, retryAt))
		return
	}
	random, elapsed := run.simulation.Random(), run.simulation.Elapsed()
	slowdown := run.variant.slowdown(elapsed, overloadserver.index)
	took := route.runTime.Seconds() / overloadserver.speed * slowdown * math.Exp(random.NormFloat64()*runTimeSpread-runTimeSpread*runTimeSpread/2)
	if random.IntN(100) == 0 {
		took *= 5
	}
	end := func(result lagoonlanding.Result, isCompleted bool) {
		advice := lagoonlanding.NewAdvice(lagoonlanding.AdviceConfig{ServerLoad: lagoonlanding.NewServerLoad(lagoonlanding.ServerLoadConfig{
			Running: 1, Slots: overloadSlots, Slowdown: run.variant.slowdown(run.simulation.Elapsed(), overloadserver.index),
		})})
		pass.Advise(advice)
		pass.Observe(result)
		pass.Finish(isCompleted)
		done(result)
	}
	if random.Float64() < 0.5 && run.variant.sheds(elapsed, overloadserver.index) {
		run.shed++
		refused := lagoonlanding.NotRun(lagoonlanding.ReasonUpstreamRefused, run.simulation.Now().Add(50*time.Millisecond))
		end(refused.With(func(config *lagoonlanding.ResultConfig) { config.Delivered = true }), false)
		return
	}
	run.simulation.After(time.Duration(took*float64(time.Second)), func() {
		if !run.variant.calls || route.service != "front" {
			end(statusResult(http.StatusOK), true)
			return
		}
		run.request(overloadserver.origin, calledRoute, func(isAnswered bool) {
			if isAnswered {
				end(statusResult(http.StatusOK), true)
			} else {
				end(statusResult(http.StatusInternalServerError), true)
			}
		})
	})
}

func statusResult(status int) lagoonlanding.Result {
	return lagoonlanding.NewResult(lagoonlanding.ResultConfig{
		Outcome: lagoonlanding.OutcomeAnswered, Delivered: true, Answer: lagoonlanding.NewAnswer(lagoonlanding.AnswerConfig{Status: status}),
	})
}
