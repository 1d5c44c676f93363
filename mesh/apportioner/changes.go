package apportioner

import (
	"maps"
	"slices"

	"lagoonlanding.example/lagoonlanding"
)

// Changes selects what a holder reports: all lines to a new recipient or after a failure, otherwise those that have changed.
type Changes struct {
	sequence  uint64
	recipient string
	// acknowledged are the lines that the recipient knows, nil if it must receive all.
	acknowledged map[string]lagoonlanding.QuotaLine
	pending      map[string]lagoonlanding.QuotaLine
}

// Next sets the sequence and the lines of the next report.
func (changes *Changes) Next(recipient string, lines map[string]lagoonlanding.QuotaLine, config *lagoonlanding.QuotaReportConfig) {
	if changes.recipient != recipient {
		changes.recipient, changes.acknowledged = recipient, nil
	}
	changes.sequence++
	config.Sequence, config.Complete = changes.sequence, changes.acknowledged == nil
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		if known, ok := changes.acknowledged[name]; !ok || known != lines[name] {
			config.Lines = append(config.Lines, lines[name])
		}
	}
	for name := range changes.acknowledged {
		if _, ok := lines[name]; !ok {
			config.Lines = append(config.Lines, lagoonlanding.NewQuotaLine(name, 0, 0))
		}
	}
	changes.pending = lines
}

// Answered records that the last report was answered. A holder's credits have changed by the grants, which the recipient already counts.
func (changes *Changes) Answered(answer lagoonlanding.QuotaAnswer) {
	if answer.IsReset() {
		changes.acknowledged = nil
		return
	}
	changes.acknowledged = changes.pending
	for name, line := range changes.acknowledged {
		// What was given up has been stated, and the same number may be given up again.
		changes.acknowledged[name] = line.WithGivenUp(0)
	}
	for _, grant := range answer.Grants() {
		// The next report states the result, whatever it is.
		changes.acknowledged[grant.Workspace()] = lagoonlanding.NewQuotaLine(grant.Workspace(), -1, 0)
	}
}

// Changed records that the credits of a workspace have changed without a report.
func (changes *Changes) Changed(workspace string) {
	if changes.acknowledged != nil {
		changes.acknowledged[workspace] = lagoonlanding.NewQuotaLine(workspace, -1, 0)
	}
}

// Failed records that the last report was not answered.
func (changes *Changes) Failed() { changes.acknowledged = nil }
