package dispatcher

import (
	"context"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// choice is a request to a service that is not divided by key, with the instances that may serve it.
type choice struct {
	snapshot   *router.Snapshot
	request    lagoonlanding.Request
	service    *service
	slots      int
	candidates []lagoonlanding.Instance
}

// servePicked serves a request that any member may serve.
func (dispatcher *Dispatcher) servePicked(
	ctx context.Context, snapshot *router.Snapshot, decision router.Decision, request lagoonlanding.Request,
) Step {
	if request.Hops() > 0 {
		return dispatcher.runPicked(ctx, snapshot, request)
	}
	name := request.Key().Service()
	published, _ := snapshot.Set().Service(name)
	choice := choice{
		snapshot: snapshot, request: request, slots: published.Slots(),
		service: dispatcher.services.of(dispatcher.config, snapshot.Self(), snapshot.Set(), name),
	}
	for _, member := range decision.Members() {
		choice.candidates = append(choice.candidates, member.Instance())
	}
	at, ok := choice.service.hedger.Start(dispatcher.config.Clock.Now(), request)
	if !ok || len(choice.candidates) < 2 {
		return dispatcher.serveOne(ctx, choice)
	}
	return dispatcher.serveHedged(ctx, choice, at)
}

// runPicked runs a request here that any member may serve; without a lease the published set may be out of force.
func (dispatcher *Dispatcher) runPicked(ctx context.Context, snapshot *router.Snapshot, request lagoonlanding.Request) Step {
	if !snapshot.IsLeased(dispatcher.config.Clock.Now(), request.Key().Service()) {
		refusal := lagoonlanding.Refuse(request, lagoonlanding.ReasonLeaseLapsed)
		return Step{reply: refusal.WithOwner(snapshot.Self()), retry: retryAtChange}
	}
	return final(dispatcher.run(ctx, request, lagoonlanding.Fence{}).WithOwner(snapshot.Self()))
}

// serveOne sends the request to one picked instance.
func (dispatcher *Dispatcher) serveOne(ctx context.Context, choice choice) Step {
	picked, reason := choice.service.picker.Pick(dispatcher.config.Clock.Now(), choice.candidates, len(choice.request.Body()))
	if reason != lagoonlanding.ReasonNone {
		return final(lagoonlanding.Refuse(choice.request, reason).WithOwner(choice.snapshot.Self()))
	}
	return dispatcher.sendTo(ctx, choice, picked)
}

// sendTo sends the request to the picked instance and tells the picker what came of it.
func (dispatcher *Dispatcher) sendTo(ctx context.Context, choice choice, picked lagoonlanding.Instance) Step {
	started := dispatcher.config.Clock.Now()
	choice.service.inFlight.Add(1)
	defer choice.service.inFlight.Add(-1)
	var step Step
	if picked.ID() == choice.snapshot.Self().ID() {
		step = dispatcher.runPicked(ctx, choice.snapshot, choice.request)
	} else {
		step = dispatcher.forward(ctx, choice.snapshot, picked, choice.request)
	}
	now := dispatcher.config.Clock.Now()
	took := now.Sub(started)
	choice.service.picker.Done(now, picked.ID(), lagoonlanding.NewObservation(took, len(step.reply.Body()), isFit(step.reply)))
	if step.reply.Outcome() == lagoonlanding.OutcomeAnswered || step.reply.Reason() == lagoonlanding.ReasonConnectionLost {
		// A request that lost its backend server may have crashed it and would crash the next; forward has seen to lost peers.
		return step
	}
	// The retrier tells whether another instance may have it.
	step.retry = retryLater
	return step
}

// isFit reports whether the reply speaks for sending further requests to the instance.
func isFit(reply lagoonlanding.Reply) bool {
	if reply.Outcome() == lagoonlanding.OutcomeAnswered {
		return reply.Status() < http.StatusBadGateway || reply.Status() > http.StatusGatewayTimeout
	}
	switch reply.Reason() {
	case lagoonlanding.ReasonCancelled, lagoonlanding.ReasonDeadline, lagoonlanding.ReasonTenantLimit, lagoonlanding.ReasonQuarantined:
		return true
	}
	return false
}

// serveHedged sends a read to one instance, and to another if the first has not answered by the time.
func (dispatcher *Dispatcher) serveHedged(ctx context.Context, choice choice, at time.Time) Step {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := dispatcher.config.Clock.Now()
	first, reason := choice.service.picker.Pick(started, choice.candidates, len(choice.request.Body()))
	if reason != lagoonlanding.ReasonNone {
		return final(lagoonlanding.Refuse(choice.request, reason).WithOwner(choice.snapshot.Self()))
	}
	// Each copy can send its step without a receiver, so that none stays behind when the other one answers.
	steps := make(chan Step, 2)
	go func() { steps <- dispatcher.sendTo(ctx, choice, first) }()
	running := 1
	select {
	case step := <-steps:
		dispatcher.answered(choice, started, step)
		return step
	case <-dispatcher.config.Clock.Until(at):
		if choice.service.hedger.Hedge(int(choice.service.inFlight.Load()), choice.slots*len(choice.candidates)) {
			others := without(choice, first)
			go func() { steps <- dispatcher.serveOne(ctx, others) }()
			running++
		}
	}
	step := <-steps
	if running == 2 && step.reply.Outcome() != lagoonlanding.OutcomeAnswered {
		step = (<-steps).After(step)
	}
	dispatcher.answered(choice, started, step)
	return step
}

func (dispatcher *Dispatcher) answered(choice choice, started time.Time, step Step) {
	if step.reply.Outcome() == lagoonlanding.OutcomeAnswered {
		choice.service.hedger.Answered(dispatcher.config.Clock.Now().Sub(started))
	}
}

// without returns the choice among the other instances.
func without(choice choice, taken lagoonlanding.Instance) choice {
	var others []lagoonlanding.Instance
	for _, candidate := range choice.candidates {
		if candidate.ID() != taken.ID() {
			others = append(others, candidate)
		}
	}
	choice.candidates = others
	return choice
}
