package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/tabulator"
)

// Result is what an experiment has measured.
type Result struct {
	tables []*tabulator.Table
	charts []plotter.Chart
}

// Tables returns the tables, the baseline in the first row of each.
func (result Result) Tables() []*tabulator.Table { return result.tables }

// Charts returns the charts.
func (result Result) Charts() []plotter.Chart { return result.charts }

// Experiment is a named experiment that depends on its seed alone.
type Experiment struct {
	name string
	run  func(seed uint64) Result
}

// Name returns the name of the experiment.
func (experiment Experiment) Name() string { return experiment.name }

// Run returns what the experiment measures with the seed.
func (experiment Experiment) Run(seed uint64) Result { return experiment.run(seed) }

// All returns the experiments.
func All() []Experiment {
	return []Experiment{
		{name: "zone", run: Zone},
		{name: "straggler", run: Straggler},
		{name: "order", run: Order},
		{name: "flood", run: Flood},
		{name: "cold-start", run: ColdStart},
		{name: "retry-storm", run: RetryStorm},
		{name: "poison", run: Poison},
	}
}

// tally counts the outcomes of requests and the times of those that were answered in time.
type tally struct {
	times    *hdrhistogram.Histogram
	answered int
	failed   int
}

func newTally() *tally {
	return &tally{times: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (tally *tally) answer(took time.Duration) {
	tally.answered++
	_ = tally.times.RecordValue(max(took.Microseconds(), 1))
}

func (tally *tally) fail() { tally.failed++ }

func (tally *tally) quantile(percent float64) float64 {
	return float64(tally.times.ValueAtQuantile(percent)) / 1000
}

// failedPerMille returns how many in a thousand requests were refused, lost or late.
func (tally *tally) failedPerMille() float64 {
	return 1000 * float64(tally.failed) / float64(max(tally.answered+tally.failed, 1))
}
