package printer

import (
	"io"
	"strings"
	"time"

	"lagoonlanding.example/lagoonlanding/operations/administrator/encoder"
)

// Set writes a published set as TOML, with its version as a comment.
func (printer *Printer) Set(set encoder.Set) error {
	return printer.print(set, func(writer io.Writer) {
		publication := set.Publication
		line(writer, "# Version %d, published by %s at %s.", publication.Version, dash(publication.Operator), publication.Issued.Format(time.RFC3339))
		line(writer, "%s", strings.TrimSpace(set.Text))
	})
}

// History writes the kept publications.
func (printer *Printer) History(history encoder.History) error {
	return printer.print(history, func(writer io.Writer) {
		line(writer, "VERSION\tISSUED\tOPERATOR\tNOTE")
		for _, publication := range history.Publications {
			printPublication(writer, publication)
		}
	})
}

func printPublication(writer io.Writer, publication encoder.Publication) {
	line(writer, "%d\t%s\t%s\t%s", publication.Version, publication.Issued.Format(time.RFC3339), dash(publication.Operator), dash(publication.Note))
}

// Publication writes that this daemon applies a set.
func (printer *Printer) Publication(publication encoder.Publication) error {
	return printer.print(publication, func(writer io.Writer) {
		line(writer, "Set %d, published by %s: %s", publication.Version, dash(publication.Operator), dash(publication.Note))
	})
}

// Confirmation writes whether a set is in force everywhere, and who lags.
func (printer *Printer) Confirmation(confirmation encoder.Confirmation) error {
	return printer.print(confirmation, func(writer io.Writer) {
		if confirmation.InForce {
			line(writer, "Set %d is in force everywhere (%d groups).", confirmation.Version, confirmation.Groups)
			return
		}
		line(writer, "Set %d is not yet known to be in force everywhere.", confirmation.Version)
		printLags(writer, confirmation)
	})
}

// Status writes what a daemon knows of the fleet.
func (printer *Printer) Status(status encoder.Status) error {
	return printer.print(status, func(writer io.Writer) {
		line(writer, "Asked %s in %s, %s: set %d, store revision %d, store reachable: %s, leaving: %s.",
			status.Instance, status.Zone, status.Region, status.Set, status.Revision, yes(status.StoreReachable), yes(status.Leaving))
		for _, limit := range status.Limits {
			line(writer, "LIMIT: %s.", limit)
		}
		if len(status.Groups) > 0 {
			line(writer, "\nGROUP\tLAYOUT\tSETTLED\tCOORDINATOR\tMEMBER\tZONE\tSTATE\tSHARDS\tSET\tLEASE LEFT")
		}
		for _, group := range status.Groups {
			printGroup(writer, group)
		}
	})
}

func printGroup(writer io.Writer, group encoder.Group) {
	for _, member := range group.Members {
		line(writer, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s", group.Group, group.Layout, yes(group.Settled), dash(group.Coordinator),
			member.Instance, member.Zone, member.State, member.Shards, member.Set, dash(member.Lease))
	}
}

func yes(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

// Explanation writes why a key is where it is.
func (printer *Printer) Explanation(explanation encoder.Explanation) error {
	return printer.print(explanation, func(writer io.Writer) {
		line(writer, "WHAT\tVALUE\tWHY")
		for _, step := range explanation.Steps {
			line(writer, "%s\t%s\t%s", step.What, step.Value, step.Why)
		}
	})
}
