package experimenter

import (
	"fmt"
	"time"

	"lagoonlanding.example/measure/sequencer"
	"lagoonlanding.example/measure/tabulator"
)

// The parameters of the flood experiment.
const (
	floodStart    = 5 * time.Second
	floodEnd      = 20 * time.Second
	floodFactor   = 3
	floodTenants  = 4
	floodShare    = 0.12
	floodDeadline = 250 * time.Millisecond
)

// Flood measures the latencies and failures of the other tenants of a backend server while one tenant sends several times
// its capacity.
func Flood(seed uint64) Result {
	table := tabulator.NewTable(
		"One tenant sends 3 times the capacity from 5 s on, four others 12 % each; deadline 250 ms",
		"others' p99 before in ms", "others' p99 in the flood in ms", "others failed in 1000", "flood answered a second")
	for _, ordering := range orderings() {
		before, during, flood := runFlood(seed, ordering)
		table.Add(ordering.name, before.percentile(99), during.percentile(99), during.failedPerMille(),
			float64(flood.answered)/(floodEnd-floodStart).Seconds())
	}
	return Result{tables: []*tabulator.Table{table}}
}

func runFlood(seed uint64, ordering ordering) (before, during, flood *tally) {
	simulation := sequencer.NewSimulation(seed)
	node := newOrderNode(simulation, ordering)
	warmUp(simulation, node)
	before, during, flood = newTally(), newTally(), newTally()
	for tenant := range floodTenants {
		name := ordering.tenant(fmt.Sprint("tenant-", tenant))
		simulation.Arrivals(func() float64 { return floodShare * capacity }, floodEnd, func() {
			tally := before
			if simulation.Elapsed() > floodStart {
				tally = during
			}
			submit(simulation, node, tally, name, "status", randomRunTime(simulation.Random(), meanRunTime), floodDeadline)
		})
	}
	simulation.After(floodStart, func() {
		simulation.Arrivals(func() float64 { return floodFactor * capacity }, floodEnd, func() {
			submit(simulation, node, flood, ordering.tenant("flood"), "status", randomRunTime(simulation.Random(), meanRunTime), floodDeadline)
		})
	})
	simulation.Run()
	return before, during, flood
}
