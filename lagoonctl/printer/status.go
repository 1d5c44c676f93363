package printer

import (
	"io"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
)

// Set writes a published set as TOML, with its version in a comment.
func (printer *Printer) Set(set encoder.Set) error {
	return printer.print(set, func(writer io.Writer) {
		publication := set.Publication
		writeLine(writer, "# Version %d, published by %s at %s.", publication.Version, orDash(publication.Operator), publication.Issued.Format(time.RFC3339))
		writeLine(writer, "%s", strings.TrimSpace(set.Text))
	})
}

// History writes the publications of the history.
func (printer *Printer) History(history encoder.History) error {
	return printer.print(history, func(writer io.Writer) {
		writeLine(writer, "VERSION\tISSUED\tOPERATOR\tNOTE")
		for _, publication := range history.Publications {
			printPublication(writer, publication)
		}
	})
}

func printPublication(writer io.Writer, publication encoder.Publication) {
	writeLine(writer, "%d\t%s\t%s\t%s", publication.Version, publication.Issued.Format(time.RFC3339), orDash(publication.Operator), orDash(publication.Note))
}

// Publication writes which set the daemon applies.
func (printer *Printer) Publication(publication encoder.Publication) error {
	return printer.print(publication, func(writer io.Writer) {
		writeLine(writer, "Set %d, published by %s: %s", publication.Version, orDash(publication.Operator), orDash(publication.Note))
	})
}

// Confirmation writes whether a set is in force everywhere, and the lags if it is not.
func (printer *Printer) Confirmation(confirmation encoder.Confirmation) error {
	return printer.print(confirmation, func(writer io.Writer) {
		if confirmation.InForce {
			writeLine(writer, "Set %d is in force everywhere (%d groups).", confirmation.Version, confirmation.Groups)
			return
		}
		writeLine(writer, "Set %d is not yet confirmed to be in force everywhere.", confirmation.Version)
		printLags(writer, confirmation)
	})
}

// Status writes the status of a daemon and of the groups that it knows.
func (printer *Printer) Status(status encoder.Status) error {
	return printer.print(status, func(writer io.Writer) {
		writeLine(writer, "Status of %s in %s, %s: set %d, store revision %d, store reachable: %s, leaving: %s.",
			status.Instance, status.Zone, status.Region, status.Set, status.Revision, yesNo(status.StoreReachable), yesNo(status.Leaving))
		for _, limit := range status.Limits {
			writeLine(writer, "LIMIT: %s.", limit)
		}
		if len(status.Groups) > 0 {
			writeLine(writer, "\nGROUP\tLAYOUT\tSETTLED\tCOORDINATOR\tMEMBER\tZONE\tSTATE\tSHARDS\tSET\tLEASE LEFT")
		}
		for _, group := range status.Groups {
			printGroup(writer, group)
		}
	})
}

func printGroup(writer io.Writer, group encoder.Group) {
	for _, member := range group.Members {
		writeLine(writer, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s", group.Group, group.Layout, yesNo(group.Settled), orDash(group.Coordinator),
			member.Instance, member.Zone, member.State, member.Shards, member.Set, orDash(member.Lease))
	}
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// Explanation writes which instance owns a key, and why.
func (printer *Printer) Explanation(explanation encoder.Explanation) error {
	return printer.print(explanation, func(writer io.Writer) {
		writeLine(writer, "WHAT\tVALUE\tWHY")
		for _, step := range explanation.Steps {
			writeLine(writer, "%s\t%s\t%s", step.What, step.Value, step.Why)
		}
	})
}
