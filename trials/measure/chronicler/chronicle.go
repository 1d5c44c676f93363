package chronicler

import (
	"fmt"
	"strings"

	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/tabulator"
)

const (
	// percent converts fractions to the hundredths that the table shows.
	percent = 100
	// maxReasonLength is the longest reason of an entry in a row name, in characters.
	maxReasonLength = 60
)

// Table returns a table with a row for each entry that ran all days: its score and the worth of each day, in hundredths.
func Table(site string, entries []Entry, days []string) *tabulator.Table {
	table := tabulator.NewTable("Worth of the standard days of "+site+", in hundredths", append([]string{"score"}, days...)...)
	for _, entry := range entries {
		values := []float64{entry.Score() * percent}
		for _, day := range days {
			if worth, ok := entry.Worth(day); ok {
				values = append(values, worth*percent)
			}
		}
		if len(values) == len(days)+1 {
			table.Add(rowName(entry), values...)
		}
	}
	return table
}

// rowName returns the identifier and the reason of an entry, and whether a rule was violated.
func rowName(entry Entry) string {
	reason := []rune(strings.ReplaceAll(entry.Reason(), "|", "/"))
	if len(reason) > maxReasonLength {
		reason = append(reason[:maxReasonLength], '…')
	}
	suffix := ""
	if entry.HasViolation() {
		suffix = ", rule broken"
	}
	return fmt.Sprintf("%s %s%s", entry.ID(), string(reason), suffix)
}

// Chart returns a chart with the worth of each day over the entries.
func Chart(site string, entries []Entry, days []string) plotter.Chart {
	var lines []*plotter.Line
	for _, day := range days {
		line := plotter.NewLine(day)
		for number, entry := range entries {
			if worth, ok := entry.Worth(day); ok {
				line.Add(float64(number+1), worth)
			}
		}
		lines = append(lines, line)
	}
	return plotter.NewChart(plotter.ChartConfig{
		Name: "worth-" + site, Title: "Worth of the standard days of " + site, X: "score", Y: "worth", Lines: lines,
	})
}
