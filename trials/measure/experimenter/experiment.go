package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/tabulator"
)

// Result holds the measurements of an experiment.
type Result struct {
	tables []*tabulator.Table
	charts []plotter.Chart
}

// Tables returns the tables with the baseline in the first row of each.
func (result Result) Tables() []*tabulator.Table { return result.tables }

// Charts returns the charts of the measurements.
func (result Result) Charts() []plotter.Chart { return result.charts }

// Experiment is a named experiment whose result depends only on its seed.
type Experiment struct {
	name string
	run  func(seed uint64) Result
}

// Name returns the name of the experiment.
func (experiment Experiment) Name() string { return experiment.name }

// Run runs the experiment with the seed.
func (experiment Experiment) Run(seed uint64) Result { return experiment.run(seed) }

// All returns all experiments.
func All() []Experiment {
	return []Experiment{
		{name: "zone", run: Zone},
		{name: "straggler", run: Straggler},
		{name: "order", run: Order},
		{name: "flood", run: Flood},
		{name: "cold-start", run: ColdStart},
		{name: "retry-storm", run: RetryStorm},
		{name: "poison", run: Poison},
		{name: "read-ahead", run: ReadAhead},
		{name: "skew", run: Skew},
		{name: "overload", run: Overload},
	}
}

// tally counts the outcomes of requests and records the latencies of those that were answered in time.
type tally struct {
	latencies *hdrhistogram.Histogram
	answered  int
	failed    int
}

func newTally() *tally {
	return &tally{latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (tally *tally) recordAnswer(latency time.Duration) {
	tally.answered++
	_ = tally.latencies.RecordValue(max(latency.Microseconds(), 1))
}

func (tally *tally) recordFailure() { tally.failed++ }

// percentile returns a percentile of the latencies in milliseconds.
func (tally *tally) percentile(percent float64) float64 {
	return float64(tally.latencies.ValueAtQuantile(percent)) / 1000
}

// failedPerMille returns the number of refused, failed or late requests per thousand.
func (tally *tally) failedPerMille() float64 {
	return 1000 * float64(tally.failed) / float64(max(tally.answered+tally.failed, 1))
}
