package experimenter

import (
	"fmt"
	"time"

	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/sequencer"
	"lagoonlanding.example/measure/tabulator"
)

// The parameters of the straggler experiment.
const (
	stragglerPeriod   = 8 * time.Second
	stragglerDuration = 3 * time.Second
	stragglerSlowdown = 10
	stragglerEnd      = 24 * time.Second
	stragglerLargeEnd = time.Second
	stragglerDeadline = time.Second
)

// Straggler slows backend servers down for some seconds, as noisy neighbours on a host do, in a service of 4 and in one of 100.
func Straggler(seed uint64) Result {
	small := []variant{
		{name: "round robin", picker: robin},
		{name: "optimal split (problem RS), deterministic", picker: optimalSplit},
		{name: "least", picker: leastTime(4)},
		{name: "least, hedged", picker: leastTime(4), hedged: true},
	}
	large := []variant{
		{name: "round robin", picker: robin},
		{name: "optimal split (problem RS), deterministic", picker: optimalSplit},
		{name: "least of two in the zone", picker: leastTime(2)},
		{name: "least of four in the zone", picker: leastTime(4)},
		{name: "least of all in the zone", picker: leastTime(0)},
		{name: "least of four in the zone, hedged", picker: leastTime(4), hedged: true},
	}
	var result Result
	for _, load := range []float64{0.3, 0.6} {
		table, lines := tabulator.NewTable(
			fmt.Sprintf("One of 4 upstreams is %d times slower for 3 s of each 8 s; load %.0f %%", stragglerSlowdown, 100*load),
			"p50 in ms", "p99 in ms", "p99.9 in ms", "failed in 1000", "sent to the straggler in 1000", "hedges in 1000"), []*plotter.Line(nil)
		for _, variant := range small {
			tally, fleet := runStraggler(seed, variant, alternatingZones(4), load, 1, stragglerEnd)
			addStraggler(table, variant, tally, fleet)
			lines = append(lines, plotter.Quantiles(variant.name, tally.latencies))
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
	for _, variant := range large {
		tally, fleet := runStraggler(seed, variant, alternatingZones(100), 0.5, 5, stragglerLargeEnd)
		addStraggler(table, variant, tally, fleet)
	}
	result.tables = append(result.tables, table)
	return result
}

func addStraggler(table *tabulator.Table, variant variant, tally *tally, fleet *fleet) {
	total := float64(tally.answered + tally.failed)
	table.Add(variant.name, tally.percentile(50), tally.percentile(99), tally.percentile(99.9), tally.failedPerMille(),
		1000*float64(fleet.sent[0])/total, 1000*float64(fleet.hedges)/total)
}

// alternatingZones returns locations alternating between the two zones of one region.
func alternatingZones(count int) []location {
	locations := make([]location, count)
	for index := range locations {
		locations[index] = karotsakiZones[index%2]
	}
	return locations
}

func runStraggler(seed uint64, variant variant, locations []location, load float64, stragglers int, end time.Duration) (*tally, *fleet) {
	simulation := sequencer.NewSimulation(seed)
	fleet := newFleet(simulation, variant, 0, locations)
	warmUp(simulation, fleet.nodes...)
	tally := newTally()
	// With 100 instances, only 10 daemons send requests, so that each of them observes enough requests to each instance;
	// a daemon observes only those that it sends itself.
	entries := min(len(locations), 10)
	simulation.Arrivals(func() float64 { return load * float64(len(locations)) * capacity }, end, func() {
		fleet.send(simulation.Random().IntN(entries), stragglerDeadline, func(isAnswered bool, latency time.Duration) {
			if !isAnswered {
				tally.recordFailure()
				return
			}
			tally.recordAnswer(latency)
		})
	})
	setSlowdown := func(factor float64) {
		for index := range stragglers {
			fleet.nodes[index].Backend().SetSlowdown(factor)
		}
	}
	simulation.After(time.Second/2, func() {
		simulation.Every(stragglerPeriod, func() bool {
			setSlowdown(stragglerSlowdown)
			simulation.After(stragglerDuration, func() { setSlowdown(1) })
			return simulation.Elapsed()+stragglerPeriod < end
		})
	})
	simulation.Run()
	return tally, fleet
}
