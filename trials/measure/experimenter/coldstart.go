package experimenter

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/lagoonlanding/requests/scheduler"
	"lagoonlanding.example/measure/faker"
	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/sequencer"
	"lagoonlanding.example/measure/tabulator"
)

// The parameters of the cold start experiment.
const (
	coldStartAt        = 2 * time.Second
	coldEnd            = 12 * time.Second
	coldLoad           = 0.9
	coldDeadline       = 250 * time.Millisecond
	coldSampleInterval = 100 * time.Millisecond
	// coldFullRatio is the fraction of the offered rate above which the service is at its full rate again.
	coldFullRatio = 0.95
)

// ColdStart makes the backend server cold under load, with and without a reset of its connections, for several rates of warming up.
func ColdStart(seed uint64) Result {
	var result Result
	for _, isSilent := range []bool{false, true} {
		reset := "with its connections reset"
		if isSilent {
			reset = "without a reset"
		}
		table := tabulator.NewTable(
			fmt.Sprintf("A backend server turns cold %s at %.0f %% load; it sustains one more request after each given number of completions", reset, 100*coldLoad),
			"time to full service in s", "largest excess of requests", "requests in excess", "failed in 1000")
		var lines []*plotter.Line
		for _, warmUpRequests := range []int{8, 16, 32} {
			for _, isWarm := range []bool{true, false} {
				name := fmt.Sprintf("no ramp, %d completions", warmUpRequests)
				if !isWarm {
					name = fmt.Sprintf("ramp, %d completions", warmUpRequests)
				}
				run := runColdStart(seed, isSilent, isWarm, warmUpRequests, name)
				table.Add(name, run.timeToFull.Seconds(), float64(run.node.Backend().MaxExcess()),
					float64(run.node.Backend().ExcessRequests()), run.tally.failedPerMille())
				lines = append(lines, run.line)
			}
		}
		result.tables = append(result.tables, table)
		result.charts = append(result.charts, plotter.NewChart(plotter.ChartConfig{
			Name:  map[bool]string{false: "cold-start-reset", true: "cold-start-silent"}[isSilent],
			Title: fmt.Sprintf("A backend server turns cold at 2 s %s (seed %d)", reset, seed),
			X:     "time in s", Y: "answered a second", Lines: lines,
		}))
	}
	return result
}

// coldRun is one run of the cold start experiment.
type coldRun struct {
	node       *faker.Node
	tally      *tally
	line       *plotter.Line
	timeToFull time.Duration
}

func runColdStart(seed uint64, isSilent, isWarm bool, warmUpRequests int, name string) *coldRun {
	simulation := sequencer.NewSimulation(seed)
	run := &coldRun{tally: newTally(), line: plotter.NewLine(name), timeToFull: coldEnd}
	run.node = faker.NewNode(faker.NodeConfig{
		Simulation: simulation,
		Backend:    faker.NewBackend(faker.BackendConfig{Simulation: simulation, Slots: slots, WarmUpRequests: warmUpRequests}),
		Limiter: limiter.NewLimiter(limiter.Config{
			Slots: slots, Connections: connections, Queue: queue, Scheduler: scheduler.NewDefault(slots), Warm: isWarm,
		}),
	})
	warmUp(simulation, run.node)
	simulation.Arrivals(func() float64 { return coldLoad * capacity }, coldEnd, func() {
		submit(simulation, run.node, run.tally, "tags", "status", randomRunTime(simulation.Random(), meanRunTime), coldDeadline)
	})
	simulation.After(coldStartAt, func() {
		if isSilent {
			run.node.Backend().SetCold()
			return
		}
		run.node.Backend().Crash(coldSampleInterval)
	})
	run.sample(simulation)
	simulation.Run()
	return run
}

// sample records the rate of answers and when it has returned to its full value for the rest of the experiment.
func (coldrun *coldRun) sample(simulation *sequencer.Simulation) {
	lastAnswered, isFull := 0, true
	simulation.Every(coldSampleInterval, func() bool {
		rate := float64(coldrun.tally.answered-lastAnswered) / coldSampleInterval.Seconds()
		lastAnswered = coldrun.tally.answered
		coldrun.line.Add(simulation.Elapsed().Seconds(), rate)
		isFullNow := rate >= coldFullRatio*coldLoad*capacity-3*coldRateDeviation
		if since := simulation.Elapsed() - coldStartAt; since > 0 && isFullNow && !isFull {
			coldrun.timeToFull = since
		}
		isFull = isFullNow
		if !isFullNow {
			coldrun.timeToFull = coldEnd - coldStartAt
		}
		return simulation.Elapsed() < coldEnd
	})
}

// coldRateDeviation is the standard deviation of the rate in one interval at full rate, in requests per second.
const coldRateDeviation = 116
