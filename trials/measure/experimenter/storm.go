package experimenter

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/lagoonlanding/requests/retrier"
	"lagoonlanding.example/lagoonlanding/requests/scheduler"
	"lagoonlanding.example/measure/faker"
	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/sequencer"
	"lagoonlanding.example/measure/tabulator"
)

// The parameters of the retry storm experiment.
const (
	stormDownAt         = 2 * time.Second
	stormUpAt           = 7 * time.Second
	stormEnd            = 15 * time.Second
	stormLoad           = 0.6
	stormWarmUpRequests = 12
	stormDeadline       = 2 * time.Second
	stormBackoff        = 25 * time.Millisecond
	stormSampleInterval = 200 * time.Millisecond
)

// stormVariant is a retry policy that the experiment compares.
type stormVariant struct {
	name          string
	budget        retrier.BudgetConfig
	maxAttempts   int
	fixedInterval bool
	noSlowStart   bool
}

// RetryStorm takes the service down for five seconds while its callers retry.
func RetryStorm(seed uint64) Result {
	unlimited := retrier.BudgetConfig{Share: 1000, Burst: 1e9}
	const manyAttempts = 1000
	variants := []stormVariant{
		{name: "unlimited, every 25 ms, no ramp", budget: unlimited, maxAttempts: manyAttempts, fixedInterval: true, noSlowStart: true},
		{name: "unlimited, every 25 ms", budget: unlimited, maxAttempts: manyAttempts, fixedInterval: true},
		{name: "six tries with jitter, no budget", budget: unlimited, maxAttempts: 6},
		{name: "six tries with jitter, budget of a tenth", budget: defaultBudget(), maxAttempts: 6},
	}
	table := tabulator.NewTable(
		"The service is down from 2 s to 7 s and returns cold; load 60 %, callers wait 2 s",
		"tries for each request while down", "tries a second in the second after", "time to full service in s", "failed after return in 1000")
	var lines []*plotter.Line
	for _, variant := range variants {
		run := runStorm(seed, variant)
		table.Add(variant.name, run.attemptsPerRequestDown(), float64(run.attemptsAfter), run.timeToFull.Seconds(), run.tallyAfter.failedPerMille())
		lines = append(lines, run.line)
	}
	return Result{tables: []*tabulator.Table{table}, charts: []plotter.Chart{plotter.NewChart(plotter.ChartConfig{
		Name: "retry-storm", Title: fmt.Sprintf("Tries before and after an outage from 2 s to 7 s (seed %d)", seed),
		X: "time in s", Y: "tries a second", Lines: lines,
	})}}
}

func defaultBudget() retrier.BudgetConfig {
	return retrier.BudgetConfig{Share: retrier.DefaultShare, Burst: retrier.DefaultBurst}
}

// stormRun is one run of the retry storm experiment.
type stormRun struct {
	simulation *sequencer.Simulation
	variant    stormVariant
	node       *faker.Node
	retrier    *retrier.Retrier
	// tallyAfter counts the requests that are answered by an attempt after the return of the service, or fail after it.
	tallyAfter   *tally
	line         *plotter.Line
	attempts     int
	requestsDown int
	attemptsDown int
	// attemptsAfter counts the attempts in the first second after the return of the service.
	attemptsAfter int
	answered      int
	timeToFull    time.Duration
}

func (stormrun *stormRun) attemptsPerRequestDown() float64 {
	return float64(stormrun.attemptsDown) / float64(max(stormrun.requestsDown, 1))
}

func runStorm(seed uint64, variant stormVariant) *stormRun {
	simulation := sequencer.NewSimulation(seed)
	run := &stormRun{simulation: simulation, variant: variant, tallyAfter: newTally(), line: plotter.NewLine(variant.name), timeToFull: stormEnd - stormUpAt}
	run.retrier = retrier.NewRetrier(retrier.Config{
		Budget: retrier.NewBudget(variant.budget), MaxAttempts: variant.maxAttempts, BaseBackoff: stormBackoff, Random: simulation.Random(),
	})
	run.node = faker.NewNode(faker.NodeConfig{
		Simulation: simulation,
		Backend:    faker.NewBackend(faker.BackendConfig{Simulation: simulation, Slots: slots, WarmUpRequests: stormWarmUpRequests}),
		Limiter: limiter.NewLimiter(limiter.Config{
			Slots: slots, Connections: connections, Queue: queue, Scheduler: scheduler.NewDefault(slots), Warm: variant.noSlowStart,
		}),
	})
	warmUp(simulation, run.node)
	simulation.Arrivals(func() float64 { return stormLoad * capacity }, stormEnd, run.submitNew)
	simulation.After(stormDownAt, func() { run.node.Backend().SetDown(true) })
	simulation.After(stormUpAt, func() {
		run.node.Backend().SetDown(false)
		run.node.Backend().SetCold()
	})
	simulation.Every(stormSampleInterval, run.sample)
	simulation.Run()
	return run
}

func (stormrun *stormRun) submitNew() {
	stormrun.retrier.Start()
	if stormrun.isDown() {
		stormrun.requestsDown++
	}
	request := lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
		Idempotent: true, Deadline: stormrun.simulation.Now().Add(stormDeadline),
	})
	stormrun.attempt(request, stormrun.simulation.Now(), 1)
}

// isDown reports whether the simulated time is within the outage.
func (stormrun *stormRun) isDown() bool {
	return stormrun.simulation.Elapsed() >= stormDownAt && stormrun.simulation.Elapsed() < stormUpAt
}

// attempt submits one attempt of the request, and retries it if it is not answered.
func (stormrun *stormRun) attempt(request lagoonlanding.Request, started time.Time, attempts int) {
	stormrun.attempts++
	if stormrun.isDown() {
		stormrun.attemptsDown++
	}
	if since := stormrun.simulation.Elapsed() - stormUpAt; since >= 0 && since < time.Second {
		stormrun.attemptsAfter++
	}
	isAfter := stormrun.simulation.Elapsed() >= stormUpAt
	stormrun.node.Submit(faker.JobConfig{
		QueuedRequest: lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{Tenant: "tags", Class: "status", Deadline: request.Deadline()}),
		RunTime:       randomRunTime(stormrun.simulation.Random(), meanRunTime),
		Done: func(reason lagoonlanding.Reason, result limiter.Result) {
			if reason == lagoonlanding.ReasonNone && result == limiter.Served {
				stormrun.answered++
				if isAfter {
					stormrun.tallyAfter.recordAnswer(stormrun.simulation.Now().Sub(started))
				}
				return
			}
			stormrun.retry(request, started, attempts, reason)
		},
	})
}

// retry schedules a retry if the policy allows it.
func (stormrun *stormRun) retry(request lagoonlanding.Request, started time.Time, attempts int, reason lagoonlanding.Reason) {
	if reason == lagoonlanding.ReasonNone {
		reason = lagoonlanding.ReasonUpstreamFailed
	}
	now := stormrun.simulation.Now()
	at, ok := stormrun.retrier.Retry(now, request, lagoonlanding.Refuse(request, reason), attempts)
	if stormrun.variant.fixedInterval {
		at, ok = now.Add(stormBackoff), now.Add(stormBackoff).Before(request.Deadline())
	}
	if !ok {
		if stormrun.simulation.Elapsed() >= stormUpAt {
			stormrun.tallyAfter.recordFailure()
		}
		return
	}
	stormrun.simulation.After(at.Sub(now), func() { stormrun.attempt(request, started, attempts+1) })
}

// sample records the rate of attempts and when the service has returned to its full rate.
func (stormrun *stormRun) sample() bool {
	elapsed := stormrun.simulation.Elapsed()
	stormrun.line.Add(elapsed.Seconds(), float64(stormrun.attempts)/stormSampleInterval.Seconds())
	rate := float64(stormrun.answered) / stormSampleInterval.Seconds()
	if since := elapsed - stormUpAt; since > 0 && rate >= coldFullRatio*stormLoad*capacity-3*coldRateDeviation {
		stormrun.timeToFull = min(stormrun.timeToFull, since)
	}
	stormrun.attempts, stormrun.answered = 0, 0
	return elapsed < stormEnd
}
