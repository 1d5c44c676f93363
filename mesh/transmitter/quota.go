package transmitter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// quotaPath is the URL path at which a daemon accepts reports about the credits of workspaces.
const quotaPath = "/lagoonlanding/quota"

// The greatest numbers in a report or an answer; they are far above those of the largest fleet.
const (
	maxQuotaCredits = 1 << 30
	maxQuotaTermMS  = 60_000
)

// quotaReport is the JSON form of a report.
type quotaReport struct {
	Daemon   string      `json:"d"`
	Instance uint64      `json:"i"`
	Relays   bool        `json:"z,omitempty"`
	Sequence uint64      `json:"n"`
	Complete bool        `json:"c,omitempty"`
	Lines    []quotaLine `json:"l,omitempty"`
	Votes    []quotaVote `json:"v,omitempty"`
}

// quotaLine is the JSON form of a line: the credits that exist and those that are wanted.
type quotaLine struct {
	Workspace   string  `json:"w"`
	Outstanding int     `json:"o,omitempty"`
	Wanted      float64 `json:"n,omitempty"`
	GivenUp     int     `json:"g,omitempty"`
}

// quotaVote is the JSON form of a vote.
type quotaVote struct {
	Arbiter string `json:"a"`
	Stamp   int64  `json:"s"`
	Daemons int    `json:"n"`
}

// quotaAnswer is the JSON form of an answer.
type quotaAnswer struct {
	Reset   bool         `json:"r,omitempty"`
	TermMS  int64        `json:"t,omitempty"`
	Arbiter string       `json:"a,omitempty"`
	Stamp   int64        `json:"s,omitempty"`
	Grants  []quotaGrant `json:"g,omitempty"`
}

// quotaGrant is the JSON form of a grant.
type quotaGrant struct {
	Workspace string `json:"w"`
	Change    int    `json:"n,omitempty"`
	Spare     int    `json:"s,omitempty"`
}

var (
	_ lagoonlanding.Message[lagoonlanding.QuotaReport] = quotaReport{}
	_ lagoonlanding.Message[lagoonlanding.QuotaAnswer] = quotaAnswer{}
)

func newQuotaReport(report lagoonlanding.QuotaReport) quotaReport {
	encoded := quotaReport{
		Daemon: report.Daemon(), Instance: report.Instance(), Relays: report.IsRelayed(), Sequence: report.Sequence(), Complete: report.IsComplete(),
	}
	for _, line := range report.Lines() {
		encoded.Lines = append(encoded.Lines, quotaLine{Workspace: line.Workspace(), Outstanding: line.Outstanding(), Wanted: line.Wanted(), GivenUp: line.GivenUp()})
	}
	for _, vote := range report.Votes() {
		encoded.Votes = append(encoded.Votes, quotaVote{Arbiter: vote.Arbiter(), Stamp: vote.Stamp(), Daemons: vote.Daemons()})
	}
	return encoded
}

// Value returns the report, or an error with the field that is out of bounds.
func (quotareport quotaReport) Value(time.Time) (lagoonlanding.QuotaReport, error) {
	config := lagoonlanding.QuotaReportConfig{
		Daemon: quotareport.Daemon, Instance: quotareport.Instance, Relays: quotareport.Relays, Sequence: quotareport.Sequence, Complete: quotareport.Complete,
	}
	if quotareport.Daemon == "" {
		return lagoonlanding.QuotaReport{}, errors.New("quota report: d is empty")
	}
	for _, line := range quotareport.Lines {
		if line.Workspace == "" || line.Outstanding < 0 || line.Outstanding > maxQuotaCredits || line.GivenUp < 0 || line.GivenUp > maxQuotaCredits || !(line.Wanted >= 0 && line.Wanted <= maxQuotaCredits) {
			return lagoonlanding.QuotaReport{}, fmt.Errorf("quota report: l has workspace %q with %d, %g and %d credits, want 0 to %d",
				line.Workspace, line.Outstanding, line.Wanted, line.GivenUp, maxQuotaCredits)
		}
		config.Lines = append(config.Lines, lagoonlanding.NewQuotaLine(line.Workspace, line.Outstanding, line.Wanted).WithGivenUp(line.GivenUp))
	}
	for _, vote := range quotareport.Votes {
		if vote.Daemons < 0 || vote.Daemons > maxQuotaCredits {
			return lagoonlanding.QuotaReport{}, fmt.Errorf("quota report: v has %d daemons, want 0 to %d", vote.Daemons, maxQuotaCredits)
		}
		config.Votes = append(config.Votes, lagoonlanding.NewQuotaVote(vote.Arbiter, vote.Stamp, vote.Daemons))
	}
	return lagoonlanding.NewQuotaReport(config), nil
}

func newQuotaAnswer(answer lagoonlanding.QuotaAnswer) quotaAnswer {
	encoded := quotaAnswer{
		Reset: answer.IsReset(), TermMS: answer.ValidUntil(time.Time{}).Sub(time.Time{}).Milliseconds(), Arbiter: answer.Arbiter(), Stamp: answer.Stamp(),
	}
	for _, grant := range answer.Grants() {
		encoded.Grants = append(encoded.Grants, quotaGrant{Workspace: grant.Workspace(), Change: grant.Change(), Spare: grant.Spare()})
	}
	return encoded
}

// Value returns the answer, or an error with the field that is out of bounds.
func (quotaanswer quotaAnswer) Value(time.Time) (lagoonlanding.QuotaAnswer, error) {
	if quotaanswer.TermMS < 0 || quotaanswer.TermMS > maxQuotaTermMS {
		return lagoonlanding.QuotaAnswer{}, fmt.Errorf("quota answer: t is %d, want 0 to %d", quotaanswer.TermMS, maxQuotaTermMS)
	}
	config := lagoonlanding.QuotaAnswerConfig{
		Reset: quotaanswer.Reset, Term: time.Duration(quotaanswer.TermMS) * time.Millisecond, Arbiter: quotaanswer.Arbiter, Stamp: quotaanswer.Stamp,
	}
	for _, grant := range quotaanswer.Grants {
		if grant.Workspace == "" || grant.Change < -maxQuotaCredits || grant.Change > maxQuotaCredits || grant.Spare < 0 || grant.Spare > maxQuotaCredits {
			return lagoonlanding.QuotaAnswer{}, fmt.Errorf("quota answer: g has workspace %q with a change of %d and %d spare credits, want up to %d",
				grant.Workspace, grant.Change, grant.Spare, maxQuotaCredits)
		}
		config.Grants = append(config.Grants, lagoonlanding.NewQuotaGrant(grant.Workspace, grant.Change, grant.Spare))
	}
	return lagoonlanding.NewQuotaAnswer(config), nil
}

// Report sends a report to the daemon at the address.
func (peers *Peers) Report(ctx context.Context, address string, report lagoonlanding.QuotaReport) (lagoonlanding.QuotaAnswer, error) {
	encoded, err := call[quotaReport, quotaAnswer](ctx, peer{pool: peers.pool, address: address}, quotaPath, newQuotaReport(report))
	if err != nil {
		return lagoonlanding.QuotaAnswer{}, err
	}
	return encoded.Value(time.Time{})
}

// serveQuota answers the report of another daemon.
func (server *Server) serveQuota(writer http.ResponseWriter, request *http.Request) {
	encoded, ok := decodeRequest[quotaReport](writer, request)
	if !ok {
		return
	}
	report, err := encoded.Value(time.Time{})
	if err != nil || server.config.Quota == nil {
		server.config.Log.WithError(err).Warn("Report of a daemon about quotas was rejected.")
		http.Error(writer, "malformed report", http.StatusBadRequest)
		return
	}
	server.respond(writer, newQuotaAnswer(server.config.Quota.OnReport(report)), nil)
}
