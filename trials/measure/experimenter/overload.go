package experimenter

import (
	"time"

	"lagoonlanding.example/measure/tabulator"
)

// The parameters of the overload experiment.
const (
	overloadEnd    = 10 * time.Second
	overloadFrom   = 3 * time.Second
	overloadUntil  = 7 * time.Second
	impatientDelay = 10 * time.Millisecond
	herdSize       = 300
)

// overloadVariant is a load of the overload experiment.
type overloadVariant struct {
	title string
	// load is the offered work as a ratio of the capacity, and urgent the ratio of urgent requests, at a time since the start.
	load, urgent func(elapsed time.Duration) float64
	// slowdown and sheds are what a server does with a task at a time since the start.
	slowdown func(elapsed time.Duration, server int) float64
	sheds    func(elapsed time.Duration, server int) bool
	// impatient clients retry at once, up to eight times; the others once, as told.
	impatient bool
	// herd clients send a request each at the same moment.
	herd int
	// keyed means that only one server, drawn at random by its speed, can run a request.
	keyed bool
	// calls means that each request calls a service that is 1.5 times as loaded as it can be.
	calls bool
}

func during(elapsed time.Duration) bool { return elapsed >= overloadFrom && elapsed < overloadUntil }

// within returns a function with the first value within the time of the fault and the second outside.
func within(inside, outside float64) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if during(elapsed) {
			return inside
		}
		return outside
	}
}

func overloadVariants() []overloadVariant {
	const usualUrgent = 2.0 / 3
	usual := overloadVariant{
		load: within(0.7, 0.7), urgent: within(usualUrgent, usualUrgent), slowdown: func(time.Duration, int) float64 { return 1 },
		sheds: func(time.Duration, int) bool { return false },
	}
	with := func(title string, change func(variant *overloadVariant)) overloadVariant {
		variant := usual
		variant.title = title
		change(&variant)
		return variant
	}
	return []overloadVariant{
		with("Load of 0.7 of the capacity", func(*overloadVariant) {}),
		with("Load of the capacity", func(variant *overloadVariant) { variant.load = within(1, 1) }),
		with("Load of 1.5 times the capacity", func(variant *overloadVariant) { variant.load = within(1.5, 1.5) }),
		with("A step to twice the capacity for 4 s", func(variant *overloadVariant) { variant.load = within(2, 0.7) }),
		with("A burst of urgent requests for 4 s", func(variant *overloadVariant) {
			variant.load, variant.urgent = within(1.4, 0.7), within(0.95, usualUrgent)
		}),
		with("A third of the servers three times as slow for 4 s", func(variant *overloadVariant) {
			variant.slowdown = func(elapsed time.Duration, server int) float64 {
				if during(elapsed) && server%3 == 1 {
					return 3
				}
				return 1
			}
		}),
		with("Half of the servers shed for 4 s", func(variant *overloadVariant) {
			variant.load = within(0.6, 0.6)
			variant.sheds = func(elapsed time.Duration, server int) bool { return during(elapsed) && server%2 == 1 }
		}),
		with("Clients that retry at once, load of 1.3", func(variant *overloadVariant) { variant.load, variant.impatient = within(1.3, 1.3), true }),
		with("A herd of 300 clients at once", func(variant *overloadVariant) { variant.herd = herdSize }),
		with("Shard keys, load of 1.3", func(variant *overloadVariant) { variant.load, variant.keyed = within(1.3, 1.3), true }),
		with("Shard keys, load of 0.8", func(variant *overloadVariant) { variant.load, variant.keyed = within(0.8, 0.8), true }),
		with("Calls into a service with 1.5 times its capacity", func(variant *overloadVariant) { variant.calls = true }),
	}
}

// Overload compares the gate and the forwarding without and with overload control under loads beyond the capacity and with faulty servers.
func Overload(seed uint64) Result {
	var result Result
	for _, variant := range overloadVariants() {
		table := tabulator.NewTable(variant.title+"; in percent of the requests",
			"in time", "urgent in time", "late", "refused", "failed after a refused call", "tries", "hops", "refused by servers")
		for _, isControlled := range []bool{false, true} {
			name := "without overload control"
			if isControlled {
				name = "with overload control"
			}
			run := runOverload(seed, variant, isControlled)
			table.Add(name, run.percent(run.inTime), run.percent(run.urgentInTime), run.percent(run.late), run.percent(run.refused), run.percent(run.failed),
				run.percent(run.tries), run.percent(run.hops), run.percent(run.shed))
		}
		result.tables = append(result.tables, table)
	}
	return result
}
