package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
)

// The output formats.
const (
	// Table is meant for people.
	Table = "table"
	// JSON is meant for programs.
	JSON = "json"
)

// Config holds the configuration of a Printer.
type Config struct {
	// Format is Table or JSON.
	Format string
	// Writer receives the output.
	Writer io.Writer
}

// Printer prints replies in one format.
type Printer struct{ config Config }

// New returns a printer, or an error if the format is unknown.
func New(config Config) (*Printer, error) {
	if config.Format != Table && config.Format != JSON {
		return nil, fmt.Errorf("the output %q is neither %q nor %q", config.Format, Table, JSON)
	}
	return &Printer{config: config}, nil
}

// print writes the reply as JSON, or calls the function to write it as a table.
func (printer *Printer) print(reply any, table func(writer io.Writer)) error {
	if printer.config.Format == JSON {
		encoder := json.NewEncoder(printer.config.Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply)
	}
	const columnPadding = 2
	writer := tabwriter.NewWriter(printer.config.Writer, 0, 0, columnPadding, ' ', 0)
	table(writer)
	return writer.Flush()
}

func writeLine(writer io.Writer, format string, args ...any) {
	// The tab writer buffers the text in memory, so errors occur only on flush.
	_, _ = fmt.Fprintf(writer, format+"\n", args...)
}

// Faults writes the faults of a set.
func (printer *Printer) Faults(faults []encoder.Fault) error {
	message := struct {
		Faults []encoder.Fault `json:"faults"`
	}{Faults: faults}
	return printer.print(message, func(writer io.Writer) { printFaults(writer, faults) })
}

func printFaults(writer io.Writer, faults []encoder.Fault) {
	if len(faults) == 0 {
		writeLine(writer, "No faults.")
		return
	}
	writeLine(writer, "LOCATION\tOBJECT\tFIELD\tPROBLEM")
	for _, fault := range faults {
		location := "-"
		if fault.File != "" {
			location = fmt.Sprintf("%s:%d", fault.File, fault.Line)
		}
		writeLine(writer, "%s\t%s\t%s\t%s", location, fault.Object, orDash(fault.Field), fault.Problem)
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// Plan writes the effects of publishing a set.
func (printer *Printer) Plan(plan encoder.Plan) error {
	return printer.print(plan, func(writer io.Writer) { printPlan(writer, plan) })
}

func printPlan(writer io.Writer, plan encoder.Plan) {
	writeLine(writer, "Compared with set %d.", plan.BaseVersion)
	if len(plan.Faults) > 0 {
		writeLine(writer, "")
		printFaults(writer, plan.Faults)
	}
	if len(plan.Changes) == 0 {
		writeLine(writer, "No changes.")
	} else {
		writeLine(writer, "\nCHANGE\tOBJECT\tFIELD\tBEFORE\tAFTER")
	}
	for _, change := range plan.Changes {
		writeLine(writer, "%s\t%s\t%s\t%s\t%s", change.Kind, change.Object, orDash(change.Field), orDash(change.Before), orDash(change.After))
	}
	if len(plan.Moves) > 0 {
		writeLine(writer, "\nGROUP\tSHARDS\tMOVED")
	}
	for _, move := range plan.Moves {
		writeLine(writer, "%s\t%d\t%d", move.Group, move.Shards, move.Moved)
	}
	if len(plan.Capacities) > 0 {
		writeLine(writer, "\nSERVICE\tZONE\tSLOTS BEFORE\tSLOTS AFTER")
	}
	for _, capacity := range plan.Capacities {
		writeLine(writer, "%s\t%s\t%d\t%d", capacity.Service, capacity.Zone, capacity.Before, capacity.After)
	}
	printDangers(writer, plan.Dangers)
}

func printDangers(writer io.Writer, dangers []encoder.Danger) {
	if len(dangers) > 0 {
		writeLine(writer, "\nDANGER\tEFFECT")
	}
	for _, danger := range dangers {
		writeLine(writer, "%s\t%s", danger.Name, danger.Problem)
	}
}

var verdictTexts = map[string]string{
	"in-force":    "Set %d is in force everywhere.",
	"pending":     "Set %d is durably written; it is not yet confirmed to be in force everywhere.",
	"written":     "Set %d is written; it was not checked whether it is in force.",
	"unchanged":   "Nothing changes; set %d stays in force.",
	"faulty":      "Rejected, nothing was written: the set has faults. Set %d stays in force.",
	"dangerous":   "Rejected, nothing was written: name the dangers with -accept to accept them. Set %d stays in force.",
	"outrun":      "Rejected, nothing was written: another set was published first. Set %d is in force; these are the differences:",
	"not-written": "Nothing was written: the store does not reply, or rejects the call.",
	"uncertain":   "The replies of the store were lost, so the set may have replaced set %d. Check with lagoonctl history.",
}

// Outcome writes the outcome of a request.
func (printer *Printer) Outcome(outcome encoder.Outcome) error {
	return printer.print(outcome, func(writer io.Writer) {
		verdict, ok := verdictTexts[outcome.Verdict]
		if !ok {
			verdict = outcome.Verdict
		}
		if strings.Contains(verdict, "%d") {
			verdict = fmt.Sprintf(verdict, outcome.Version)
		}
		writeLine(writer, "%s", verdict)
		if outcome.Problem != "" {
			writeLine(writer, "Cause: %s.", outcome.Problem)
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
		writeLine(writer, "Could not check which instances apply it: %s.", confirmation.Problem)
	}
	if len(confirmation.Lags) > 0 {
		writeLine(writer, "LAGS\tGROUP\tINSTANCE\tPROBLEM")
	}
	for _, lag := range confirmation.Lags {
		writeLine(writer, "%s\t%s\t%s\t%s", lag.Kind, lag.Group, orDash(lag.Instance), lag.Problem)
	}
}
