package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/admitter"
	"lagoonlanding.example/lagoonlanding/mesh/chooser"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

const (
	// maxTries limits how often one request is sent to a daemon.
	maxTries = 16
	// maxRefusals limits the busy backend servers of the daemon's region that a request is sent to: if these are full, so are probably the
	// others. In another region one is enough, since the bytes between regions cost more than the chance is worth.
	maxRefusals = 12
	// ownerPollInterval is the interval at which a request for a moving shard looks for the new owner.
	ownerPollInterval = 40 * time.Millisecond
	// defaultRetryDelay is the suggested delay before a retry if no better estimate is known.
	defaultRetryDelay = 300 * time.Millisecond
	// ownerWaitShare is the fraction of the latency objective that a request waits for the owner of a moving shard.
	ownerWaitShare = 0.5
)

// Config holds the dependencies of a Forwarder.
type Config struct {
	// Daemon is the name of the daemon, and Service the service of the backend server beside it.
	Daemon, Service string
	// Region is the region of the daemon.
	Region string
	// Local handles tasks for the backend server beside the daemon.
	Local lagoonlanding.TaskHandler
	// Sender sends tasks to other daemons.
	Sender lagoonlanding.TaskSender
	// Chooser selects backend servers.
	Chooser *chooser.Chooser
	// Budgets limit retries.
	Budgets *Budgets
	// Quota counts the requests of workspaces; nil means that there are no quotas.
	Quota lagoonlanding.Quota
	// SetWorkspace replaces what identifies the client in the header of a request by the name of its workspace; nil changes nothing.
	SetWorkspace func(header http.Header, workspace string)
	// Snapshot returns the current snapshot of the control state.
	Snapshot func() *coordinator.Snapshot
	// Meter records metrics of requests.
	Meter lagoonlanding.TaskMeter
	// Shutdown tells which requests are still accepted while the daemon shuts down.
	Shutdown lagoonlanding.Shutdown
	// Clock returns the current time.
	Clock lagoonlanding.Clock
	// Log receives one line per request.
	Log *logrus.Entry
	// RandomFloat64 returns a number in [0, 1) for the weighted choice among the services of a route.
	RandomFloat64 func() float64
	// Admission holds the levels of other daemons; nil without overload control.
	Admission *admitter.Table
	// Returns remembers refused clients; it is required with Admission.
	Returns *admitter.Returns
	// AdmissionMeter records metrics of the admission; it is required with Admission.
	AdmissionMeter lagoonlanding.AdmissionMeter
}

// Forwarder handles the requests of clients of this daemon.
type Forwarder struct {
	config Config
}

var _ lagoonlanding.TaskHandler = (*Forwarder)(nil)

// New returns a forwarder.
func New(config Config) *Forwarder { return &Forwarder{config: config} }

// delivery is the state of one request across its tries.
type delivery struct {
	task  lagoonlanding.Task
	route lagoonlanding.PathRoute
	tried map[string]bool
	// received are the backend servers that received the request: none receives it twice, since a copy of the first response would be taken for
	// the second.
	received map[lagoonlanding.BackendID]bool
	tries    int
	// attempts counts the tries that reached a backend server, which may have run the request.
	attempts int
	// lastBackend is the backend server of the most recent try.
	lastBackend lagoonlanding.BackendID
	// refusals counts the busy backend servers by region, and retryAt is the earliest time at which one of them may accept the request.
	refusals map[string]int
	retryAt  time.Time
	result   lagoonlanding.Result
	// waitUntil is the time until which the request waits for the owner of a moving shard.
	waitUntil time.Time
	// workspace is that of the request, and credit permits its next try; nil if the last try has spent it or the workspace has no quota.
	workspace lagoonlanding.Workspace
	credit    lagoonlanding.Credit
	// relayTo is the daemon that handles the request because this one has no credit, the zero value if this one does.
	relayTo lagoonlanding.Backend
	// rank is the admission rank of the task under overload control.
	rank admitter.Rank
	// atOrigin means that the request was refused here, before any hop.
	atOrigin bool
	// asked are the backend servers whose levels refused the request.
	asked []lagoonlanding.Backend
}

// Handle sends the request to a backend server, with retries, and returns the result.
func (forwarder *Forwarder) Handle(ctx context.Context, task lagoonlanding.Task) lagoonlanding.Result {
	delivery, refusal := forwarder.newDelivery(task)
	if delivery == nil {
		forwarder.log(task, lagoonlanding.BackendID{}, 0, refusal)
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(delivery.task.Deadline().Sub(task.Received())))
	if delivery.relayTo.ID().IsZero() {
		for forwarder.try(ctx, delivery) {
		}
	} else {
		forwarder.relay(ctx, delivery)
	}
	delivery.correctOutcome()
	forwarder.returnCredit(delivery)
	forwarder.setReturn(delivery)
	if delivery.atOrigin {
		forwarder.recordOriginRefusal(delivery)
	}
	forwarder.log(delivery.task, delivery.lastBackend, delivery.tries, delivery.result)
	result := delivery.result
	if result.Outcome() != lagoonlanding.OutcomeAnswered {
		cancel()
		return result
	}
	return result.With(func(config *lagoonlanding.ResultConfig) {
		config.Answer = config.Answer.WithBody(newCancelOnClose(config.Answer.Body(), cancel))
	})
}

// newDelivery matches the route and sets the deadline, the service and the priority of the request, or refuses it.
func (forwarder *Forwarder) newDelivery(task lagoonlanding.Task) (*delivery, lagoonlanding.Result) {
	now := forwarder.config.Clock.Now()
	routing := forwarder.config.Snapshot().Routing()
	if routing == nil {
		return nil, lagoonlanding.NotRun(lagoonlanding.ReasonNotReady, now.Add(defaultRetryDelay))
	}
	route, ok := routing.Route(task.Host(), pathOf(task.Target()))
	if !ok {
		return nil, lagoonlanding.NotRun(lagoonlanding.ReasonNoRoute, time.Time{})
	}
	workspace, ok := forwarder.identify(routing, route, task)
	if !ok {
		return nil, lagoonlanding.NotRun(lagoonlanding.ReasonUnknownKey, time.Time{})
	}
	task = forwarder.identified(task, routing, workspace)
	task = forwarder.routed(task, routing, route, workspace)
	task, ok = forwarder.config.Shutdown.Accept(task)
	if !ok {
		return nil, forwarder.shuttingDown()
	}
	if forwarder.config.Admission != nil {
		task = forwarder.config.Returns.Arrived(now, task)
	}
	credit, relayTo, refusal := forwarder.firstCredit(task, workspace)
	if refusal.Outcome() != 0 {
		return nil, refusal
	}
	forwarder.config.Budgets.Earn(task.Service())
	wait := time.Duration(float64(task.Objective().Sub(task.Received())) * ownerWaitShare)
	rank := admitter.Rank(0)
	if forwarder.config.Admission != nil {
		rank = admitter.RankOf(task)
	}
	return &delivery{
		task: task, route: route, tried: map[string]bool{}, received: map[lagoonlanding.BackendID]bool{}, refusals: map[string]int{},
		waitUntil: now.Add(wait), workspace: workspace, credit: credit, relayTo: relayTo, rank: rank,
	}, lagoonlanding.Result{}
}

// routed returns the task with what the route and the workspace decide.
func (forwarder *Forwarder) routed(
	task lagoonlanding.Task, routing *lagoonlanding.Routing, route lagoonlanding.PathRoute, workspace lagoonlanding.Workspace,
) lagoonlanding.Task {
	task = task.With(func(config *lagoonlanding.TaskConfig) {
		config.Route, config.Priority = route.Name(), route.Priority()
		if !task.IsRelayed() {
			config.Caller = forwarder.config.Service
		}
		if !workspace.IsZero() {
			config.Priority = workspace.Priority()
		}
		config.Service = forwarder.drawService(route)
		config.Objective, config.AtMostOnce = route.Objective(task.Received()), !route.IsIdempotent()
		if at := route.TimeoutAt(task.Received()); !at.IsZero() && at.Before(task.Deadline()) {
			config.Deadline = at
		}
	})
	if policy, ok := routing.Service(task.Service()); !ok || !policy.IsDivided() {
		task = task.With(func(config *lagoonlanding.TaskConfig) { config.ShardKey = lagoonlanding.NoShardKey })
	}
	return task
}

// drawService picks a service of the route at random by weight.
func (forwarder *Forwarder) drawService(route lagoonlanding.PathRoute) string {
	shares := route.Shares()
	if len(shares) == 1 {
		return shares[0].Service()
	}
	sum := 0.0
	for _, share := range shares {
		sum += share.Weight()
	}
	point := forwarder.config.RandomFloat64() * sum
	for _, share := range shares {
		if point -= share.Weight(); point < 0 {
			return share.Service()
		}
	}
	return ""
}

// try sends the request to one more daemon; it returns false once the result is final.
func (forwarder *Forwarder) try(ctx context.Context, delivery *delivery) bool {
	backend, ok := forwarder.pick(delivery)
	if !ok {
		return forwarder.wait(ctx, delivery)
	}
	delivery.task, ok = forwarder.config.Shutdown.Accept(delivery.task)
	if !ok {
		delivery.end(forwarder.shuttingDown())
		return false
	}
	if refusal := forwarder.identifyAgain(delivery); refusal.Outcome() != 0 {
		delivery.end(refusal)
		return false
	}
	if delivery.result.Outcome() == lagoonlanding.OutcomeAnswered {
		// The answer stays readable until another try replaces it: there may be no other backend server.
		delivery.result.Answer().Body().Close()
	}
	delivery.tries++
	delivery.tried[backend.ID().Daemon()], delivery.lastBackend = true, backend.ID()
	sentAt := forwarder.config.Clock.Now()
	delivery.result = forwarder.send(ctx, backend, delivery.task)
	forwarder.recordAdmission(delivery, sentAt)
	if delivery.result.IsDelivered() {
		delivery.attempts++
		delivery.received[backend.ID()] = true
		forwarder.spendCredit(delivery)
	}
	delivery.recordRefusal(backend, forwarder.config.Region)
	return forwarder.shouldRetry(ctx, delivery)
}

// shuttingDown returns the refusal of a request whose answer the daemon might not live to pass on.
func (forwarder *Forwarder) shuttingDown() lagoonlanding.Result {
	return lagoonlanding.NotRun(lagoonlanding.ReasonShuttingDown, forwarder.config.Shutdown.RetryAt())
}

func (forwarder *Forwarder) send(ctx context.Context, backend lagoonlanding.Backend, task lagoonlanding.Task) lagoonlanding.Result {
	daemon := backend.ID().Daemon()
	// The daemon beside the backend server must not take the task for one that is relayed to it.
	task = task.With(func(config *lagoonlanding.TaskConfig) { config.Relayed = false })
	forwarder.config.Chooser.Sent(daemon)
	var result lagoonlanding.Result
	if daemon == forwarder.config.Daemon {
		result = forwarder.config.Local.Handle(ctx, task)
	} else {
		result = forwarder.config.Sender.Send(ctx, backend, task)
	}
	forwarder.config.Chooser.Done(forwarder.config.Clock.Now(), daemon, result)
	if forwarder.config.Admission != nil {
		forwarder.config.Admission.Report(forwarder.config.Clock.Now(), backend, result.Load(), isBusy(result))
	}
	return result
}

// shouldRetry reports whether the request is sent to another backend server after the latest result.
func (forwarder *Forwarder) shouldRetry(ctx context.Context, delivery *delivery) bool {
	result := delivery.result
	if ctx.Err() != nil || delivery.tries >= maxTries {
		return false
	}
	if result.Reason() == lagoonlanding.ReasonQuarantined {
		return false
	}
	if result.Outcome() == lagoonlanding.OutcomeNotRun && !result.IsDelivered() {
		// The request reached no backend server, so a retry needs no budget.
		return forwarder.rewindBody(delivery)
	}
	if delivery.attempts >= delivery.route.MaxAttempts() || !forwarder.rewindBody(delivery) {
		return false
	}
	switch result.Outcome() {
	case lagoonlanding.OutcomeNotRun:
	case lagoonlanding.OutcomeUnknown:
		if !delivery.route.IsIdempotent() {
			return false
		}
	default:
		if !delivery.route.IsIdempotent() || result.Answer().Status() < 500 || result.Answer().Status() == 504 {
			return false
		}
	}
	credit, _, ok := forwarder.takeCredit(delivery.workspace)
	if !ok {
		return false
	}
	if delivery.credit = credit; !forwarder.config.Budgets.Spend(delivery.task.Service()) {
		return false
	}
	if result.Outcome() != lagoonlanding.OutcomeNotRun {
		delivery.task = delivery.task.With(func(config *lagoonlanding.TaskConfig) { config.Repeated = true })
	}
	return true
}

// rewindBody rewinds the body for another try; it returns false if that is impossible.
func (forwarder *Forwarder) rewindBody(delivery *delivery) bool {
	if delivery.task.Body() == nil {
		return true
	}
	rewinder, ok := delivery.task.Body().(lagoonlanding.Rewinder)
	if !ok {
		return false
	}
	body, ok := rewinder.Rewound()
	if ok {
		delivery.task = delivery.task.With(func(config *lagoonlanding.TaskConfig) { config.Body = body })
	}
	return ok
}

func (forwarder *Forwarder) log(task lagoonlanding.Task, lastBackend lagoonlanding.BackendID, tries int, result lagoonlanding.Result) {
	took := forwarder.config.Clock.Now().Sub(task.Received())
	forwarder.config.Meter.Ended(task, result, tries, took)
	fields := logrus.Fields{
		"request": task.ID(), "route": task.Route(), "service": task.Service(), "tries": tries, "outcome": result.Outcome().String(),
		"took-ms": took.Milliseconds(),
	}
	snapshot := forwarder.config.Snapshot()
	fields["fleet-revision"] = snapshot.Revision()
	if snapshot.Routing() != nil {
		fields["configuration"] = snapshot.Routing().Version()
	}
	if !lastBackend.IsZero() {
		fields["backend-server"] = lastBackend.String()
	}
	if result.Reason() != lagoonlanding.ReasonNone {
		fields["reason"] = result.Reason()
	}
	if task.Workspace() != "" {
		fields["workspace"], fields["relayed"] = task.Workspace(), task.IsRelayed()
	}
	if task.ShardKey() != lagoonlanding.NoShardKey {
		fields["shard-key"] = task.ShardKey()
	}
	if result.Outcome() == lagoonlanding.OutcomeAnswered {
		fields["status"] = result.Answer().Status()
	}
	forwarder.config.Log.WithFields(fields).Info("Request ended.")
}
