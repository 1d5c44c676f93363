package controller

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
)

// OnRenew answers a member's renewal; one that was meant for an earlier run at this address gets no promise.
func (controller *Controller) OnRenew(now time.Time, request lagoonlanding.RenewRequest) lagoonlanding.RenewReply {
	record, _ := controller.directory.record(request.Group())
	status := lagoonlanding.RenewNotWitness
	if group, ok := controller.groups[request.Group()]; ok && group.granter != nil && request.Witness() == controller.id() {
		status = controller.grant(now, group, request)
	}
	reply := lagoonlanding.NewRenewReply(status, record.Version(), controller.knownRevision())
	if record.Current().HasWitness(request.Member()) && controller.isWitness(request.Group()) {
		reply = reply.WithExpired(sortedIDs(controller.groups[request.Group()].granter.Lost(now)))
	}
	return reply
}

func (controller *Controller) isWitness(id lagoonlanding.GroupID) bool {
	group, ok := controller.groups[id]
	return ok && group.isWitness()
}

func sortedIDs(set map[lagoonlanding.InstanceID]bool) []lagoonlanding.InstanceID {
	var ids []lagoonlanding.InstanceID
	for id := range set {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, grouper.CompareIDs)
	return ids
}

// knownRevision returns the directory's revision, zero if the store cannot be reached from here.
func (controller *Controller) knownRevision() uint64 {
	if controller.blind {
		return 0
	}
	return controller.directory.revision
}

// OnClear answers a question about the prior layout; for an earlier run of this daemon it says that the run has ended.
func (controller *Controller) OnClear(now time.Time, request lagoonlanding.ClearanceRequest) lagoonlanding.ClearanceReply {
	if request.Witness() != controller.id() {
		return controller.clearEnded(now)
	}
	group, ok := controller.groups[request.Group()]
	if !ok || group.granter == nil {
		return lagoonlanding.NewClearanceReply(lagoonlanding.ClearanceBehind, 0, nil)
	}
	return group.granter.Clear(now, request.Version())
}

func (controller *Controller) clearEnded(now time.Time) lagoonlanding.ClearanceReply {
	if now.Before(lagoonlanding.PriorPromisesExpiry(controller.config.Now)) {
		return lagoonlanding.NewClearanceReply(lagoonlanding.ClearancePending, 0, nil)
	}
	return lagoonlanding.NewClearanceReply(lagoonlanding.ClearanceExpired, 0, nil)
}

// OnJoin notes an instance that joins or leaves, if this instance coordinates the group.
func (controller *Controller) OnJoin(now time.Time, request lagoonlanding.JoinRequest) lagoonlanding.JoinReply {
	group, ok := controller.groups[request.Group()]
	if !ok || !controller.isActing(now, group) {
		return lagoonlanding.NewJoinReply(false)
	}
	record, _ := controller.directory.record(group.id)
	_, member := record.Current().Member(request.Instance().ID())
	switch {
	case request.IsLeaving() && (member || record.Current().HasWitness(request.Instance().ID())):
		group.leaving[request.Instance().ID()] = true
	case !request.IsLeaving() && !member:
		group.joining[request.Instance().ID()] = request.Instance()
	}
	controller.coordinate(now, group)
	return lagoonlanding.NewJoinReply(true)
}

// OnDirectory answers with what the store wrote after a revision.
func (controller *Controller) OnDirectory(request lagoonlanding.DirectoryRequest) lagoonlanding.DirectoryReply {
	return lagoonlanding.NewDirectoryReply(controller.directory.after(request.After()))
}

// OnNotice takes a newer record.
func (controller *Controller) OnNotice(now time.Time, notice lagoonlanding.RecordNotice) {
	entry, err := controller.directory.entry(notice.Record())
	if err != nil {
		controller.fail(err)
		return
	}
	if known, ok := controller.directory.record(notice.Record().Group()); ok && known.Version() >= notice.Record().Version() {
		return
	}
	controller.learn(now, entry)
}

// OnHandover takes over a shard from its prior owner.
func (controller *Controller) OnHandover(request lagoonlanding.HandoverRequest) lagoonlanding.HandoverReply {
	group, ok := controller.groups[request.Group()]
	if !ok || group.holder == nil {
		return lagoonlanding.NewHandoverReply(lagoonlanding.HandoverBehind)
	}
	status, mustImport := group.holder.HandOver(request)
	if mustImport {
		controller.outbox.imports = append(controller.outbox.imports, request)
	}
	return lagoonlanding.NewHandoverReply(status)
}

// LoseAttempts notes that the ledger of a taken shard starts anew, since the attempts of its prior owner did not fit.
func (controller *Controller) LoseAttempts(id lagoonlanding.GroupID, shard int) {
	if group, ok := controller.groups[id]; ok && group.holder != nil {
		group.holder.LoseAttempts(shard)
	}
}
