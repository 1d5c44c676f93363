package forwarder

import (
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

// identifyAgain returns false if the key of the request has been removed since its last try; on a route that needs no key, the request then
// belongs to no workspace.
func (forwarder *Forwarder) identifyAgain(delivery *delivery) bool {
	routing := forwarder.config.Snapshot().Routing()
	workspace, ok := authenticator.Identify(routing, delivery.route, delivery.task.Key())
	if !ok {
		return false
	}
	if routing.Identifies() && workspace.Name() != delivery.workspace.Name() {
		forwarder.returnCredit(delivery)
		delivery.task, delivery.workspace = forwarder.identified(delivery.task, routing, workspace), workspace
	}
	return true
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
