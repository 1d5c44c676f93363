package apportioner

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Arbiter creates the credits of the fleet while a majority of the daemons supports it; it belongs to one goroutine.
type Arbiter struct {
	name  string
	pool  *Pool
	terms Terms
	// votes maps each reporter to the votes of its last report.
	votes map[string]reporterVotes
	// createFrom is when the arbiter may create credits; zero while it is not supported.
	createFrom time.Time
	hasCreated bool
	// createdAt is when credits were last created.
	createdAt time.Time
	// halfUntil is until when the arbiter creates credits at half the rate.
	halfUntil time.Time
	// isFirst means that the whole fleet starts, so that no earlier arbiter can have granted credits.
	isFirst bool
	minted  map[string]*mint
	// removed maps the workspaces that the configuration no longer has to when this was seen.
	removed map[string]time.Time
}

// createInterval is the shortest interval at which credits are created: with 10,000 workspaces, each time takes about half a millisecond.
const createInterval = 20 * time.Millisecond

// arbiterSpreadShare is the fraction of unwanted credits that the arbiter gives to zones beforehand; the rest goes to the zone whose demand rises.
const arbiterSpreadShare = 0.75

// reporterVotes are the votes that one reporter passed on.
type reporterVotes struct {
	zone  string
	votes []lagoonlanding.QuotaVote
}

// mint is the state of creating the credits of one workspace.
type mint struct {
	at       time.Time
	fraction float64
}

// Fleet is what an arbiter knows about the fleet and the configuration.
type Fleet struct {
	// Daemons is the number of daemons, and Zone the zone of a daemon.
	Daemons int
	Zone    func(daemon string) string
	// Workspaces are the workspaces in force, and Rules state what they may use.
	Workspaces []lagoonlanding.Workspace
	Rules      lagoonlanding.QuotaRules
}

// NewArbiter returns an arbiter that nobody supports; isFirst means that the whole fleet starts for the first time.
func NewArbiter(name string, terms Terms, isFirst bool) *Arbiter {
	return &Arbiter{
		name: name, pool: NewPool(PoolConfig{SpreadShare: arbiterSpreadShare, RoundsUp: true}), terms: terms, votes: map[string]reporterVotes{}, minted: map[string]*mint{},
		removed: map[string]time.Time{}, isFirst: isFirst,
	}
}

// OnReport answers the report of a zone; it grants nothing unless a majority of the fleet supports the arbiter.
func (arbiter *Arbiter) OnReport(now time.Time, fleet Fleet, report lagoonlanding.QuotaReport) lagoonlanding.QuotaAnswer {
	config := lagoonlanding.QuotaAnswerConfig{Arbiter: arbiter.name, Stamp: now.UnixMilli()}
	arbiter.pool.Expire(now)
	if !arbiter.pool.Record(now, now.Add(arbiter.terms.Zone), report) {
		config.Reset = true
		return lagoonlanding.NewQuotaAnswer(config)
	}
	arbiter.votes[report.Daemon()] = reporterVotes{zone: fleet.Zone(report.Daemon()), votes: report.Votes()}
	if !arbiter.update(now, fleet) {
		return lagoonlanding.NewQuotaAnswer(config)
	}
	config.Term, config.Grants = arbiter.terms.Zone, arbiter.pool.Grant(report)
	return lagoonlanding.NewQuotaAnswer(config)
}

// IsSupported reports whether the arbiter was supported when it last answered a report.
func (arbiter *Arbiter) IsSupported() bool { return !arbiter.createFrom.IsZero() }

// Pool returns the credits of the fleet.
func (arbiter *Arbiter) Pool() *Pool { return arbiter.pool }

// update creates credits if the arbiter is supported, and reports whether it is.
func (arbiter *Arbiter) update(now time.Time, fleet Fleet) bool {
	if !arbiter.hasMajority(now, fleet) {
		// Another arbiter may create credits from now on.
		arbiter.createFrom, arbiter.hasCreated = time.Time{}, false
		arbiter.pool.Discard()
		clear(arbiter.minted)
		return false
	}
	if arbiter.createFrom.IsZero() {
		// What an earlier arbiter granted may be used until the end of its leases.
		arbiter.createFrom = now.Add(arbiter.terms.Zone)
		if arbiter.isFirst {
			// While a fleet starts, the first daemon by name may change, so that two arbiters create credits for a moment.
			arbiter.halfUntil, arbiter.createFrom, arbiter.isFirst = arbiter.createFrom, now, false
		}
	}
	if now.Before(arbiter.createFrom) || now.Before(arbiter.createdAt.Add(createInterval)) {
		return true
	}
	arbiter.createdAt = now
	known := make(map[string]bool, len(fleet.Workspaces))
	for _, workspace := range fleet.Workspaces {
		if workspace.IsLimited() {
			known[workspace.Name()] = true
			arbiter.create(now, fleet, workspace)
		}
	}
	arbiter.hasCreated = true
	arbiter.forget(now, fleet, known)
	return true
}

// forget removes the workspaces that the configuration no longer has.
func (arbiter *Arbiter) forget(now time.Time, fleet Fleet, known map[string]bool) {
	arbiter.pool.Forget(func(name string) bool { return known[name] })
	for name := range arbiter.minted {
		if !known[name] {
			delete(arbiter.minted, name)
			arbiter.removed[name] = now
		}
	}
	for name, at := range arbiter.removed {
		if now.Sub(at).Seconds() > 2*fleet.Rules.WindowSeconds() {
			delete(arbiter.removed, name)
		}
	}
}

// create creates the credits that the workspace's rate has added, up to its capacity.
func (arbiter *Arbiter) create(now time.Time, fleet Fleet, workspace lagoonlanding.Workspace) {
	known, ok := arbiter.minted[workspace.Name()]
	if !ok {
		known = &mint{at: now}
		arbiter.minted[workspace.Name()] = known
		if _, ok := arbiter.removed[workspace.Name()]; !ok && arbiter.hasCreated {
			// A new workspace has not used anything yet.
			known.fraction = float64(fleet.Rules.Capacity(workspace, fleet.Daemons))
		}
	}
	room := fleet.Rules.Capacity(workspace, fleet.Daemons) - arbiter.pool.Outstanding(workspace.Name())
	rate := fleet.Rules.LeasedRate(workspace, fleet.Daemons)
	if now.Before(arbiter.halfUntil) {
		rate /= 2
	}
	known.fraction = min(known.fraction+rate*now.Sub(known.at).Seconds(), float64(max(room, 0)))
	known.at = now
	credits := int(known.fraction)
	known.fraction -= float64(credits)
	if room < 0 {
		// The limit has been lowered.
		credits = room
	}
	if credits > 0 {
		arbiter.pool.Add(workspace.Name(), credits)
	} else if credits < 0 {
		arbiter.pool.GiveUp(workspace.Name(), -credits)
	}
}

// hasMajority reports whether most daemons support the arbiter now. A daemon that sent a vote after it had seen a stamp supports no other arbiter
// for the term of votes, so two arbiters never have a majority at the same time.
func (arbiter *Arbiter) hasMajority(now time.Time, fleet Fleet) bool {
	oldest := now.Add(arbiter.terms.Margin - arbiter.terms.Vote).UnixMilli()
	// During a change of reporters, two of them may report the same daemons of a zone.
	byZone := map[string]int{}
	for reporter, votes := range arbiter.votes {
		count := 0
		for _, vote := range votes.votes {
			if vote.Arbiter() == arbiter.name && vote.Stamp() >= oldest && vote.Stamp() <= now.UnixMilli() {
				count += vote.Daemons()
			}
		}
		if count == 0 {
			delete(arbiter.votes, reporter)
			continue
		}
		byZone[votes.zone] = max(byZone[votes.zone], count)
	}
	sum := 0
	for _, count := range byZone {
		sum += count
	}
	return 2*sum > fleet.Daemons
}
