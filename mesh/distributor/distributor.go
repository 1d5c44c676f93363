package distributor

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/apportioner"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
	"lagoonlanding.example/lagoonlanding/mesh/throttler"
)

// Config holds the dependencies of a Distributor.
type Config struct {
	// Daemon is the name of the daemon, Instance identifies its process, and Zone is its availability zone.
	Daemon   string
	Instance uint64
	Zone     string
	// FirstStart means that the whole fleet starts for the first time.
	FirstStart bool
	// Throttler holds the credits of the daemon.
	Throttler *throttler.Throttler
	// Peers sends reports to other daemons.
	Peers lagoonlanding.QuotaPeers
	// Snapshot returns the current snapshot of the control state.
	Snapshot func() *coordinator.Snapshot
	// Rules state how many requests are permitted in a window, and Terms how long leases and votes last.
	Rules lagoonlanding.QuotaRules
	Terms apportioner.Terms
	// Clock returns the current time.
	Clock lagoonlanding.Clock
	// Log receives one line per change of the reporter, the arbiter and its support.
	Log *logrus.Entry
}

const (
	// reportInterval is the interval of reports.
	reportInterval = 500 * time.Millisecond
	// earlyInterval is the shortest interval of reports of a daemon that has used its last credit, and earlyZoneInterval of a zone whose daemons
	// want more than it has.
	earlyInterval     = 150 * time.Millisecond
	earlyZoneInterval = 100 * time.Millisecond
	// reportTimeout is the time after which a report counts as not answered; the longest round trip takes about 20 ms.
	reportTimeout = 350 * time.Millisecond
	// maxFailures is the number of consecutive reports without an answer after which a recipient is replaced by the next.
	maxFailures = 2
	// avoidTerm is how long a recipient that does not answer is not asked again.
	avoidTerm = 3 * time.Second
	// supportTerm is how long a zone waits for the support of its arbiter: daemons are bound to another one for the term of votes.
	supportTerm = 3500 * time.Millisecond
	// probeTerm is how long a zone then looks whether the next daemon by name knows the arbiter.
	probeTerm = 700 * time.Millisecond
	// takeoverTerm is how long a link reports early while it gets no lease: the time in which another arbiter takes over.
	takeoverTerm = 8 * time.Second
)

// Distributor exchanges reports; Run must be called once.
type Distributor struct {
	config Config
	events chan func(now time.Time)
	// closed is closed when Run has returned.
	closed chan struct{}

	zone    *apportioner.Zone
	arbiter *apportioner.Arbiter
	voter   *apportioner.Voter
	// daemonLink and zoneLink are the links on which the daemon reports to its zone, and the zone to the arbiter.
	daemonLink, zoneLink link
	avoided              map[string]time.Time
	isSupported          bool
	// preferred is the arbiter that granted a lease, or that another daemon named, and avoidedArbiters are those that granted none.
	preferred string
	// unsupportedSince is since when a recipient has granted no lease.
	unsupportedSince     time.Time
	unsupportedRecipient string
	avoidedArbiters      map[string]time.Time
}

// link is the state of the reports to one kind of recipient.
type link struct {
	changes   apportioner.Changes
	recipient string
	// lastSent is when the last report was sent, and isWaiting means that it has not been answered yet.
	lastSent  time.Time
	isWaiting bool
	// isShort means that a report is due as soon as the early interval has passed.
	isShort  bool
	failures int
	// lastValid is when the last report was sent that was answered with a lease.
	lastValid time.Time
}

var _ lagoonlanding.QuotaHandler = (*Distributor)(nil)

// New returns a distributor.
func New(config Config) *Distributor {
	return &Distributor{
		config: config, events: make(chan func(now time.Time)), closed: make(chan struct{}), zone: apportioner.NewZone(config.Terms),
		arbiter: apportioner.NewArbiter(config.Daemon, config.Terms, config.FirstStart), voter: apportioner.NewVoter(config.Clock.Now(), config.Terms.Vote),
		avoided: map[string]time.Time{}, avoidedArbiters: map[string]time.Time{},
	}
}

// OnReport answers the report of a daemon or of a zone; any goroutine may call it.
func (distributor *Distributor) OnReport(report lagoonlanding.QuotaReport) lagoonlanding.QuotaAnswer {
	answers := make(chan lagoonlanding.QuotaAnswer, 1)
	if !distributor.post(func(now time.Time) { answers <- distributor.answer(now, report) }) {
		return lagoonlanding.NewQuotaAnswer(lagoonlanding.QuotaAnswerConfig{Reset: true})
	}
	return <-answers
}

var _ lagoonlanding.Quota = (*Distributor)(nil)

// Take returns a credit for one try, or when there will be room; any goroutine may call it.
func (distributor *Distributor) Take(now time.Time, workspace lagoonlanding.Workspace) (lagoonlanding.Credit, time.Time, bool) {
	return distributor.config.Throttler.Take(now, workspace)
}

// Relay returns the daemon to which a request without a credit is relayed; any goroutine may call it.
func (distributor *Distributor) Relay(workspace lagoonlanding.Workspace) (string, bool) {
	return distributor.config.Throttler.Relay(workspace)
}

// TakeRelayed takes a credit of the zone for a request that was relayed to its reporter; any goroutine may call it.
func (distributor *Distributor) TakeRelayed(now time.Time, workspace lagoonlanding.Workspace) (lagoonlanding.Credit, time.Time, bool) {
	drawn := make(chan struct{})
	isPosted := distributor.post(func(now time.Time) {
		defer close(drawn)
		// The daemon itself is one of the zone's holders, and its next report states the credit.
		link := &distributor.daemonLink
		if link.isWaiting || link.recipient != distributor.config.Daemon {
			return
		}
		if !distributor.zone.Draw(now, distributor.config.Daemon, distributor.config.Instance, workspace.Name()) {
			distributor.zoneLink.isShort = true
			return
		}
		link.changes.Changed(workspace.Name())
		distributor.config.Throttler.Deposit(workspace.Name())
	})
	if isPosted {
		<-drawn
	}
	return distributor.config.Throttler.TakeRelayed(now, workspace)
}

// post passes an event to the goroutine of Run; it returns false if that has ended.
func (distributor *Distributor) post(event func(now time.Time)) bool {
	select {
	case distributor.events <- event:
		return true
	case <-distributor.closed:
		return false
	}
}

// Run exchanges reports until ctx is done.
func (distributor *Distributor) Run(ctx context.Context) {
	defer close(distributor.closed)
	for {
		now := distributor.config.Clock.Now()
		next := now.Add(time.Second)
		if distributor.isEnabled() {
			next = distributor.report(ctx, now)
		}
		timer := distributor.config.Clock.Until(next)
		select {
		case <-ctx.Done():
			return
		case event := <-distributor.events:
			event(distributor.config.Clock.Now())
		case <-distributor.config.Throttler.Wanting():
			distributor.daemonLink.isShort = true
		case <-timer:
		}
	}
}

// isEnabled reports whether the configuration names workspaces.
func (distributor *Distributor) isEnabled() bool {
	routing := distributor.config.Snapshot().Routing()
	return routing != nil && routing.Identifies() && len(routing.Workspaces()) > 0
}

// report sends the reports that are due and returns when the next one is.
func (distributor *Distributor) report(ctx context.Context, now time.Time) time.Time {
	if distributor.daemonLink.isDue(now, earlyInterval) {
		distributor.reportDaemon(ctx, now)
	}
	if distributor.isReporter() && distributor.zoneLink.isDue(now, earlyZoneInterval) {
		distributor.reportZone(ctx, now)
	}
	next := distributor.daemonLink.dueAt(now, earlyInterval)
	if at := distributor.zoneLink.dueAt(now, earlyZoneInterval); distributor.isReporter() && at.Before(next) {
		next = at
	}
	return next
}

// isReporter reports whether any daemon reports to this one.
func (distributor *Distributor) isReporter() bool { return distributor.zone.Pool().Holders() > 0 }

// dueAt returns when the next report is due; while one is not answered, its end causes the next check.
func (link *link) dueAt(now time.Time, early time.Duration) time.Time {
	if link.isWaiting {
		return now.Add(reportInterval)
	}
	interval := reportInterval
	if link.isShort {
		interval = early
	}
	return link.lastSent.Add(interval)
}

func (link *link) isDue(now time.Time, early time.Duration) bool {
	return !link.isWaiting && !now.Before(link.dueAt(now, early))
}

// reportDaemon reports the daemon's credits to the reporter of its zone.
func (distributor *Distributor) reportDaemon(ctx context.Context, now time.Time) {
	recipient, ok := distributor.recipient(now, func(peer lagoonlanding.Backend) bool { return peer.AvailabilityZone() == distributor.config.Zone })
	if !ok {
		distributor.daemonLink.lastSent = now
		return
	}
	config := lagoonlanding.QuotaReportConfig{Daemon: distributor.config.Daemon, Instance: distributor.config.Instance, Votes: distributor.voter.Vote(now)}
	lines := distributor.config.Throttler.Lines(now, distributor.config.Terms.Margin)
	distributor.send(ctx, now, &distributor.daemonLink, recipient, lines, config, func(answer lagoonlanding.QuotaAnswer) {
		distributor.voter.Propose(answer.Arbiter(), answer.Stamp())
		distributor.config.Throttler.Apply(distributor.config.Clock.Now(), now, recipient.ID().Daemon(), answer)
	})
}

// reportZone reports the zone's credits to the arbiter.
func (distributor *Distributor) reportZone(ctx context.Context, now time.Time) {
	recipient, ok := distributor.arbiterRecipient(now)
	if !ok {
		distributor.zoneLink.lastSent = now
		return
	}
	lines := distributor.zone.Lines(now)
	config := lagoonlanding.QuotaReportConfig{
		Daemon: distributor.config.Daemon, Instance: distributor.config.Instance, Relays: true, Votes: distributor.zone.Votes(recipient.ID().Daemon()),
	}
	distributor.send(ctx, now, &distributor.zoneLink, recipient, lines, config, func(answer lagoonlanding.QuotaAnswer) {
		distributor.zone.Apply(now, answer)
		distributor.noteArbiter(now, recipient.ID().Daemon(), answer)
	})
}

// arbiterRecipient returns the arbiter: the one that granted the last lease as long as it does, which avoids a takeover when an earlier daemon by
// name returns, or else the first daemon by name.
func (distributor *Distributor) arbiterRecipient(now time.Time) (lagoonlanding.Backend, bool) {
	isAvoided := func(name string) bool {
		return now.Before(distributor.avoided[name]) || now.Before(distributor.avoidedArbiters[name])
	}
	if preferred, ok := distributor.config.Snapshot().Daemon(distributor.preferred); ok && !isAvoided(distributor.preferred) {
		return preferred, true
	}
	return distributor.recipient(now, func(peer lagoonlanding.Backend) bool { return !isAvoided(peer.ID().Daemon()) })
}

// noteArbiter records whether the recipient of a zone's report is the arbiter. One that is not may name the arbiter; if it is not supported
// within the time of a takeover, the zone looks for another.
func (distributor *Distributor) noteArbiter(now time.Time, recipient string, answer lagoonlanding.QuotaAnswer) {
	if answer.ValidUntil(now).After(now) {
		distributor.preferred, distributor.unsupportedSince = recipient, time.Time{}
		return
	}
	if distributor.unsupportedSince.IsZero() || distributor.unsupportedRecipient != recipient {
		distributor.unsupportedSince, distributor.unsupportedRecipient = now, recipient
	}
	switch {
	case answer.Arbiter() != recipient && answer.Arbiter() != "":
		distributor.preferred = answer.Arbiter()
	case now.Sub(distributor.unsupportedSince) > supportTerm:
		distributor.preferred, distributor.unsupportedSince = "", time.Time{}
		// All zones meet at the first daemon by name; if that is not supported, the next one may have a lease from the arbiter.
		if first, ok := distributor.arbiterRecipient(now); ok && first.ID().Daemon() == recipient {
			distributor.avoidedArbiters[recipient] = now.Add(probeTerm)
		}
	}
}

// recipient returns the first daemon by name that matches and has answered, or has not been asked recently.
func (distributor *Distributor) recipient(now time.Time, matches func(peer lagoonlanding.Backend) bool) (lagoonlanding.Backend, bool) {
	for _, peer := range distributor.config.Snapshot().Peers() {
		if matches(peer) && !now.Before(distributor.avoided[peer.ID().Daemon()]) {
			return peer, true
		}
	}
	return lagoonlanding.Backend{}, false
}

// send sends a report, and applies its answer in the goroutine of Run.
func (distributor *Distributor) send(
	ctx context.Context, now time.Time, link *link, recipient lagoonlanding.Backend, lines map[string]lagoonlanding.QuotaLine,
	config lagoonlanding.QuotaReportConfig, apply func(answer lagoonlanding.QuotaAnswer),
) {
	name := recipient.ID().Daemon()
	if link.recipient != name {
		distributor.config.Log.WithFields(logrus.Fields{"recipient": name, "previous": link.recipient, "relayed": config.Relays, "failures": link.failures}).
			Info("Quota reports go to another daemon.")
		link.recipient, link.failures = name, 0
	}
	link.changes.Next(name, lines, &config)
	link.lastSent, link.isShort = now, false
	report := lagoonlanding.NewQuotaReport(config)
	if name == distributor.config.Daemon {
		answer := distributor.answer(now, report)
		distributor.answered(link, now, answer)
		apply(answer)
		return
	}
	link.isWaiting = true
	sent := now
	go func() {
		limited, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		answer, err := distributor.config.Peers.Report(limited, recipient.PeerAddress(), report)
		distributor.post(func(now time.Time) {
			link.isWaiting = false
			if err != nil || now.Sub(link.lastSent) > distributor.config.Terms.Margin {
				distributor.failed(now, link)
				return
			}
			link.failures = 0
			distributor.answered(link, sent, answer)
			apply(answer)
		})
	}()
}

// manyGivenUp is the number of credits from which a holder that gives them up reports this early, since others wait for them.
const manyGivenUp = 3

// answered records the answer of a report.
func (distributor *Distributor) answered(link *link, sent time.Time, answer lagoonlanding.QuotaAnswer) {
	link.changes.Answered(answer)
	if answer.ValidUntil(sent).After(sent) {
		link.lastValid = sent
	} else if link.lastValid.IsZero() || sent.Sub(link.lastValid) < takeoverTerm {
		// An arbiter gets its support sooner if it is reported early.
		link.isShort = true
		if link.lastValid.IsZero() {
			link.lastValid = sent
		}
	}
	link.isShort = link.isShort || slices.ContainsFunc(answer.Grants(), func(grant lagoonlanding.QuotaGrant) bool { return grant.Change() <= -manyGivenUp })
}

// failed records a report without an answer.
func (distributor *Distributor) failed(now time.Time, link *link) {
	link.changes.Failed()
	link.isShort = true
	if link.failures++; link.failures < maxFailures {
		return
	}
	distributor.avoided[link.recipient] = now.Add(avoidTerm)
	if link == &distributor.daemonLink {
		distributor.config.Throttler.Unanswered()
	}
}

// answer answers a report.
func (distributor *Distributor) answer(now time.Time, report lagoonlanding.QuotaReport) lagoonlanding.QuotaAnswer {
	routing := distributor.config.Snapshot().Routing()
	if routing == nil {
		return lagoonlanding.NewQuotaAnswer(lagoonlanding.QuotaAnswerConfig{Reset: true})
	}
	if report.IsRelayed() {
		answer := distributor.arbiter.OnReport(now, distributor.fleet(routing), report)
		distributor.logSupport()
		if isLeased := answer.ValidUntil(now).After(now); !isLeased && distributor.preferred != "" && distributor.unsupportedSince.IsZero() {
			// This daemon is not the arbiter, but its zone has a lease from it.
			return lagoonlanding.NewQuotaAnswer(lagoonlanding.QuotaAnswerConfig{Reset: answer.IsReset(), Arbiter: distributor.preferred})
		}
		return answer
	}
	answer, isShort := distributor.zone.OnReport(now, report)
	distributor.zoneLink.isShort = distributor.zoneLink.isShort || isShort
	return answer
}

func (distributor *Distributor) fleet(routing *lagoonlanding.Routing) apportioner.Fleet {
	snapshot := distributor.config.Snapshot()
	return apportioner.Fleet{
		Daemons: len(snapshot.Peers()), Zone: snapshot.ZoneOf, Workspaces: routing.Workspaces(), Rules: distributor.config.Rules,
	}
}

// logSupport logs when the daemon becomes the arbiter or stops to be it.
func (distributor *Distributor) logSupport() {
	if supported := distributor.arbiter.IsSupported(); supported != distributor.isSupported {
		distributor.isSupported = supported
		distributor.config.Log.WithField("supported", supported).WithField("daemons", len(distributor.config.Snapshot().Peers())).
			Info("Support as the arbiter of quotas has changed.")
	}
}
