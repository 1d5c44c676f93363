package forwarder

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/authenticator"
)

// identified returns the task with its workspace; what the client sent to identify itself is removed if the configuration names workspaces.
func (forwarder *Forwarder) identified(task lagoonlanding.Task, routing *lagoonlanding.Routing, workspace lagoonlanding.Workspace) lagoonlanding.Task {
	if !routing.Identifies() {
		return task
	}
	return task.With(func(config *lagoonlanding.TaskConfig) {
		config.Workspace = workspace.Name()
		if forwarder.config.SetWorkspace != nil {
			config.Header = config.Header.Clone()
			forwarder.config.SetWorkspace(config.Header, workspace.Name())
		}
	})
}

// identify returns the workspace of a request; that of a relayed request is the one that the relaying daemon has identified.
func (forwarder *Forwarder) identify(routing *lagoonlanding.Routing, route lagoonlanding.PathRoute, task lagoonlanding.Task) (lagoonlanding.Workspace, bool) {
	if task.IsRelayed() {
		return routing.Workspace(task.Workspace())
	}
	return authenticator.Identify(routing, route, task.Key())
}

// identifyAgain refuses a request whose key has been removed since its last try; on a route that needs no key, the request then belongs to no
// workspace.
func (forwarder *Forwarder) identifyAgain(delivery *delivery) lagoonlanding.Result {
	routing := forwarder.config.Snapshot().Routing()
	workspace, ok := forwarder.identify(routing, delivery.route, delivery.task)
	if !ok {
		return lagoonlanding.NotRun(lagoonlanding.ReasonUnknownKey, time.Time{})
	}
	if !routing.Identifies() || workspace.Name() == delivery.workspace.Name() {
		return lagoonlanding.Result{}
	}
	forwarder.returnCredit(delivery)
	delivery.task, delivery.workspace = forwarder.identified(delivery.task, routing, workspace), workspace
	credit, retryAt, ok := forwarder.takeCredit(workspace)
	if delivery.credit = credit; !ok {
		return lagoonlanding.NotRun(lagoonlanding.ReasonTenantLimit, retryAt)
	}
	return lagoonlanding.Result{}
}

// firstCredit returns the credit for the first try of a request, or the daemon that handles it instead, or a refusal.
func (forwarder *Forwarder) firstCredit(task lagoonlanding.Task, workspace lagoonlanding.Workspace) (lagoonlanding.Credit, lagoonlanding.Backend, lagoonlanding.Result) {
	take := forwarder.takeCredit
	if task.IsRelayed() {
		take = forwarder.takeRelayed
	}
	credit, retryAt, ok := take(workspace)
	if ok {
		return credit, lagoonlanding.Backend{}, lagoonlanding.Result{}
	}
	if task.IsRelayed() {
		return nil, lagoonlanding.Backend{}, lagoonlanding.NotRun(lagoonlanding.ReasonTenantLimit, retryAt)
	}
	if name, ok := forwarder.config.Quota.Relay(workspace); ok {
		if name == forwarder.config.Daemon {
			if credit, _, ok := forwarder.takeRelayed(workspace); ok {
				return credit, lagoonlanding.Backend{}, lagoonlanding.Result{}
			}
			return nil, lagoonlanding.Backend{}, lagoonlanding.NotRun(lagoonlanding.ReasonTenantLimit, retryAt)
		}
		if backend, ok := forwarder.config.Snapshot().Daemon(name); ok {
			return nil, backend, lagoonlanding.Result{}
		}
	}
	return nil, lagoonlanding.Backend{}, lagoonlanding.NotRun(lagoonlanding.ReasonTenantLimit, retryAt)
}

// takeRelayed returns the credit for a request that another daemon has relayed.
func (forwarder *Forwarder) takeRelayed(workspace lagoonlanding.Workspace) (lagoonlanding.Credit, time.Time, bool) {
	if forwarder.config.Quota == nil || !workspace.IsLimited() {
		return nil, time.Time{}, true
	}
	return forwarder.config.Quota.TakeRelayed(forwarder.config.Clock.Now(), workspace)
}

// relay lets another daemon handle the request, which has a credit for it; its result is final.
func (forwarder *Forwarder) relay(ctx context.Context, delivery *delivery) {
	delivery.tries, delivery.lastBackend = 1, delivery.relayTo.ID()
	delivery.task = delivery.task.With(func(config *lagoonlanding.TaskConfig) { config.Relayed = true })
	delivery.result = forwarder.config.Sender.Send(ctx, delivery.relayTo, delivery.task)
	switch delivery.result.Reason() {
	case lagoonlanding.ReasonUnreachable, lagoonlanding.ReasonNoUpstream:
		if delivery.result.Outcome() == lagoonlanding.OutcomeNotRun && !delivery.result.IsDelivered() {
			delivery.result = lagoonlanding.NotRun(lagoonlanding.ReasonTenantLimit, forwarder.config.Clock.Now().Add(defaultRetryDelay))
		}
	}
}

// allows reports whether the request may be served in the region.
func (delivery *delivery) allows(region string) bool {
	return delivery.route.Allows(region) && delivery.workspace.Allows(region)
}

// takeCredit returns the credit for one try, nil if the workspace has no quota, or when there will be room.
func (forwarder *Forwarder) takeCredit(workspace lagoonlanding.Workspace) (lagoonlanding.Credit, time.Time, bool) {
	if forwarder.config.Quota == nil || !workspace.IsLimited() {
		return nil, time.Time{}, true
	}
	return forwarder.config.Quota.Take(forwarder.config.Clock.Now(), workspace)
}

// spendCredit counts a try that reached a backend server, or may have reached one.
func (forwarder *Forwarder) spendCredit(delivery *delivery) {
	if delivery.credit != nil {
		delivery.credit.Spend(forwarder.config.Clock.Now())
		delivery.credit = nil
	}
}

// returnCredit gives back the credit of a request that reached no backend server since it was counted.
func (forwarder *Forwarder) returnCredit(delivery *delivery) {
	if delivery.credit != nil {
		delivery.credit.Return(forwarder.config.Clock.Now())
		delivery.credit = nil
	}
}
