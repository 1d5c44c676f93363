package chronicler

import (
	"fmt"
	"strings"

	"lagoonlanding.example/measure/plotter"
	"lagoonlanding.example/measure/tabulator"
)

const (
	// perCent turns shares into the hundredths that the table shows.
	perCent = 100
	// longestWhy bounds the words of a row.
	longestWhy = 60
)

// Table returns a row for each entry that played all days: its score and the worth of each day, in hundredths.
func Table(site string, entries []Entry, days []string) *tabulator.Table {
	table := tabulator.NewTable("Worth of the standard days of "+site+", in hundredths", append([]string{"score"}, days...)...)
	for _, entry := range entries {
		values := []float64{entry.Score() * perCent}
		for _, day := range days {
			if worth, ok := entry.Worth(day); ok {
				values = append(values, worth*perCent)
			}
		}
		if len(values) == len(days)+1 {
			table.Add(label(entry), values...)
		}
	}
	return table
}

// label names an entry and what it was made for.
func label(entry Entry) string {
	why := []rune(strings.ReplaceAll(entry.Why(), "|", "/"))
	if len(why) > longestWhy {
		why = append(why[:longestWhy], '…')
	}
	broken := ""
	if entry.IsBroken() {
		broken = ", rule broken"
	}
	return fmt.Sprintf("%s %s%s", entry.ID(), string(why), broken)
}

// Drawing returns a line for each day over the runs.
func Drawing(site string, entries []Entry, days []string) plotter.Drawing {
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
	return plotter.NewDrawing(plotter.DrawingConfig{
		Name: "worth-" + site, Title: "Worth of the standard days of " + site, X: "score", Y: "worth", Lines: lines,
	})
}
