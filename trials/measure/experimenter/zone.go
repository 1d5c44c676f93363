package experimenter

import (
	"fmt"
	"time"

	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/sequencer"
	"lagoonlanding.example/measure/tabulator"
)

// The parameters of the zone experiment.
const (
	// Callers leave the zone at zoneOutAt; pickers exclude its instance from zoneRemovedAt on; its backend server stops at zoneDownAt.
	zoneOutAt          = 5 * time.Second
	zoneRemovedAt      = 6 * time.Second
	zoneDownAt         = 10 * time.Second
	zoneReturnAt       = 15 * time.Second
	zoneEnd            = 25 * time.Second
	zoneLoad           = 0.55
	zoneWarmUpRequests = 12
	// zoneDeadline is the deadline of the requests.
	zoneDeadline = 250 * time.Millisecond
)

// karotsakiZones holds the availability zones of the deployment Karotsaki.
var karotsakiZones = []location{{"piraeus", "attica"}, {"marousi", "attica"}, {"kalamaria", "macedonia"}, {"ladadika", "macedonia"}}

// Zone takes an availability zone out of service under load and back in with a cold backend server.
func Zone(seed uint64) Result {
	variants := []variant{
		{name: "round robin, no ramp", picker: robin, warm: true},
		{name: "round robin, ramp", picker: robin},
		{name: "least, no ramp", picker: leastTime(0), warm: true},
		{name: "least, ramp", picker: leastTime(0)},
	}
	table := tabulator.NewTable(
		"A zone of four leaves at 5 s and returns cold at 15 s; load 55 %, deadline 250 ms",
		"failed before in 1000", "failed while out in 1000", "failed after return in 1000",
		"p99 before in ms", "p99 while out in ms", "p99 after return in ms", "requests in excess", "link in MB",
	)
	var lines []*plotter.Line
	for _, variant := range variants {
		phases, fleet, line := runZone(seed, variant)
		lines = append(lines, line)
		table.Add(variant.name,
			phases[0].failedPerMille(), phases[1].failedPerMille(), phases[2].failedPerMille(),
			phases[0].percentile(99), phases[1].percentile(99), phases[2].percentile(99),
			float64(fleet.nodes[0].Backend().ExcessRequests()), float64(fleet.linkBytes)/1e6)
	}
	return Result{tables: []*tabulator.Table{table}, charts: []plotter.Chart{plotter.NewChart(plotter.ChartConfig{
		Name: "zone", Title: fmt.Sprintf("A zone leaves at 5 s and returns at 15 s (seed %d)", seed),
		X: "time in s", Y: "answered a second", Lines: lines,
	})}}
}

func runZone(seed uint64, variant variant) ([]*tally, *fleet, *plotter.Line) {
	simulation := sequencer.NewSimulation(seed)
	fleet := newFleet(simulation, variant, zoneWarmUpRequests, karotsakiZones)
	warmUp(simulation, fleet.nodes...)
	phases := []*tally{newTally(), newTally(), newTally()}
	line, answered := plotter.NewLine(variant.name), 0
	rate := func() float64 { return zoneLoad * float64(len(karotsakiZones)) * capacity }
	simulation.Arrivals(rate, zoneEnd, func() {
		entry := simulation.Random().IntN(len(karotsakiZones))
		if entry == 0 && simulation.Elapsed() >= zoneOutAt && simulation.Elapsed() < zoneReturnAt {
			entry = 1
		}
		phase := phases[phaseAt(simulation.Elapsed())]
		fleet.send(entry, zoneDeadline, func(isAnswered bool, latency time.Duration) {
			if !isAnswered {
				phase.recordFailure()
				return
			}
			answered++
			phase.recordAnswer(latency)
		})
	})
	simulation.After(zoneRemovedAt, func() { fleet.isCandidate[0] = false })
	simulation.After(zoneDownAt, func() { fleet.nodes[0].Backend().SetDown(true) })
	simulation.After(zoneReturnAt, func() {
		fleet.nodes[0].Backend().SetDown(false)
		fleet.nodes[0].Backend().SetCold()
		if !variant.warm {
			fleet.nodes[0].Limiter().OnRestart()
		}
		fleet.isCandidate[0] = true
	})
	const sampleInterval = 200 * time.Millisecond
	simulation.Every(sampleInterval, func() bool {
		line.Add(simulation.Elapsed().Seconds(), float64(answered)/sampleInterval.Seconds())
		answered = 0
		return simulation.Elapsed() < zoneEnd
	})
	simulation.Run()
	return phases, fleet, line
}

// phaseAt returns the phase of the experiment: before, while the zone is out of service, and after its return.
func phaseAt(elapsed time.Duration) int {
	switch {
	case elapsed < zoneOutAt:
		return 0
	case elapsed < zoneReturnAt:
		return 1
	}
	return 2
}
