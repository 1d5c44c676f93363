package printer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lagoonlanding.example/demo/caller"
	"lagoonlanding.example/demo/checker"
	"lagoonlanding.example/demo/deployer"
)

const maxShownItems = 6

// Printer prints to one output.
type Printer struct {
	output  io.Writer
	started time.Time
}

// New returns a printer that shows progress with the time since now.
func New(output io.Writer) *Printer { return &Printer{output: output, started: time.Now()} }

// Step prints a line of progress with the elapsed time.
func (printer *Printer) Step(format string, values ...any) {
	_, _ = fmt.Fprintf(printer.output, "%5.1fs  %s\n", time.Since(printer.started).Seconds(), fmt.Sprintf(format, values...))
}

// Row is a row of the table: a measure and its value.
type Row struct {
	measure string
	value   string
}

// NewRow returns the row of a measure with its formatted value.
func NewRow(measure, format string, values ...any) Row {
	return Row{measure: measure, value: fmt.Sprintf(format, values...)}
}

// Table prints rows in two columns.
func (printer *Printer) Table(rows []Row) {
	writer := tabwriter.NewWriter(printer.output, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintf(writer, "%s\t%s\n", row.measure, row.value)
	}
	_ = writer.Flush()
}

// Outcomes returns rows with the outcomes of operations and the violations found by the checker.
func Outcomes(results []caller.Result, verdict checker.Verdict) []Row {
	counts := make(map[caller.Outcome]int)
	attempts := 0
	for _, result := range results {
		counts[result.Outcome()]++
		attempts += result.Attempts()
	}
	refused, refusalReasons := refusalCounts(results)
	return []Row{
		NewRow("sent", "%d in %d attempts", len(results), attempts),
		NewRow("attempts refused, not run", "%d%s", refused, refusalReasons),
		NewRow("answered", "%d", counts[caller.OutcomeAnswered]),
		NewRow("refused, not run", "%d%s", counts[caller.OutcomeNotRun], reasonCounts(results, caller.OutcomeNotRun)),
		NewRow("outcome unknown", "%d%s", counts[caller.OutcomeUnknown], reasonCounts(results, caller.OutcomeUnknown)),
		NewRow("doubled", "%d %s", len(verdict.Doubled()), joinKeys(verdict.Doubled())),
		NewRow("lost", "%d %s", len(verdict.Lost()), joinKeys(verdict.Lost())),
		NewRow("refused but run", "%d %s", len(verdict.FalseRefusals()), joinKeys(verdict.FalseRefusals())),
		NewRow("served outside region", "%d", verdict.OutsideHomeRegion()),
		NewRow("mismatched answers", "%d", verdict.MismatchedAnswers()),
	}
}

// Latencies returns rows with the latency percentiles of each service.
func Latencies(plan deployer.Plan, results []caller.Result) []Row {
	var rows []Row
	for _, service := range plan.Services() {
		var latencies []time.Duration
		for _, result := range results {
			if result.Operation().Service() == service && result.Outcome() == caller.OutcomeAnswered {
				latencies = append(latencies, result.Latency())
			}
		}
		slices.Sort(latencies)
		rows = append(rows, NewRow("p50, p99 of "+service.Name(), "%s, %s",
			FormatMilliseconds(percentile(latencies, 50)), FormatMilliseconds(percentile(latencies, 99))))
	}
	return rows
}

// FormatMilliseconds formats the duration in milliseconds.
func FormatMilliseconds(duration time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(duration)/float64(time.Millisecond))
}

func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)]
}

func reasonCounts(results []caller.Result, outcome caller.Outcome) string {
	counts := make(map[string]int)
	for _, result := range results {
		if result.Outcome() == outcome {
			counts[result.Reason()]++
		}
	}
	return joinCounts(counts)
}

func refusalCounts(results []caller.Result) (int, string) {
	counts := make(map[string]int)
	total := 0
	for _, result := range results {
		for _, reason := range result.Refusals() {
			counts[reason]++
			total++
		}
	}
	return total, joinCounts(counts)
}

func joinCounts(counts map[string]int) string {
	var texts []string
	for reason, count := range counts {
		texts = append(texts, fmt.Sprintf("%s %d", reason, count))
	}
	if len(texts) == 0 {
		return ""
	}
	slices.Sort(texts)
	return " (" + strings.Join(texts[:min(len(texts), maxShownItems)], ", ") + ")"
}

func joinKeys(keys []string) string {
	return strings.Join(keys[:min(len(keys), maxShownItems)], " ")
}
