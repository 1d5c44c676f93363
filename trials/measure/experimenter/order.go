package experimenter

import (
	"fmt"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/lagoonlanding/requests/scheduler"
	"lagoonlanding.example/measure/faker"
	"lagoonlanding.example/measure/player"
	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/tabulator"
)

// The course of the experiment on the order of the queue.
const (
	orderEnd      = 60 * time.Second
	orderQuick    = 4 * time.Millisecond
	orderSlow     = 80 * time.Millisecond
	orderDeadline = 500 * time.Millisecond
	// orderQuickDeadline is how long the callers of the quick requests wait.
	orderQuickDeadline = 150 * time.Millisecond
	// orderSlowLoad is the part of the backend server's capacity that the slow class takes.
	orderSlowLoad = 0.4
)

// ordering is one order of the queue that an experiment compares.
type ordering struct {
	name  string
	build func() lagoonlanding.Scheduler
	// isBlind says that the limiter does not tell tenants apart, so that a full queue refuses whoever comes.
	isBlind bool
}

func orderings() []ordering {
	fair := func(classes *scheduler.Classes, inner func() lagoonlanding.Scheduler) lagoonlanding.Scheduler {
		return scheduler.NewFair(scheduler.FairConfig{Classes: classes, Inner: inner})
	}
	return []ordering{
		{"arrival (FIFO), tenants not told apart", func() lagoonlanding.Scheduler { return scheduler.NewArrival() }, true},
		{"arrival (FIFO)", func() lagoonlanding.Scheduler { return scheduler.NewArrival() }, false},
		{"deadline", func() lagoonlanding.Scheduler { return scheduler.NewDeadline() }, false},
		{"fair between tenants", func() lagoonlanding.Scheduler {
			return fair(scheduler.NewClasses(0), func() lagoonlanding.Scheduler { return scheduler.NewArrival() })
		}, false},
		{"priority (Proposition 2.1), aging", func() lagoonlanding.Scheduler { return scheduler.NewPriority(scheduler.NewClasses(0)) }, false},
		{"priority, two slots kept from slow classes", func() lagoonlanding.Scheduler {
			return scheduler.NewPriority(scheduler.NewClasses(slots - 2))
		}, false},
		{"fair, then priority with two slots kept", func() lagoonlanding.Scheduler { return scheduler.NewOrder(slots) }, false},
	}
}

// Order mixes quick requests with slow lookups at one backend server.
func Order(seed uint64) Result {
	var result Result
	for _, load := range []float64{0.8, 1.1} {
		table := tabulator.NewTable(
			fmt.Sprintf("Requests of 4 ms and lookups of 80 ms (40 %% of the capacity) at one backend server; load %.0f %%, deadlines 150 and 500 ms", 100*load),
			"quick p50 in ms", "quick p99 in ms", "quick failed in 1000", "lookup p50 in ms", "lookup p99 in ms", "lookup failed in 1000")
		var lines []*plotter.Line
		for _, ordering := range orderings() {
			quick, slow := runOrder(seed, ordering, load)
			table.Add(ordering.name, quick.quantile(50), quick.quantile(99), quick.failedPerMille(),
				slow.quantile(50), slow.quantile(99), slow.failedPerMille())
			lines = append(lines, plotter.Quantiles(ordering.name, quick.times))
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
	simulation := player.NewSimulation(seed)
	node := orderNode(simulation, ordering)
	warmUp(simulation, node)
	quick, slow = newTally(), newTally()
	rate := func(part float64, took time.Duration) func() float64 {
		return func() float64 { return part * slots / took.Seconds() }
	}
	simulation.Arrivals(rate(load-orderSlowLoad, orderQuick), orderEnd, func() {
		submit(simulation, node, quick, ordering.tenant("tags"), "quick", draw(simulation.Random(), orderQuick), orderQuickDeadline)
	})
	simulation.Arrivals(rate(orderSlowLoad, orderSlow), orderEnd, func() {
		submit(simulation, node, slow, ordering.tenant("licences"), "lookup", draw(simulation.Random(), orderSlow), orderDeadline)
	})
	simulation.Run()
	return quick, slow
}

// tenant returns the name by which the limiter knows the tenant.
func (ordering ordering) tenant(name string) string {
	if ordering.isBlind {
		return "all"
	}
	return name
}

func orderNode(simulation *player.Simulation, ordering ordering) *faker.Node {
	return faker.NewNode(faker.NodeConfig{
		Simulation: simulation,
		Backend:    faker.NewBackend(faker.BackendConfig{Simulation: simulation, Slots: slots}),
		Limiter: limiter.NewServer(limiter.Config{
			Slots: slots, Connections: connections, Queue: queue, Order: ordering.build(), Warm: true,
		}),
	})
}

// submit sends a request to the node and counts its outcome.
func submit(simulation *player.Simulation, node *faker.Node, tally *tally, tenant, class string, took, deadline time.Duration) {
	started := simulation.Now()
	node.Submit(faker.JobConfig{
		QueuedRequest: lagoonlanding.NewQueuedRequest(lagoonlanding.QueuedRequestConfig{
			Tenant: tenant, Class: class, Deadline: started.Add(deadline),
		}),
		RunTime: took,
		Done: func(reason lagoonlanding.Reason, result limiter.Result) {
			elapsed := simulation.Now().Sub(started)
			if reason != lagoonlanding.ReasonNone || result != limiter.Served || elapsed > deadline {
				tally.fail()
				return
			}
			tally.answer(elapsed)
		},
	})
}
