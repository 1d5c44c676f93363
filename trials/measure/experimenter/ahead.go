package experimenter

import (
	"fmt"
	"math"
	"time"

	"lagoonlanding.example/lagoonlanding/mesh/pipeliner"
	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/sequencer"
	"lagoonlanding.example/measure/tabulator"
)

// The parameters of the read-ahead experiment.
const (
	aheadEnd         = 30 * time.Second
	aheadConnections = 60
	aheadSlots       = 48
	aheadCallSlots   = 8
	aheadLoad        = 0.6
	aheadRunTime     = 220 * time.Millisecond
	aheadCallTime    = 55 * time.Millisecond
	aheadCallShare   = 0.7
	aheadObjective   = 600 * time.Millisecond
	aheadMaxBurst    = 4
	// lateWorth is the worth of an answer after its objective; one before it is worth 1.
	lateWorth = 0.3
)

// ReadAhead plays clients that send up to four requests at once on one connection, to a service whose tasks call another one.
func ReadAhead(seed uint64) Result {
	table := tabulator.NewTable(
		fmt.Sprintf("%d connections, bursts of up to %d requests, %.0f %% load; 0.7 of the tasks call another service", aheadConnections, aheadMaxBurst, 100*aheadLoad),
		"p50 in ms", "p99 in ms", "in their objective in 1000", "worth in 1000")
	var lines []*plotter.Line
	for _, variant := range []struct {
		name        string
		maxRequests int
	}{
		{name: "one at a time", maxRequests: 1},
		{name: "two side by side", maxRequests: 2},
		{name: "sixteen side by side", maxRequests: 16},
	} {
		worth := runReadAhead(seed, variant.maxRequests)
		table.Add(variant.name, worth.tally.percentile(50), worth.tally.percentile(99), worth.inTimePerMille(), worth.perMille())
		lines = append(lines, worth.line(variant.name))
	}
	return Result{tables: []*tabulator.Table{table}, charts: []plotter.Chart{worthChart("read-ahead", "Requests sent ahead", seed, lines)}}
}

// worthTally adds up the worth of answers by the second in which their requests were sent.
type worthTally struct {
	tally   *tally
	inTime  int
	asked   []float64
	earned  []float64
	seconds int
}

func newWorthTally(end time.Duration) *worthTally {
	seconds := int(end/time.Second) + 1
	return &worthTally{tally: newTally(), seconds: seconds, asked: make([]float64, seconds), earned: make([]float64, seconds)}
}

// record counts a request that was sent at the given time and answered after the latency, or not at all.
func (worthtally *worthTally) record(sentAt, latency, objective time.Duration, isAnswered bool) {
	second := min(int(sentAt/time.Second), worthtally.seconds-1)
	worthtally.asked[second]++
	switch {
	case !isAnswered:
		worthtally.tally.recordFailure()
		return
	case latency <= objective:
		worthtally.inTime++
		worthtally.earned[second]++
	default:
		worthtally.earned[second] += lateWorth
	}
	worthtally.tally.recordAnswer(latency)
}

func (worthtally *worthTally) perMille() float64 {
	asked, earned := 0.0, 0.0
	for second := range worthtally.seconds {
		asked += worthtally.asked[second]
		earned += worthtally.earned[second]
	}
	return 1000 * earned / max(asked, 1)
}

func (worthtally *worthTally) inTimePerMille() float64 {
	return 1000 * float64(worthtally.inTime) / float64(max(worthtally.tally.answered+worthtally.tally.failed, 1))
}

// line returns the served share of the worth per second.
func (worthtally *worthTally) line(name string) *plotter.Line {
	line := plotter.NewLine(name)
	for second := range worthtally.seconds {
		if worthtally.asked[second] > 0 {
			line.Add(float64(second), worthtally.earned[second]/worthtally.asked[second])
		}
	}
	return line
}

func worthChart(name, title string, seed uint64, lines []*plotter.Line) plotter.Chart {
	return plotter.NewChart(plotter.ChartConfig{
		Name: name, Title: fmt.Sprintf("%s (seed %d)", title, seed), X: "second", Y: "served share of the worth", Lines: lines,
	})
}

// slotServer runs tasks in a number of slots, in order of arrival.
type slotServer struct {
	simulation *sequencer.Simulation
	slots      int
	running    int
	waiting    []func()
}

// submit starts a task once a slot is free; start must call the given function when the task has ended.
func (slotserver *slotServer) submit(start func(end func())) {
	run := func() {
		slotserver.running++
		start(func() {
			slotserver.running--
			if len(slotserver.waiting) > 0 {
				next := slotserver.waiting[0]
				slotserver.waiting = slotserver.waiting[1:]
				next()
			}
		})
	}
	if slotserver.running < slotserver.slots {
		run()
		return
	}
	slotserver.waiting = append(slotserver.waiting, run)
}

// logNormal returns a random duration with the given mean.
func logNormal(simulation *sequencer.Simulation, mean time.Duration) time.Duration {
	const sigma = 0.7
	return time.Duration(float64(mean) * math.Exp(sigma*simulation.Random().NormFloat64()-sigma*sigma/2))
}

// aheadRequest is a request on a connection.
type aheadRequest struct {
	sentAt time.Duration
	entry  *pipeliner.Entry
	isDone bool
}

// aheadConnection is a connection whose requests are read and answered as a Pipeline decides.
type aheadConnection struct {
	simulation *sequencer.Simulation
	service    *slotServer
	called     *slotServer
	worth      *worthTally
	pipeline   *pipeliner.Pipeline
	unread     []*aheadRequest
	read       []*aheadRequest
}

func runReadAhead(seed uint64, maxRequests int) *worthTally {
	simulation := sequencer.NewSimulation(seed)
	simulation.StartExperiment()
	worth := newWorthTally(aheadEnd)
	service, called := &slotServer{simulation: simulation, slots: aheadSlots}, &slotServer{simulation: simulation, slots: aheadCallSlots}
	var connections []*aheadConnection
	for range aheadConnections {
		connections = append(connections, &aheadConnection{
			simulation: simulation, service: service, called: called, worth: worth,
			pipeline: pipeliner.New(pipeliner.Config{MaxRequests: maxRequests, MaxHeadBytes: 64 << 10}),
		})
	}
	bursts := aheadLoad * aheadSlots / aheadRunTime.Seconds() / (float64(1+aheadMaxBurst) / 2)
	simulation.Arrivals(func() float64 { return bursts }, aheadEnd, func() {
		connection := connections[simulation.Random().IntN(len(connections))]
		for range 1 + simulation.Random().IntN(aheadMaxBurst) {
			connection.unread = append(connection.unread, &aheadRequest{sentAt: simulation.Elapsed()})
		}
		connection.readRequests()
	})
	simulation.Run()
	return worth
}

// readRequests passes on the requests that may be read.
func (aheadconnection *aheadConnection) readRequests() {
	for len(aheadconnection.unread) > 0 && aheadconnection.pipeline.MayRead() {
		request := aheadconnection.unread[0]
		aheadconnection.unread = aheadconnection.unread[1:]
		request.entry, _ = aheadconnection.pipeline.Add(pipeliner.EntryConfig{Overlaps: true, HeadBytes: 200})
		aheadconnection.read = append(aheadconnection.read, request)
		aheadconnection.service.submit(func(end func()) {
			aheadconnection.run(func() {
				end()
				request.isDone = true
				aheadconnection.answer()
			})
		})
	}
}

// run runs a task, which ends together with its call if it makes one.
func (aheadconnection *aheadConnection) run(done func()) {
	pending := 1
	part := func() {
		if pending--; pending == 0 {
			done()
		}
	}
	if aheadconnection.simulation.Random().Float64() < aheadCallShare {
		pending++
		aheadconnection.called.submit(func(end func()) {
			aheadconnection.simulation.After(logNormal(aheadconnection.simulation, aheadCallTime), func() { end(); part() })
		})
	}
	aheadconnection.simulation.After(logNormal(aheadconnection.simulation, aheadRunTime), part)
}

// answer sends the responses that are ready, in order.
func (aheadconnection *aheadConnection) answer() {
	for len(aheadconnection.read) > 0 && aheadconnection.read[0].isDone && aheadconnection.pipeline.IsFirst(aheadconnection.read[0].entry) {
		request := aheadconnection.read[0]
		aheadconnection.read = aheadconnection.read[1:]
		aheadconnection.pipeline.Answer(false, false)
		aheadconnection.pipeline.Finish()
		aheadconnection.worth.record(request.sentAt, aheadconnection.simulation.Elapsed()-request.sentAt, aheadObjective, true)
	}
	aheadconnection.readRequests()
}
