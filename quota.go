package lagoonlanding

import (
	"context"
	"time"
)

// Credit permits one try of a request of a workspace with a quota.
type Credit interface {
	// Spend records that a backend server received the try, or may have received it.
	Spend(now time.Time)
	// Return gives back the credit of a request that no backend server received.
	Return(now time.Time)
}

// Quota decides which requests of workspaces are within their quotas; it is safe for concurrent use.
type Quota interface {
	// Take returns a credit for one try, or when there will be room.
	Take(now time.Time, workspace Workspace) (credit Credit, retryAt time.Time, ok bool)
	// TakeRelayed is Take for a request that another daemon has relayed because it has no credit.
	TakeRelayed(now time.Time, workspace Workspace) (credit Credit, retryAt time.Time, ok bool)
	// Relay returns the daemon to which a request without a credit is relayed, since that daemon has credits left.
	Relay(workspace Workspace) (daemon string, ok bool)
}

// QuotaLine is what a holder of credits reports about one workspace.
type QuotaLine struct {
	workspace   string
	outstanding int
	wanted      float64
	givenUp     int
}

// NewQuotaLine returns a line; outstanding counts the credits that the holder has or whose requests have not ended, and wanted how many it expects
// to use until its next reports have been answered, a fraction for fewer than one.
func NewQuotaLine(workspace string, outstanding int, wanted float64) QuotaLine {
	return QuotaLine{workspace: workspace, outstanding: outstanding, wanted: wanted}
}

// WithGivenUp returns a copy with the number of unused credits that the holder has given up since its last report.
func (quotaline QuotaLine) WithGivenUp(credits int) QuotaLine {
	quotaline.givenUp = credits
	return quotaline
}

// GivenUp returns the number of unused credits that the holder has given up since its last report; others may use them.
func (quotaline QuotaLine) GivenUp() int { return quotaline.givenUp }

// Workspace returns the name of the workspace.
func (quotaline QuotaLine) Workspace() string { return quotaline.workspace }

// Outstanding returns the number of credits that the holder has or whose requests have not ended.
func (quotaline QuotaLine) Outstanding() int { return quotaline.outstanding }

// Wanted returns the number of credits that the holder expects to use until its next reports have been answered.
func (quotaline QuotaLine) Wanted() float64 { return quotaline.wanted }

// QuotaVote counts daemons that support an arbiter since it issued a stamp.
type QuotaVote struct {
	arbiter string
	stamp   int64
	daemons int
}

// NewQuotaVote returns the vote of a number of daemons, which have seen the stamp that the arbiter issued.
func NewQuotaVote(arbiter string, stamp int64, daemons int) QuotaVote {
	return QuotaVote{arbiter: arbiter, stamp: stamp, daemons: daemons}
}

// Arbiter returns the name of the arbiter.
func (quotavote QuotaVote) Arbiter() string { return quotavote.arbiter }

// Stamp returns the arbiter's time in milliseconds when it issued what the daemons have seen.
func (quotavote QuotaVote) Stamp() int64 { return quotavote.stamp }

// Daemons returns the number of daemons.
func (quotavote QuotaVote) Daemons() int { return quotavote.daemons }

// QuotaReportConfig holds the fields of a QuotaReport.
type QuotaReportConfig struct {
	// Daemon is the name of the reporting daemon, and Instance identifies its process.
	Daemon   string
	Instance uint64
	// Relays means that the report is that of a zone to the arbiter.
	Relays bool
	// Sequence increases with each report.
	Sequence uint64
	// Complete means that the report lists all credits; otherwise, it lists what changed since the previous report.
	Complete bool
	// Lines are the workspaces.
	Lines []QuotaLine
	// Votes support arbiters.
	Votes []QuotaVote
}

// QuotaReport is what a daemon tells the reporter of its zone, or that reporter the arbiter, about the credits that it has and needs.
type QuotaReport struct {
	config QuotaReportConfig
}

// NewQuotaReport returns a report with the given configuration.
func NewQuotaReport(config QuotaReportConfig) QuotaReport { return QuotaReport{config: config} }

// Daemon returns the name of the reporting daemon.
func (quotareport QuotaReport) Daemon() string { return quotareport.config.Daemon }

// Instance identifies the process of the reporting daemon.
func (quotareport QuotaReport) Instance() uint64 { return quotareport.config.Instance }

// IsRelayed reports whether the report is that of a zone to the arbiter.
func (quotareport QuotaReport) IsRelayed() bool { return quotareport.config.Relays }

// Sequence returns a number that increases with each report.
func (quotareport QuotaReport) Sequence() uint64 { return quotareport.config.Sequence }

// IsComplete reports whether the report lists all credits, not only changes.
func (quotareport QuotaReport) IsComplete() bool { return quotareport.config.Complete }

// Lines returns the workspaces.
func (quotareport QuotaReport) Lines() []QuotaLine { return quotareport.config.Lines }

// Votes returns the support for arbiters.
func (quotareport QuotaReport) Votes() []QuotaVote { return quotareport.config.Votes }

// QuotaGrant changes the number of credits that a holder has for one workspace.
type QuotaGrant struct {
	workspace     string
	change, spare int
}

// NewQuotaGrant returns a grant of credits, or with a negative change the request to give up credits; spare is how many requests the holder may
// relay to the sender, which has as many credits left.
func NewQuotaGrant(workspace string, change, spare int) QuotaGrant {
	return QuotaGrant{workspace: workspace, change: change, spare: spare}
}

// Spare returns how many requests the holder may relay to the sender of the grant until its next report.
func (quotagrant QuotaGrant) Spare() int { return quotagrant.spare }

// Workspace returns the name of the workspace.
func (quotagrant QuotaGrant) Workspace() string { return quotagrant.workspace }

// Change returns the number of credits that the holder receives, negative if it gives them up.
func (quotagrant QuotaGrant) Change() int { return quotagrant.change }

// QuotaAnswerConfig holds the fields of a QuotaAnswer.
type QuotaAnswerConfig struct {
	// Reset means that the holder must give up all credits and send a complete report.
	Reset bool
	// Term is how long the credits of the holder are valid after it sent the report.
	Term time.Duration
	// Arbiter is the daemon that the zone reports to, and Stamp the newest time in milliseconds that it issued.
	Arbiter string
	Stamp   int64
	// Grants are the changes.
	Grants []QuotaGrant
}

// QuotaAnswer answers a QuotaReport.
type QuotaAnswer struct {
	config QuotaAnswerConfig
}

// NewQuotaAnswer returns an answer with the given configuration.
func NewQuotaAnswer(config QuotaAnswerConfig) QuotaAnswer { return QuotaAnswer{config: config} }

// IsReset reports whether the holder must give up all credits and send a complete report.
func (quotaanswer QuotaAnswer) IsReset() bool { return quotaanswer.config.Reset }

// ValidUntil returns until when the credits of a holder are valid that sent its report at the given time.
func (quotaanswer QuotaAnswer) ValidUntil(sent time.Time) time.Time {
	return sent.Add(quotaanswer.config.Term)
}

// Arbiter returns the daemon that the zone reports to.
func (quotaanswer QuotaAnswer) Arbiter() string { return quotaanswer.config.Arbiter }

// Stamp returns the newest time in milliseconds that the arbiter issued.
func (quotaanswer QuotaAnswer) Stamp() int64 { return quotaanswer.config.Stamp }

// Grants returns the changes.
func (quotaanswer QuotaAnswer) Grants() []QuotaGrant { return quotaanswer.config.Grants }

// QuotaPeers sends reports to other daemons.
type QuotaPeers interface {
	// Report sends a report to the daemon at a peer address; an error means that the answer will never arrive.
	Report(ctx context.Context, address string, report QuotaReport) (QuotaAnswer, error)
}

// QuotaHandler handles the reports of other daemons.
type QuotaHandler interface {
	// OnReport answers the report of a daemon or of a zone.
	OnReport(report QuotaReport) QuotaAnswer
}

// QuotaMeter records metrics of quotas.
type QuotaMeter interface {
	// Counted counts a request of a workspace: whether it was within the quota, and whether it used the reserve.
	Counted(workspace, decision string)
}
