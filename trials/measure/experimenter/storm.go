package experimenter

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/lagoonlanding/requests/retrier"
	"lagoonlanding.example/lagoonlanding/requests/scheduler"
	"lagoonlanding.example/measure/faker"
	"lagoonlanding.example/measure/player"
	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/tabulator"
)

// The course of the retry storm experiment.
const (
	stormDown     = 2 * time.Second
	stormBack     = 7 * time.Second
	stormEnd      = 15 * time.Second
	stormLoad     = 0.6
	stormWarmth   = 12
	stormDeadline = 2 * time.Second
	stormPause    = 25 * time.Millisecond
	stormStep     = 200 * time.Millisecond
)

// stormWay is one way of trying again that the experiment compares.
type stormWay struct {
	name    string
	budget  retrier.BudgetConfig
	tries   int
	noPause bool
	noRamp  bool
}

// RetryStorm takes the service down for five seconds while its callers try again.
func RetryStorm(seed uint64) Result {
	unlimited := retrier.BudgetConfig{Share: 1000, Burst: 1e9}
	const many = 1000
	ways := []stormWay{
		{name: "unlimited, every 25 ms, no ramp", budget: unlimited, tries: many, noPause: true, noRamp: true},
		{name: "unlimited, every 25 ms", budget: unlimited, tries: many, noPause: true},
		{name: "six tries with jitter, no budget", budget: unlimited, tries: 6},
		{name: "six tries with jitter, budget of a tenth", budget: budgetOfATenth(), tries: 6},
	}
	table := tabulator.NewTable(
		"The service is down from 2 s to 7 s and returns cold; load 60 %, callers wait 2 s",
		"tries for each request while down", "tries a second in the second after", "time to full service in s", "failed after return in 1000")
	var lines []*plotter.Line
	for _, way := range ways {
		run := runStorm(seed, way)
		table.Add(way.name, run.triesWhileDown(), float64(run.triesAfter), run.full.Seconds(), run.after.failedPerMille())
		lines = append(lines, run.line)
	}
	return Result{tables: []*tabulator.Table{table}, charts: []plotter.Chart{plotter.NewChart(plotter.ChartConfig{
		Name: "retry-storm", Title: fmt.Sprintf("Tries before and after an outage from 2 s to 7 s (seed %d)", seed),
		X: "time in s", Y: "tries a second", Lines: lines,
	})}}
}

func budgetOfATenth() retrier.BudgetConfig {
	return retrier.BudgetConfig{Share: retrier.DefaultShare, Burst: retrier.DefaultBurst}
}

type stormRun struct {
	simulation *player.Simulation
	way        stormWay
	node       *faker.Node
	retrier    *retrier.Retrier
	after      *tally
	line       *plotter.Line
	tries      int
	firstDown  int
	triesDown  int
	triesAfter int
	answered   int
	full       time.Duration
}

func (stormrun *stormRun) triesWhileDown() float64 {
	return float64(stormrun.triesDown) / float64(max(stormrun.firstDown, 1))
}

func runStorm(seed uint64, way stormWay) *stormRun {
	simulation := player.NewSimulation(seed)
	run := &stormRun{simulation: simulation, way: way, after: newTally(), line: plotter.NewLine(way.name), full: stormEnd - stormBack}
	run.retrier = retrier.NewRetrier(retrier.Config{
		Budget: retrier.NewBudget(way.budget), Tries: way.tries, Pause: stormPause, Random: simulation.Random(),
	})
	run.node = faker.NewNode(faker.NodeConfig{
		Simulation: simulation,
		Backend:    faker.NewBackend(faker.BackendConfig{Simulation: simulation, Slots: slots, SlotCompletions: stormWarmth}),
		Limiter: limiter.NewServer(limiter.Config{
			Slots: slots, Connections: connections, Queue: queue, Order: scheduler.NewOrder(slots), Warm: way.noRamp,
		}),
	})
	warmUp(simulation, run.node)
	simulation.Arrivals(func() float64 { return stormLoad * capacity }, stormEnd, run.arrive)
	simulation.After(stormDown, func() { run.node.Backend().SetDown(true) })
	simulation.After(stormBack, func() {
		run.node.Backend().SetDown(false)
		run.node.Backend().SetCold()
	})
	simulation.Every(stormStep, run.watch)
	simulation.Run()
	return run
}

func (stormrun *stormRun) arrive() {
	stormrun.retrier.Start()
	if stormrun.isDown() {
		stormrun.firstDown++
	}
	request := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		Idempotent: true, Deadline: stormrun.simulation.Now().Add(stormDeadline),
	})
	stormrun.try(request, stormrun.simulation.Now(), 1)
}

func (stormrun *stormRun) isDown() bool {
	return stormrun.simulation.Elapsed() >= stormDown && stormrun.simulation.Elapsed() < stormBack
}

func (stormrun *stormRun) try(request lagoonlanding.Request, started time.Time, tries int) {
	stormrun.tries++
	if stormrun.isDown() {
		stormrun.triesDown++
	}
	if since := stormrun.simulation.Elapsed() - stormBack; since >= 0 && since < time.Second {
		stormrun.triesAfter++
	}
	isAfter := stormrun.simulation.Elapsed() >= stormBack
	stormrun.node.Submit(faker.JobConfig{
		QueuedRequest: lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{Tenant: "tags", Class: "status", Deadline: request.Deadline()}),
		RunTime:       draw(stormrun.simulation.Random(), meanTime),
		Done: func(reason lagoonlanding.Reason, result limiter.Result) {
			if reason == lagoonlanding.ReasonNone && result == limiter.Served {
				stormrun.answered++
				if isAfter {
					stormrun.after.answer(stormrun.simulation.Now().Sub(started))
				}
				return
			}
			stormrun.again(request, started, tries, reason)
		},
	})
}

// again tries once more if the way allows it.
func (stormrun *stormRun) again(request lagoonlanding.Request, started time.Time, tries int, reason lagoonlanding.Reason) {
	if reason == lagoonlanding.ReasonNone {
		reason = lagoonlanding.ReasonUpstreamFailed
	}
	now := stormrun.simulation.Now()
	at, ok := stormrun.retrier.Retry(now, request, lagoonlanding.Refuse(request, reason), tries)
	if stormrun.way.noPause {
		at, ok = now.Add(stormPause), now.Add(stormPause).Before(request.Deadline())
	}
	if !ok {
		if stormrun.simulation.Elapsed() >= stormBack {
			stormrun.after.fail()
		}
		return
	}
	stormrun.simulation.After(at.Sub(now), func() { stormrun.try(request, started, tries+1) })
}

// watch notes the rate of tries and when the service is full again.
func (stormrun *stormRun) watch() bool {
	elapsed := stormrun.simulation.Elapsed()
	stormrun.line.Add(elapsed.Seconds(), float64(stormrun.tries)/stormStep.Seconds())
	rate := float64(stormrun.answered) / stormStep.Seconds()
	if since := elapsed - stormBack; since > 0 && rate >= coldFull*stormLoad*capacity-3*coldNoise {
		stormrun.full = min(stormrun.full, since)
	}
	stormrun.tries, stormrun.answered = 0, 0
	return elapsed < stormEnd
}
