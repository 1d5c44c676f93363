package apportioner

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Terms holds the durations of leases and votes.
type Terms struct {
	// Daemon is how long a daemon may use its credits after it sent the last report that was answered; Zone is that time for a zone.
	Daemon, Zone time.Duration
	// Vote is how long a daemon supports no other arbiter after it sent a vote.
	Vote time.Duration
	// Margin is the time before the end of a lease from which a holder gives up its credits instead of reporting them: its report could
	// arrive after the end. It also covers the drift of clocks.
	Margin time.Duration
}

// zoneSpreadShare is the fraction of unwanted credits that a zone gives to daemons beforehand: a first request finds one, and the rest goes to
// the daemon whose demand rises.
const zoneSpreadShare = 0.5

// Zone holds the credits of one zone at its reporter; it belongs to one goroutine.
type Zone struct {
	pool  *Pool
	terms Terms
	// until is when the lease of the zone's credits ends.
	until time.Time
	// answered is when the newest answered report was sent.
	answered time.Time
	arbiter  string
	stamp    int64
}

// NewZone returns a zone without credits.
func NewZone(terms Terms) *Zone {
	return &Zone{pool: NewPool(PoolConfig{SpreadShare: zoneSpreadShare}), terms: terms}
}

// OnReport answers the report of a daemon, and returns whether the daemon wants more than the zone could give.
func (zone *Zone) OnReport(now time.Time, report lagoonlanding.QuotaReport) (answer lagoonlanding.QuotaAnswer, isShort bool) {
	zone.expire(now)
	config := lagoonlanding.QuotaAnswerConfig{Arbiter: zone.arbiter, Stamp: zone.stamp}
	if !zone.pool.Record(now, now.Add(zone.terms.Daemon), report) {
		config.Reset = true
		return lagoonlanding.NewQuotaAnswer(config), false
	}
	term := min(zone.terms.Daemon, zone.until.Sub(now))
	if term <= zone.terms.Margin || !zone.pool.Since(report).Before(zone.answered) {
		// The arbiter does not count the daemon's credits as this zone's yet, so their leases must not be extended.
		zone.pool.Untold(report)
		return lagoonlanding.NewQuotaAnswer(config), len(report.Lines()) > 0
	}
	config.Term, config.Grants = term, zone.pool.Grant(report)
	for _, line := range report.Lines() {
		isShort = isShort || zone.pool.IsShort(report, line.Workspace())
	}
	return lagoonlanding.NewQuotaAnswer(config), isShort
}

// IsShort reports whether the holder has fewer credits of the workspace than it wants.
func (pool *Pool) IsShort(report lagoonlanding.QuotaReport, workspace string) bool {
	account, ok := pool.accounts[workspace]
	if !ok {
		return false
	}
	line := account.lines[holderID{daemon: report.Daemon(), instance: report.Instance()}]
	return float64(line.outstanding+account.free) < line.wanted
}

// Draw moves a credit from the zone to one of its daemons; it returns false if none is left.
func (zone *Zone) Draw(now time.Time, daemon string, instance uint64, workspace string) bool {
	zone.expire(now)
	return zone.pool.Draw(daemon, instance, workspace)
}

// Lines returns what the zone reports to the arbiter.
func (zone *Zone) Lines(now time.Time) map[string]lagoonlanding.QuotaLine {
	zone.expire(now)
	return zone.pool.Lines()
}

// Votes returns the votes of the zone's daemons for the arbiter.
func (zone *Zone) Votes(arbiter string) []lagoonlanding.QuotaVote { return zone.pool.Votes(arbiter) }

// Apply applies the arbiter's answer to the report that was sent at the given time.
func (zone *Zone) Apply(sent time.Time, answer lagoonlanding.QuotaAnswer) {
	if answer.Arbiter() != "" && answer.Stamp() != 0 {
		zone.arbiter, zone.stamp = answer.Arbiter(), answer.Stamp()
	}
	if answer.IsReset() || !answer.ValidUntil(sent).After(sent) {
		return
	}
	if until := answer.ValidUntil(sent); until.After(zone.until) {
		zone.until = until
	}
	zone.answered = sent
	for _, grant := range answer.Grants() {
		if grant.Change() < 0 {
			zone.pool.GiveUp(grant.Workspace(), -grant.Change())
		} else {
			zone.pool.Add(grant.Workspace(), grant.Change())
		}
	}
}

// expire gives up the zone's credits shortly before their lease ends.
func (zone *Zone) expire(now time.Time) {
	zone.pool.Expire(now)
	if !now.Before(zone.until.Add(-zone.terms.Margin)) {
		zone.pool.Discard()
	}
}

// Pool returns the credits of the zone.
func (zone *Zone) Pool() *Pool { return zone.pool }
