package dispatcher

import (
	"context"
	"net/http"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// unshardedRequest is a request to a service that is not sharded, with the instances that may serve it.
type unshardedRequest struct {
	snapshot   *router.Snapshot
	request    lagoonlanding.Request
	service    *service
	slots      int
	candidates []lagoonlanding.Instance
}

// serveUnsharded serves a request that any member may serve.
func (dispatcher *Dispatcher) serveUnsharded(
	ctx context.Context, snapshot *router.Snapshot, decision router.Decision, request lagoonlanding.Request,
) AttemptResult {
	if request.Hops() > 0 {
		return dispatcher.runUnsharded(ctx, snapshot, request)
	}
	name := request.Key().Service()
	published, _ := snapshot.Set().Service(name)
	unshardedrequest := unshardedRequest{
		snapshot: snapshot, request: request, slots: published.Slots(),
		service: dispatcher.services.get(dispatcher.config, snapshot.Self(), snapshot.Set(), name),
	}
	for _, member := range decision.Members() {
		unshardedrequest.candidates = append(unshardedrequest.candidates, member.Instance())
	}
	at, ok := unshardedrequest.service.hedger.Start(dispatcher.config.Clock.Now(), request)
	if !ok || len(unshardedrequest.candidates) < 2 {
		return dispatcher.pickAndSend(ctx, unshardedrequest)
	}
	return dispatcher.serveHedged(ctx, unshardedrequest, at)
}

// runUnsharded runs a request that any member may serve on this instance; without a lease its published set may be outdated.
func (dispatcher *Dispatcher) runUnsharded(ctx context.Context, snapshot *router.Snapshot, request lagoonlanding.Request) AttemptResult {
	if !snapshot.IsLeased(dispatcher.config.Clock.Now(), request.Key().Service()) {
		refusal := lagoonlanding.Refuse(request, lagoonlanding.ReasonLeaseLapsed)
		return AttemptResult{reply: refusal.WithOwner(snapshot.Self()), retry: retryOnOwnershipChange}
	}
	return finalResult(dispatcher.run(ctx, request, lagoonlanding.Fence{}).WithOwner(snapshot.Self()))
}

// pickAndSend sends the request to an instance that the load balancer picks.
func (dispatcher *Dispatcher) pickAndSend(ctx context.Context, unshardedrequest unshardedRequest) AttemptResult {
	picked, reason := unshardedrequest.service.picker.Pick(dispatcher.config.Clock.Now(), unshardedrequest.candidates, len(unshardedrequest.request.Body()))
	if reason != lagoonlanding.ReasonNone {
		return finalResult(lagoonlanding.Refuse(unshardedrequest.request, reason).WithOwner(unshardedrequest.snapshot.Self()))
	}
	return dispatcher.sendTo(ctx, unshardedrequest, picked)
}

// sendTo sends the request to the picked instance and reports the observed result to the load balancer.
func (dispatcher *Dispatcher) sendTo(ctx context.Context, unshardedrequest unshardedRequest, picked lagoonlanding.Instance) AttemptResult {
	started := dispatcher.config.Clock.Now()
	unshardedrequest.service.inFlight.Add(1)
	defer unshardedrequest.service.inFlight.Add(-1)
	var attemptresult AttemptResult
	if picked.ID() == unshardedrequest.snapshot.Self().ID() {
		attemptresult = dispatcher.runUnsharded(ctx, unshardedrequest.snapshot, unshardedrequest.request)
	} else {
		attemptresult = dispatcher.forward(ctx, unshardedrequest.snapshot, picked, unshardedrequest.request)
	}
	now := dispatcher.config.Clock.Now()
	took := now.Sub(started)
	unshardedrequest.service.picker.Done(now, picked.ID(), lagoonlanding.NewObservation(took, len(attemptresult.reply.Body()), isSuccess(attemptresult.reply)))
	if attemptresult.reply.Outcome() == lagoonlanding.OutcomeAnswered || attemptresult.reply.Reason() == lagoonlanding.ReasonConnectionLost {
		// A request that lost the connection to its backend server may have crashed it and would crash the next one; forward handles lost peers.
		return attemptresult
	}
	// The retrier decides whether the request is sent to another instance.
	attemptresult.retry = retryAfterBackoff
	return attemptresult
}

// isSuccess reports whether the reply counts as a success of the instance for load balancing.
func isSuccess(reply lagoonlanding.Reply) bool {
	if reply.Outcome() == lagoonlanding.OutcomeAnswered {
		return reply.Status() < http.StatusBadGateway || reply.Status() > http.StatusGatewayTimeout
	}
	switch reply.Reason() {
	case lagoonlanding.ReasonCancelled, lagoonlanding.ReasonDeadline, lagoonlanding.ReasonTenantLimit, lagoonlanding.ReasonQuarantined:
		return true
	}
	return false
}

// serveHedged sends a read to one instance, and a second copy to another if the first has not answered at the given time.
func (dispatcher *Dispatcher) serveHedged(ctx context.Context, unshardedrequest unshardedRequest, at time.Time) AttemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := dispatcher.config.Clock.Now()
	first, reason := unshardedrequest.service.picker.Pick(started, unshardedrequest.candidates, len(unshardedrequest.request.Body()))
	if reason != lagoonlanding.ReasonNone {
		return finalResult(lagoonlanding.Refuse(unshardedrequest.request, reason).WithOwner(unshardedrequest.snapshot.Self()))
	}
	// The channel is buffered for both copies, so that the goroutine of the slower one does not leak.
	results := make(chan AttemptResult, 2)
	go func() { results <- dispatcher.sendTo(ctx, unshardedrequest, first) }()
	running := 1
	select {
	case attemptresult := <-results:
		dispatcher.observeAnswer(unshardedrequest, started, attemptresult)
		return attemptresult
	case <-dispatcher.config.Clock.Until(at):
		if unshardedrequest.service.hedger.Hedge(int(unshardedrequest.service.inFlight.Load()), unshardedrequest.slots*len(unshardedrequest.candidates)) {
			others := excluding(unshardedrequest, first)
			go func() { results <- dispatcher.pickAndSend(ctx, others) }()
			running++
		}
	}
	attemptresult := <-results
	if running == 2 && attemptresult.reply.Outcome() != lagoonlanding.OutcomeAnswered {
		attemptresult = (<-results).After(attemptresult)
	}
	dispatcher.observeAnswer(unshardedrequest, started, attemptresult)
	return attemptresult
}

func (dispatcher *Dispatcher) observeAnswer(unshardedrequest unshardedRequest, started time.Time, attemptresult AttemptResult) {
	if attemptresult.reply.Outcome() == lagoonlanding.OutcomeAnswered {
		unshardedrequest.service.hedger.Answered(dispatcher.config.Clock.Now().Sub(started))
	}
}

// excluding returns the request without the instance among its candidates.
func excluding(unshardedrequest unshardedRequest, excluded lagoonlanding.Instance) unshardedRequest {
	var others []lagoonlanding.Instance
	for _, candidate := range unshardedrequest.candidates {
		if candidate.ID() != excluded.ID() {
			others = append(others, candidate)
		}
	}
	unshardedrequest.candidates = others
	return unshardedrequest
}
