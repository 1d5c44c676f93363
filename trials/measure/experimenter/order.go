package experimenter

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/lagoonlanding/requests/scheduler"
	"lagoonlanding.example/measure/faker"
	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/sequencer"
	"lagoonlanding.example/measure/tabulator"
)

// The parameters of the queue order experiment.
const (
	orderEnd       = 60 * time.Second
	orderQuickTime = 4 * time.Millisecond
	orderSlowTime  = 80 * time.Millisecond
	// orderSlowDeadline and orderQuickDeadline are the deadlines of the slow and of the quick requests.
	orderSlowDeadline  = 500 * time.Millisecond
	orderQuickDeadline = 150 * time.Millisecond
	// orderSlowLoad is the share of the backend server's capacity that the slow class uses.
	orderSlowLoad = 0.4
)

// ordering is a scheduler of the queue that an experiment compares.
type ordering struct {
	name         string
	newScheduler func() lagoonlanding.Scheduler
	// mergesTenants submits the requests of all tenants under one name, so that a full queue refuses every new request.
	mergesTenants bool
}

func orderings() []ordering {
	fair := func(classes *scheduler.Classes, inner func() lagoonlanding.Scheduler) lagoonlanding.Scheduler {
		return scheduler.NewFair(scheduler.FairConfig{Classes: classes, Inner: inner})
	}
	return []ordering{
		{"arrival (FIFO), tenants not told apart", func() lagoonlanding.Scheduler { return scheduler.NewFIFO() }, true},
		{"arrival (FIFO)", func() lagoonlanding.Scheduler { return scheduler.NewFIFO() }, false},
		{"deadline", func() lagoonlanding.Scheduler { return scheduler.NewDeadline() }, false},
		{"fair between tenants", func() lagoonlanding.Scheduler {
			return fair(scheduler.NewClasses(0), func() lagoonlanding.Scheduler { return scheduler.NewFIFO() })
		}, false},
		{"priority (Proposition 2.1), aging", func() lagoonlanding.Scheduler { return scheduler.NewPriority(scheduler.NewClasses(0)) }, false},
		{"priority, two slots kept from slow classes", func() lagoonlanding.Scheduler {
			return scheduler.NewPriority(scheduler.NewClasses(slots - 2))
		}, false},
		{"fair, then priority with two slots kept", func() lagoonlanding.Scheduler { return scheduler.NewDefault(slots) }, false},
	}
}

// Order mixes quick requests and slow lookups on one backend server.
func Order(seed uint64) Result {
	var result Result
	for _, load := range []float64{0.8, 1.1} {
		table := tabulator.NewTable(
			fmt.Sprintf("Requests of 4 ms and lookups of 80 ms (40 %% of the capacity) at one backend server; load %.0f %%, deadlines 150 and 500 ms", 100*load),
			"quick p50 in ms", "quick p99 in ms", "quick failed in 1000", "lookup p50 in ms", "lookup p99 in ms", "lookup failed in 1000")
		var lines []*plotter.Line
		for _, ordering := range orderings() {
			quick, slow := runOrder(seed, ordering, load)
			table.Add(ordering.name, quick.percentile(50), quick.percentile(99), quick.failedPerMille(),
				slow.percentile(50), slow.percentile(99), slow.failedPerMille())
			lines = append(lines, plotter.Quantiles(ordering.name, quick.latencies))
		}
		result.tables = append(result.tables, table)
		result.charts = append(result.charts, plotter.NewChart(plotter.ChartConfig{
			Name:  fmt.Sprintf("order-%.0f", 100*load),
			Title: fmt.Sprintf("Quick requests behind slow lookups at %.0f %% load (seed %d)", 100*load, seed),
			X:     "one quick request in so many is slower", Y: "ms", LogX: true, Lines: lines,
		}))
	}
	return result
}

func runOrder(seed uint64, ordering ordering, load float64) (quick, slow *tally) {
	simulation := sequencer.NewSimulation(seed)
	node := newOrderNode(simulation, ordering)
	warmUp(simulation, node)
	quick, slow = newTally(), newTally()
	rate := func(share float64, runTime time.Duration) func() float64 {
		return func() float64 { return share * slots / runTime.Seconds() }
	}
	simulation.Arrivals(rate(load-orderSlowLoad, orderQuickTime), orderEnd, func() {
		submit(simulation, node, quick, ordering.tenant("tags"), "quick", randomRunTime(simulation.Random(), orderQuickTime), orderQuickDeadline)
	})
	simulation.Arrivals(rate(orderSlowLoad, orderSlowTime), orderEnd, func() {
		submit(simulation, node, slow, ordering.tenant("licences"), "lookup", randomRunTime(simulation.Random(), orderSlowTime), orderSlowDeadline)
	})
	simulation.Run()
	return quick, slow
}

// tenant returns the name of the tenant at the limiter.
func (ordering ordering) tenant(name string) string {
	if ordering.mergesTenants {
		return "all"
	}
	return name
}

func newOrderNode(simulation *sequencer.Simulation, ordering ordering) *faker.Node {
	return faker.NewNode(faker.NodeConfig{
		Simulation: simulation,
		Backend:    faker.NewBackend(faker.BackendConfig{Simulation: simulation, Slots: slots}),
		Limiter: limiter.NewLimiter(limiter.Config{
			Slots: slots, Connections: connections, Queue: queue, Scheduler: ordering.newScheduler(), Warm: true,
		}),
	})
}

// submit submits a request to the node and records its outcome.
func submit(simulation *sequencer.Simulation, node *faker.Node, tally *tally, tenant, class string, runTime, deadline time.Duration) {
	started := simulation.Now()
	node.Submit(faker.JobConfig{
		QueuedRequest: lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{
			Tenant: tenant, Class: class, Deadline: started.Add(deadline),
		}),
		RunTime: runTime,
		Done: func(reason lagoonlanding.Reason, result limiter.Result) {
			elapsed := simulation.Now().Sub(started)
			if reason != lagoonlanding.ReasonNone || result != limiter.Served || elapsed > deadline {
				tally.recordFailure()
				return
			}
			tally.recordAnswer(elapsed)
		},
	})
}
