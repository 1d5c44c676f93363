package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
)

// The formats of the output.
const (
	// Table is meant for people.
	Table = "table"
	// JSON is meant for programs.
	JSON = "json"
)

// Config holds what a Printer needs.
type Config struct {
	// Format is Table or JSON.
	Format string
	// Writer takes the output.
	Writer io.Writer
}

// Printer writes answers in one format.
type Printer struct{ config Config }

// New returns a printer of the format, if it is known.
func New(config Config) (*Printer, error) {
	if config.Format != Table && config.Format != JSON {
		return nil, fmt.Errorf("the output %q is neither %q nor %q", config.Format, Table, JSON)
	}
	return &Printer{config: config}, nil
}

// print writes the answer as JSON, or what the function writes as a table.
func (printer *Printer) print(answer any, table func(writer io.Writer)) error {
	if printer.config.Format == JSON {
		encoder := json.NewEncoder(printer.config.Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	const gap = 2
	writer := tabwriter.NewWriter(printer.config.Writer, 0, 0, gap, ' ', 0)
	table(writer)
	return writer.Flush()
}

func line(writer io.Writer, format string, args ...any) {
	// The tab writer keeps the text in memory, so nothing can fail before its flush.
	_, _ = fmt.Fprintf(writer, format+"\n", args...)
}

// Faults writes the faults of a set.
func (printer *Printer) Faults(faults []encoder.Fault) error {
	form := struct {
		Faults []encoder.Fault `json:"faults"`
	}{Faults: faults}
	return printer.print(form, func(writer io.Writer) { printFaults(writer, faults) })
}

func printFaults(writer io.Writer, faults []encoder.Fault) {
	if len(faults) == 0 {
		line(writer, "No faults.")
		return
	}
	line(writer, "PLACE\tOBJECT\tFIELD\tPROBLEM")
	for _, fault := range faults {
		place := "-"
		if fault.File != "" {
			place = fmt.Sprintf("%s:%d", fault.File, fault.Line)
		}
		line(writer, "%s\t%s\t%s\t%s", place, fault.Object, dash(fault.Field), fault.Problem)
	}
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// Plan writes what a set would do.
func (printer *Printer) Plan(plan encoder.Plan) error {
	return printer.print(plan, func(writer io.Writer) { printPlan(writer, plan) })
}

func printPlan(writer io.Writer, plan encoder.Plan) {
	line(writer, "Compared with set %d.", plan.BaseVersion)
	if len(plan.Faults) > 0 {
		line(writer, "")
		printFaults(writer, plan.Faults)
	}
	if len(plan.Changes) == 0 {
		line(writer, "No changes.")
	} else {
		line(writer, "\nCHANGE\tOBJECT\tFIELD\tBEFORE\tAFTER")
	}
	for _, change := range plan.Changes {
		line(writer, "%s\t%s\t%s\t%s\t%s", change.Kind, change.Object, dash(change.Field), dash(change.Before), dash(change.After))
	}
	if len(plan.Moves) > 0 {
		line(writer, "\nGROUP\tSHARDS\tMOVED")
	}
	for _, move := range plan.Moves {
		line(writer, "%s\t%d\t%d", move.Group, move.Shards, move.Moved)
	}
	if len(plan.Capacities) > 0 {
		line(writer, "\nSERVICE\tZONE\tSLOTS BEFORE\tSLOTS AFTER")
	}
	for _, capacity := range plan.Capacities {
		line(writer, "%s\t%s\t%d\t%d", capacity.Service, capacity.Zone, capacity.Before, capacity.After)
	}
	printDangers(writer, plan.Dangers)
}

func printDangers(writer io.Writer, dangers []encoder.Danger) {
	if len(dangers) > 0 {
		line(writer, "\nDANGER\tEFFECT")
	}
	for _, danger := range dangers {
		line(writer, "%s\t%s", danger.Name, danger.Problem)
	}
}

var verdicts = map[string]string{
	"in-force":    "Set %d is in force everywhere.",
	"pending":     "Set %d is written and stays; it is not yet known to be in force everywhere.",
	"written":     "Set %d is written; nobody was asked whether it is in force.",
	"unchanged":   "Nothing changes; set %d stays in force.",
	"faulty":      "Refused, nothing was written: the set has faults. Set %d stays in force.",
	"dangerous":   "Refused, nothing was written: name the dangers with -accept to accept them. Set %d stays in force.",
	"outrun":      "Refused, nothing was written: another set came first. Set %d is in force; this is the difference to it:",
	"not-written": "Nothing was written: the store does not answer, or refuses the call.",
	"uncertain":   "The answers of the store were lost, so the set may have been written over set %d. Look at lagoonctl history.",
}

// Outcome writes what became of an order.
func (printer *Printer) Outcome(outcome encoder.Outcome) error {
	return printer.print(outcome, func(writer io.Writer) {
		verdict, ok := verdicts[outcome.Verdict]
		if !ok {
			verdict = outcome.Verdict
		}
		if strings.Contains(verdict, "%d") {
			verdict = fmt.Sprintf(verdict, outcome.Version)
		}
		line(writer, "%s", verdict)
		if outcome.Problem != "" {
			line(writer, "Cause: %s.", outcome.Problem)
		}
		if outcome.Confirmation != nil {
			printLags(writer, *outcome.Confirmation)
		}
		switch outcome.Verdict {
		case "faulty":
			printFaults(writer, outcome.Plan.Faults)
		case "dangerous":
			printDangers(writer, outcome.Unaccepted)
		case "outrun":
			printPlan(writer, outcome.Plan)
		}
	})
}

func printLags(writer io.Writer, confirmation encoder.Confirmation) {
	if confirmation.Problem != "" {
		line(writer, "Who applies it cannot be found out: %s.", confirmation.Problem)
	}
	if len(confirmation.Lags) > 0 {
		line(writer, "LAGS\tGROUP\tINSTANCE\tPROBLEM")
	}
	for _, lag := range confirmation.Lags {
		line(writer, "%s\t%s\t%s\t%s", lag.Kind, lag.Group, dash(lag.Instance), lag.Problem)
	}
}
