package forwarder

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/chooser"
	"lagoonlanding.example/lagoonlanding/mesh/coordinator"
)

const (
	// maxTries bounds the daemons that one request is offered to.
	maxTries = 8
	// maxRefusals bounds the busy backend servers of one region that a request is offered to: with so many full the others are too.
	maxRefusals = 4
	// lookTerm is the pause before a request for keys on their way looks again.
	lookTerm = 40 * time.Millisecond
	// comeBackTerm is when a request should come again if nobody can tell when it will be served.
	comeBackTerm = 300 * time.Millisecond
	// waitShare is the part of the time to its objective that a request waits for keys on their way.
	waitShare = 0.5
)

// Config holds what a Forwarder is built from.
type Config struct {
	// Daemon is the name of the daemon and Service the one beside it.
	Daemon, Service string
	// Local takes tasks for the backend server beside the daemon.
	Local lagoonlanding.TaskHandler
	// Carrier takes tasks to other daemons.
	Carrier lagoonlanding.TaskSender
	// Chooser picks backend servers.
	Chooser *chooser.Chooser
	// Budgets bound further tries.
	Budgets *Budgets
	// Snapshot returns what traffic may know of the control state.
	Snapshot func() *coordinator.Snapshot
	// Meter counts requests.
	Meter lagoonlanding.TaskMeter
	// Clock tells the time.
	Clock lagoonlanding.Clock
	// Log takes one line for each request.
	Log *logrus.Entry
	// Draw returns a number from zero to one for the choice among the services of a route.
	Draw func() float64
}

// Forwarder takes the requests that begin at this daemon.
type Forwarder struct {
	config Config
}

var _ lagoonlanding.TaskHandler = (*Forwarder)(nil)

// New returns a forwarder.
func New(config Config) *Forwarder { return &Forwarder{config: config} }

// journey is one request on its way.
type journey struct {
	task  lagoonlanding.Task
	route lagoonlanding.PathRoute
	tried map[string]bool
	tries int
	ran   int
	// last is the backend server that the request was offered to last.
	last lagoonlanding.BackendID
	// refusals counts by region the backend servers that were too busy, and retryAt is when the first of them may take the request.
	refusals map[string]int
	retryAt  time.Time
	result   lagoonlanding.Result
	// waits is until when the request waits for keys on their way.
	waits time.Time
}

// Handle finds a backend server for the request and returns what became of it.
func (forwarder *Forwarder) Handle(ctx context.Context, task lagoonlanding.Task) lagoonlanding.Result {
	journey, refusal := forwarder.begin(task)
	if journey == nil {
		forwarder.log(task, lagoonlanding.BackendID{}, 0, refusal)
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(journey.task.Deadline().Sub(task.Received())))
	for forwarder.try(ctx, journey) {
	}
	forwarder.log(journey.task, journey.last, journey.tries, journey.result)
	result := journey.result
	if result.Outcome() != lagoonlanding.OutcomeAnswered {
		cancel()
		return result
	}
	return result.With(func(config *lagoonlanding.ResultConfig) {
		config.Answer = config.Answer.WithBody(newCancelling(config.Answer.Body(), cancel))
	})
}

// begin finds the route and the terms of the request.
func (forwarder *Forwarder) begin(task lagoonlanding.Task) (*journey, lagoonlanding.Result) {
	now := forwarder.config.Clock.Now()
	routing := forwarder.config.Snapshot().Routing()
	if routing == nil {
		return nil, lagoonlanding.NotRun(lagoonlanding.ReasonNotReady, now.Add(comeBackTerm))
	}
	route, ok := routing.Route(task.Host(), pathOf(task.Target()))
	if !ok {
		return nil, lagoonlanding.NotRun(lagoonlanding.ReasonNoRoute, time.Time{})
	}
	task = task.With(func(config *lagoonlanding.TaskConfig) {
		config.Caller, config.Route, config.Priority = forwarder.config.Service, route.Name(), route.Priority()
		config.Service = forwarder.serviceOf(route)
		config.Objective = route.Objective(task.Received())
		if at := route.TimeoutAt(task.Received()); !at.IsZero() && at.Before(task.Deadline()) {
			config.Deadline = at
		}
	})
	if terms, ok := routing.Service(task.Service()); !ok || !terms.IsDivided() {
		task = task.With(func(config *lagoonlanding.TaskConfig) { config.ShardKey = lagoonlanding.NoShardKey })
	}
	forwarder.config.Budgets.Earn(task.Service())
	wait := time.Duration(float64(task.Objective().Sub(task.Received())) * waitShare)
	return &journey{task: task, route: route, tried: map[string]bool{}, refusals: map[string]int{}, waits: now.Add(wait)}, lagoonlanding.Result{}
}

// serviceOf draws one of the services of the route by their weights.
func (forwarder *Forwarder) serviceOf(route lagoonlanding.PathRoute) string {
	shares := route.Shares()
	if len(shares) == 1 {
		return shares[0].Service()
	}
	sum := 0.0
	for _, share := range shares {
		sum += share.Weight()
	}
	point := forwarder.config.Draw() * sum
	for _, share := range shares {
		if point -= share.Weight(); point < 0 {
			return share.Service()
		}
	}
	return ""
}

// try offers the request to one more daemon; it is false once the result stands.
func (forwarder *Forwarder) try(ctx context.Context, journey *journey) bool {
	backend, ok := forwarder.pick(journey)
	if !ok {
		return forwarder.wait(ctx, journey)
	}
	journey.tries++
	journey.tried[backend.ID().Daemon()], journey.last = true, backend.ID()
	journey.result = forwarder.send(ctx, backend, journey.task)
	if journey.result.IsDelivered() {
		journey.ran++
	}
	journey.noteRefusal(backend)
	return forwarder.mayGoOn(ctx, journey)
}

func (forwarder *Forwarder) send(ctx context.Context, backend lagoonlanding.Backend, task lagoonlanding.Task) lagoonlanding.Result {
	daemon := backend.ID().Daemon()
	forwarder.config.Chooser.Sent(daemon)
	var result lagoonlanding.Result
	if daemon == forwarder.config.Daemon {
		result = forwarder.config.Local.Handle(ctx, task)
	} else {
		result = forwarder.config.Carrier.Send(ctx, backend, task)
	}
	forwarder.config.Chooser.Done(forwarder.config.Clock.Now(), daemon, result)
	return result
}

// mayGoOn reports whether the request goes to another backend server after the present result.
func (forwarder *Forwarder) mayGoOn(ctx context.Context, journey *journey) bool {
	result := journey.result
	if ctx.Err() != nil || journey.tries >= maxTries {
		return false
	}
	if result.Reason() == lagoonlanding.ReasonQuarantined {
		return false
	}
	if result.Outcome() == lagoonlanding.OutcomeNotRun && !result.IsDelivered() {
		// No backend server has seen it, so another try costs none of them anything.
		return forwarder.isReplayable(journey)
	}
	if journey.ran >= journey.route.MaxAttempts() || !forwarder.isReplayable(journey) {
		return false
	}
	switch result.Outcome() {
	case lagoonlanding.OutcomeNotRun:
	case lagoonlanding.OutcomeUnknown:
		if !journey.route.IsIdempotent() {
			return false
		}
	default:
		if !journey.route.IsIdempotent() || result.Answer().Status() < 500 || result.Answer().Status() == 504 {
			return false
		}
	}
	if !forwarder.config.Budgets.Spend(journey.task.Service()) {
		return false
	}
	if result.Outcome() == lagoonlanding.OutcomeAnswered {
		result.Answer().Body().Close()
	}
	if result.Outcome() != lagoonlanding.OutcomeNotRun {
		journey.task = journey.task.With(func(config *lagoonlanding.TaskConfig) { config.Repeated = true })
	}
	return true
}

// isReplayable reports whether the body can be sent again, and makes it ready for that.
func (forwarder *Forwarder) isReplayable(journey *journey) bool {
	if journey.task.Body() == nil {
		return true
	}
	replayer, ok := journey.task.Body().(lagoonlanding.Rewinder)
	return ok && replayer.Rewind()
}

func (forwarder *Forwarder) log(task lagoonlanding.Task, last lagoonlanding.BackendID, tries int, result lagoonlanding.Result) {
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
	if !last.IsZero() {
		fields["backend-server"] = last.String()
	}
	if result.Reason() != lagoonlanding.ReasonNone {
		fields["reason"] = result.Reason()
	}
	if task.ShardKey() != lagoonlanding.NoShardKey {
		fields["shard-key"] = task.ShardKey()
	}
	if result.Outcome() == lagoonlanding.OutcomeAnswered {
		fields["status"] = result.Answer().Status()
	}
	forwarder.config.Log.WithFields(fields).Info("Request ended.")
}
