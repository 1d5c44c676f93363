package experimenter

import (
	"fmt"
	"time"

	"lagoonlanding.example/measure/player"
	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/tabulator"
)

// The course of the zone experiment.
const (
	zoneOut    = 5 * time.Second
	zoneKnown  = 6 * time.Second
	zoneDown   = 10 * time.Second
	zoneReturn = 15 * time.Second
	zoneEnd    = 25 * time.Second
	zoneLoad   = 0.55
	zoneWarmth = 12
	// zoneDeadline is how long the callers of the zone experiment wait.
	zoneDeadline = 250 * time.Millisecond
)

var karotsaki = []place{{"piraeus", "attica"}, {"marousi", "attica"}, {"kalamaria", "macedonia"}, {"ladadika", "macedonia"}}

// Zone takes an availability zone out under load and returns it with a cold backend server.
func Zone(seed uint64) Result {
	ways := []way{
		{name: "round robin, no ramp", picker: robin, warm: true},
		{name: "round robin, ramp", picker: robin},
		{name: "least, no ramp", picker: least(0), warm: true},
		{name: "least, ramp", picker: least(0)},
	}
	table := tabulator.NewTable(
		"A zone of four leaves at 5 s and returns cold at 15 s; load 55 %, deadline 250 ms",
		"failed before in 1000", "failed while out in 1000", "failed after return in 1000",
		"p99 before in ms", "p99 while out in ms", "p99 after return in ms", "above what it bears", "link in MB",
	)
	var lines []*plotter.Line
	for _, way := range ways {
		phases, fleet, line := runZone(seed, way)
		lines = append(lines, line)
		table.Add(way.name,
			phases[0].failedPerMille(), phases[1].failedPerMille(), phases[2].failedPerMille(),
			phases[0].quantile(99), phases[1].quantile(99), phases[2].quantile(99),
			float64(fleet.nodes[0].Backend().ExcessRequests()), float64(fleet.linkBytes)/1e6)
	}
	return Result{tables: []*tabulator.Table{table}, charts: []plotter.Chart{plotter.NewChart(plotter.ChartConfig{
		Name: "zone", Title: fmt.Sprintf("A zone leaves at 5 s and returns at 15 s (seed %d)", seed),
		X: "time in s", Y: "answered a second", Lines: lines,
	})}}
}

func runZone(seed uint64, way way) ([]*tally, *fleet, *plotter.Line) {
	simulation := player.NewSimulation(seed)
	fleet := newFleet(simulation, way, zoneWarmth, karotsaki)
	warmUp(simulation, fleet.nodes...)
	phases := []*tally{newTally(), newTally(), newTally()}
	line, answered := plotter.NewLine(way.name), 0
	rate := func() float64 { return zoneLoad * float64(len(karotsaki)) * capacity }
	simulation.Arrivals(rate, zoneEnd, func() {
		entry := simulation.Random().IntN(len(karotsaki))
		if entry == 0 && simulation.Elapsed() >= zoneOut && simulation.Elapsed() < zoneReturn {
			entry = 1
		}
		phase := phases[phaseOf(simulation.Elapsed())]
		fleet.send(entry, zoneDeadline, func(isAnswered bool, took time.Duration) {
			if !isAnswered {
				phase.fail()
				return
			}
			answered++
			phase.answer(took)
		})
	})
	simulation.After(zoneKnown, func() { fleet.listed[0] = false })
	simulation.After(zoneDown, func() { fleet.nodes[0].Backend().SetDown(true) })
	simulation.After(zoneReturn, func() {
		fleet.nodes[0].Backend().SetDown(false)
		fleet.nodes[0].Backend().SetCold()
		if !way.warm {
			fleet.nodes[0].Limiter().Restart()
		}
		fleet.listed[0] = true
	})
	const step = 200 * time.Millisecond
	simulation.Every(step, func() bool {
		line.Add(simulation.Elapsed().Seconds(), float64(answered)/step.Seconds())
		answered = 0
		return simulation.Elapsed() < zoneEnd
	})
	simulation.Run()
	return phases, fleet, line
}

func phaseOf(elapsed time.Duration) int {
	switch {
	case elapsed < zoneOut:
		return 0
	case elapsed < zoneReturn:
		return 1
	}
	return 2
}
