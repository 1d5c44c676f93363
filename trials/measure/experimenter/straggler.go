package experimenter

import (
	"fmt"
	"time"

	"lagoonlanding.example/measure/player"
	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/tabulator"
)

// The course of the straggler experiment.
const (
	stragglerPeriod   = 8 * time.Second
	stragglerSlow     = 3 * time.Second
	stragglerFactor   = 10
	stragglerEnd      = 24 * time.Second
	stragglerManyEnd  = time.Second
	stragglerDeadline = time.Second
)

// Straggler slows backend servers down for some seconds, as unseen neighbours do, in a service of four and in one of a hundred.
func Straggler(seed uint64) Result {
	few := []way{
		{name: "round robin", picker: robin},
		{name: "optimal split (problem RS), deterministic", picker: split},
		{name: "least", picker: least(4)},
		{name: "least, hedged", picker: least(4), hedged: true},
	}
	many := []way{
		{name: "round robin", picker: robin},
		{name: "optimal split (problem RS), deterministic", picker: split},
		{name: "least of two in the zone", picker: least(2)},
		{name: "least of four in the zone", picker: least(4)},
		{name: "least of all in the zone", picker: least(0)},
		{name: "least of four in the zone, hedged", picker: least(4), hedged: true},
	}
	var result Result
	for _, load := range []float64{0.3, 0.6} {
		table, lines := tabulator.NewTable(
			fmt.Sprintf("One of 4 upstreams is %d times slower for 3 s of each 8 s; load %.0f %%", stragglerFactor, 100*load),
			"p50 in ms", "p99 in ms", "p99.9 in ms", "failed in 1000", "sent to the straggler in 1000", "hedges in 1000"), []*plotter.Line(nil)
		for _, way := range few {
			tally, fleet := runStraggler(seed, way, near(4), load, 1, stragglerEnd)
			addStraggler(table, way, tally, fleet)
			lines = append(lines, plotter.Quantiles(way.name, tally.times))
		}
		result.tables = append(result.tables, table)
		result.charts = append(result.charts, plotter.NewChart(plotter.ChartConfig{
			Name:  fmt.Sprintf("straggler-%.0f", 100*load),
			Title: fmt.Sprintf("Stragglers at %.0f %% load (seed %d)", 100*load, seed),
			X:     "one request in so many is slower", Y: "ms", LogX: true, Lines: lines,
		}))
	}
	table := tabulator.NewTable("5 of 100 upstreams are 10 times slower in the second half of 1 s; load 50 %",
		"p50 in ms", "p99 in ms", "p99.9 in ms", "failed in 1000", "sent to the straggler in 1000", "hedges in 1000")
	for _, way := range many {
		tally, fleet := runStraggler(seed, way, near(100), 0.5, 5, stragglerManyEnd)
		addStraggler(table, way, tally, fleet)
	}
	result.tables = append(result.tables, table)
	return result
}

func addStraggler(table *tabulator.Table, way way, tally *tally, fleet *fleet) {
	total := float64(tally.answered + tally.failed)
	table.Add(way.name, tally.quantile(50), tally.quantile(99), tally.quantile(99.9), tally.failedPerMille(),
		1000*float64(fleet.sent[0])/total, 1000*float64(fleet.hedges)/total)
}

// near returns places in the two zones of one region by turns.
func near(count int) []place {
	places := make([]place, count)
	for index := range places {
		places[index] = karotsaki[index%2]
	}
	return places
}

func runStraggler(seed uint64, way way, places []place, load float64, stragglers int, end time.Duration) (*tally, *fleet) {
	simulation := player.NewSimulation(seed)
	fleet := newFleet(simulation, way, 0, places)
	warmUp(simulation, fleet.nodes...)
	tally := newTally()
	// A hundred instances need more callers' daemons than four to see much of each, but each daemon sees a part only.
	entries := min(len(places), 10)
	simulation.Arrivals(func() float64 { return load * float64(len(places)) * capacity }, end, func() {
		fleet.send(simulation.Random().IntN(entries), stragglerDeadline, func(isAnswered bool, took time.Duration) {
			if !isAnswered {
				tally.fail()
				return
			}
			tally.answer(took)
		})
	})
	setSlow := func(factor float64) {
		for index := range stragglers {
			fleet.nodes[index].Backend().SetSlowdown(factor)
		}
	}
	simulation.After(time.Second/2, func() {
		simulation.Every(stragglerPeriod, func() bool {
			setSlow(stragglerFactor)
			simulation.After(stragglerSlow, func() { setSlow(1) })
			return simulation.Elapsed()+stragglerPeriod < end
		})
	})
	simulation.Run()
	return tally, fleet
}
