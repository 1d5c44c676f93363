package controller

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
)

// OnRenew handles a member's lease renewal; it grants no promise if the renewal is for an earlier incarnation at this address.
func (controller *Controller) OnRenew(now time.Time, request lagoonlanding.RenewRequest) lagoonlanding.RenewReply {
	record, _ := controller.directory.record(request.Group())
	status := lagoonlanding.RenewNotWitness
	if group, ok := controller.groups[request.Group()]; ok && group.granter != nil && request.Witness() == controller.id() {
		status = controller.grant(now, group, request)
	}
	reply := lagoonlanding.NewRenewReply(status, record.Version(), controller.knownRevision())
	if record.Current().HasWitness(request.Member()) && controller.isWitness(request.Group()) {
		reply = reply.WithExpired(sortedIDs(controller.groups[request.Group()].granter.Expired(now)))
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

// knownRevision returns the directory's revision, or zero if this instance cannot reach the store.
func (controller *Controller) knownRevision() uint64 {
	if controller.disconnected {
		return 0
	}
	return controller.directory.revision
}

// OnClear handles a clearance request, also on behalf of an earlier incarnation of this daemon.
func (controller *Controller) OnClear(now time.Time, request lagoonlanding.ClearanceRequest) lagoonlanding.ClearanceReply {
	if request.Witness() != controller.id() {
		return controller.clearForEarlierIncarnation(now)
	}
	group, ok := controller.groups[request.Group()]
	if !ok || group.granter == nil {
		return lagoonlanding.NewClearanceReply(lagoonlanding.ClearanceBehind, 0, nil)
	}
	return group.granter.Clear(now, request.Version())
}

// clearForEarlierIncarnation replies that all promises have expired as soon as those of earlier incarnations must have.
func (controller *Controller) clearForEarlierIncarnation(now time.Time) lagoonlanding.ClearanceReply {
	if now.Before(lagoonlanding.PriorPromisesExpiry(controller.config.Now)) {
		return lagoonlanding.NewClearanceReply(lagoonlanding.ClearancePending, 0, nil)
	}
	return lagoonlanding.NewClearanceReply(lagoonlanding.ClearanceExpired, 0, nil)
}

// OnJoin records an instance that joins or leaves if this instance is the group's coordinator.
func (controller *Controller) OnJoin(now time.Time, request lagoonlanding.JoinRequest) lagoonlanding.JoinReply {
	group, ok := controller.groups[request.Group()]
	if !ok || !controller.isCoordinator(now, group) {
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

// OnDirectory returns the directory entries newer than a revision.
func (controller *Controller) OnDirectory(request lagoonlanding.DirectoryRequest) lagoonlanding.DirectoryReply {
	return lagoonlanding.NewDirectoryReply(controller.directory.entriesAfter(request.After()))
}

// OnNotice applies a record if it is newer than the known one.
func (controller *Controller) OnNotice(now time.Time, notice lagoonlanding.RecordNotice) {
	entry, err := controller.directory.entry(notice.Record())
	if err != nil {
		controller.addFailure(err)
		return
	}
	if known, ok := controller.directory.record(notice.Record().Group()); ok && known.Version() >= notice.Record().Version() {
		return
	}
	controller.applyEntry(now, entry)
}

// OnHandover takes over a shard from its previous owner.
func (controller *Controller) OnHandover(request lagoonlanding.HandoverRequest) lagoonlanding.HandoverReply {
	group, ok := controller.groups[request.Group()]
	if !ok || group.holder == nil {
		return lagoonlanding.NewHandoverReply(lagoonlanding.HandoverBehind)
	}
	status, mustImport := group.holder.AcceptHandover(request)
	if mustImport {
		controller.outbox.imports = append(controller.outbox.imports, request)
	}
	return lagoonlanding.NewHandoverReply(status)
}

// ImportFailed records that a shard was taken over without the previous owner's deduplication records because they exceeded the capacity.
func (controller *Controller) ImportFailed(id lagoonlanding.GroupID, shard int) {
	if group, ok := controller.groups[id]; ok && group.holder != nil {
		group.holder.ResetSince(shard)
	}
}
