package experimenter

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/lagoonlanding/requests/scheduler"
	"lagoonlanding.example/measure/faker"
	"lagoonlanding.example/measure/player"
	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/tabulator"
)

// The course of the cold start experiment.
const (
	coldTurn     = 2 * time.Second
	coldEnd      = 12 * time.Second
	coldLoad     = 0.9
	coldDeadline = 250 * time.Millisecond
	coldStep     = 100 * time.Millisecond
	// coldFull is the part of the offered rate at which the service counts as full again.
	coldFull = 0.95
)

// ColdStart turns the backend server cold under load, once with a reset and once without a sign, for several paces of warming.
func ColdStart(seed uint64) Result {
	var result Result
	for _, isSilent := range []bool{false, true} {
		sign := "with its connections reset"
		if isSilent {
			sign = "without a sign"
		}
		table := tabulator.NewTable(
			fmt.Sprintf("A backend server turns cold %s at %.0f %% load; it bears one more request for each so many completions", sign, 100*coldLoad),
			"time to full service in s", "most above what it bears", "requests above it", "failed in 1000")
		var lines []*plotter.Line
		for _, warmth := range []int{8, 16, 32} {
			for _, isWarm := range []bool{true, false} {
				name := fmt.Sprintf("no ramp, %d completions", warmth)
				if !isWarm {
					name = fmt.Sprintf("ramp, %d completions", warmth)
				}
				run := runColdStart(seed, isSilent, isWarm, warmth, name)
				table.Add(name, run.full.Seconds(), float64(run.node.Backend().MaxExcess()),
					float64(run.node.Backend().ExcessRequests()), run.tally.failedPerMille())
				lines = append(lines, run.line)
			}
		}
		result.tables = append(result.tables, table)
		result.charts = append(result.charts, plotter.NewChart(plotter.ChartConfig{
			Name:  map[bool]string{false: "cold-start-reset", true: "cold-start-silent"}[isSilent],
			Title: fmt.Sprintf("A backend server turns cold at 2 s %s (seed %d)", sign, seed),
			X:     "time in s", Y: "answered a second", Lines: lines,
		}))
	}
	return result
}

type coldRun struct {
	node  *faker.Node
	tally *tally
	line  *plotter.Line
	full  time.Duration
}

func runColdStart(seed uint64, isSilent, isWarm bool, warmth int, name string) *coldRun {
	simulation := player.NewSimulation(seed)
	run := &coldRun{tally: newTally(), line: plotter.NewLine(name), full: coldEnd}
	run.node = faker.NewNode(faker.NodeConfig{
		Simulation: simulation,
		Backend:    faker.NewBackend(faker.BackendConfig{Simulation: simulation, Slots: slots, SlotCompletions: warmth}),
		Limiter: limiter.NewServer(limiter.Config{
			Slots: slots, Connections: connections, Queue: queue, Order: scheduler.NewOrder(slots), Warm: isWarm,
		}),
	})
	warmUp(simulation, run.node)
	simulation.Arrivals(func() float64 { return coldLoad * capacity }, coldEnd, func() {
		submit(simulation, run.node, run.tally, "tags", "status", draw(simulation.Random(), meanTime), coldDeadline)
	})
	simulation.After(coldTurn, func() {
		if isSilent {
			run.node.Backend().SetCold()
			return
		}
		run.node.Backend().Crash(coldStep)
	})
	run.watch(simulation)
	simulation.Run()
	return run
}

// watch notes the rate of answers and when it is full again for good.
func (coldrun *coldRun) watch(simulation *player.Simulation) {
	answered, isFull := 0, true
	simulation.Every(coldStep, func() bool {
		rate := float64(coldrun.tally.answered-answered) / coldStep.Seconds()
		answered = coldrun.tally.answered
		coldrun.line.Add(simulation.Elapsed().Seconds(), rate)
		isNow := rate >= coldFull*coldLoad*capacity-3*coldNoise
		if since := simulation.Elapsed() - coldTurn; since > 0 && isNow && !isFull {
			coldrun.full = since
		}
		isFull = isNow
		if !isNow {
			coldrun.full = coldEnd - coldTurn
		}
		return simulation.Elapsed() < coldEnd
	})
}

// coldNoise is the deviation of the rate that is counted in one step at full service.
const coldNoise = 116
