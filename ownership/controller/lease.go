package controller

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// renew asks all witnesses of the group's newest layout to extend this instance's lease.
//
// A witness that is not a member sends renewals too, since the replies show which other witnesses are alive.
func (controller *Controller) renew(now time.Time, group *group) {
	record, ok := controller.directory.record(group.id)
	if !ok || group.holder == nil && !group.isWitness() {
		return
	}
	group.nextRenew = now.Add(lagoonlanding.RenewInterval)
	request := controller.renewRequest(now, group, record)
	for _, witness := range record.Current().Witnesses() {
		if witness.ID() == controller.id() {
			controller.renewLocally(now, group, request.WithWitness(witness.ID()))
			continue
		}
		controller.outbox.renewals = append(controller.outbox.renewals, Renewal{
			Call: Call[lagoonlanding.RenewRequest]{to: witness, request: request.WithWitness(witness.ID())}, requestedAt: now,
		})
	}
}

func (controller *Controller) renewRequest(now time.Time, group *group, record lagoonlanding.Record) lagoonlanding.RenewRequest {
	config := lagoonlanding.RenewRequestConfig{Group: group.id, Member: controller.id(), Adopted: record.Version()}
	if group.holder != nil {
		config.Released = group.holder.Released()
	}
	config.Set = controller.setVersion()
	if controller.config.Loads != nil && !now.Before(group.nextLoadReport) {
		group.nextLoadReport = now.Add(loadInterval)
		config.Loads = controller.config.Loads(group.id)
	}
	return lagoonlanding.NewRenewRequest(config)
}

// renewLocally requests the renewal from this instance's own witness.
func (controller *Controller) renewLocally(now time.Time, group *group, request lagoonlanding.RenewRequest) {
	group.lastReplies[controller.id()] = now
	if group.granter == nil || group.holder == nil {
		return
	}
	if controller.grant(now, group, request) == lagoonlanding.RenewGranted {
		group.holder.Promised(controller.id(), now)
	}
}

// grant handles a renewal as a witness.
//
// A renewal under a layout is granted only once this witness knows the published sets written before that layout, so that no lease
// is extended under an outdated set.
func (controller *Controller) grant(now time.Time, group *group, request lagoonlanding.RenewRequest) lagoonlanding.RenewStatus {
	if group.granter.IsWitness() && controller.directory.revision < group.granter.Record().Revision() {
		return lagoonlanding.RenewDirectoryBehind
	}
	return group.granter.Renew(now, request, controller.setVersion())
}

func (controller *Controller) setVersion() uint64 {
	if controller.directory.set == nil {
		return 0
	}
	return controller.directory.set.Version()
}

// Renewed handles a witness's reply to a renewal.
func (controller *Controller) Renewed(now time.Time, renewal Renewal, reply lagoonlanding.RenewReply, err error) {
	if err != nil {
		return
	}
	group := controller.group(renewal.request.Group())
	witness := renewal.to.ID()
	if reply.Status() == lagoonlanding.RenewNotWitness {
		controller.fetchIfNewer(now, renewal.to, group, reply)
		return
	}
	group.lastReplies[witness] = now
	group.disconnected[witness] = reply.Directory() == 0
	group.expired[witness] = reply.Expired()
	if reply.Status() == lagoonlanding.RenewGranted && group.holder != nil {
		group.holder.Promised(witness, renewal.requestedAt)
	}
	if reply.Status() == lagoonlanding.RenewBehind {
		controller.notifyWitness(renewal, group)
	}
	controller.fetchIfNewer(now, renewal.to, group, reply)
}

func (controller *Controller) notifyWitness(renewal Renewal, group *group) {
	if record, ok := controller.directory.record(group.id); ok {
		controller.notify(renewal.to, record)
	}
}

func (controller *Controller) notify(to lagoonlanding.Instance, record lagoonlanding.Record) {
	controller.outbox.notices = append(controller.outbox.notices, Notice{to: to, request: lagoonlanding.NewRecordNotice(record)})
}

// fetchIfNewer requests the newer entries from a witness whose directory is ahead.
func (controller *Controller) fetchIfNewer(now time.Time, from lagoonlanding.Instance, group *group, reply lagoonlanding.RenewReply) {
	record, _ := controller.directory.record(group.id)
	if reply.Version() <= record.Version() && reply.Directory() <= controller.directory.revision {
		return
	}
	if now.Before(controller.fetchDeadline) {
		return
	}
	controller.fetchDeadline = now.Add(fetchTimeout)
	after := controller.directory.revision
	if controller.fetchAll {
		after = 0
	}
	controller.outbox.fetches = append(controller.outbox.fetches, Fetch{to: from, request: lagoonlanding.NewDirectoryRequest(after)})
}

// requestClearances asks the previous witnesses which members can no longer serve requests under the previous layout.
func (controller *Controller) requestClearances(now time.Time, group *group) {
	record, ok := controller.directory.record(group.id)
	if !ok || !controller.needsClearances(group) {
		return
	}
	for _, witness := range record.Prior().Witnesses() {
		if witness.ID() == controller.id() && group.granter != nil {
			controller.applyClearance(now, group, witness.ID(), group.granter.Clear(now, record.Version()))
			continue
		}
		controller.requestClearance(witness, record)
	}
}

func (controller *Controller) requestClearance(witness lagoonlanding.Instance, record lagoonlanding.Record) {
	controller.outbox.clearances = append(controller.outbox.clearances, Clearance{
		to: witness, request: lagoonlanding.NewClearanceRequest(record.Group(), record.Version(), witness.ID()),
	})
}

func (controller *Controller) needsClearances(group *group) bool {
	if group.holder != nil && group.holder.IsAcquiring() {
		return true
	}
	// Every witness collects clearances immediately, since a previous witness that fails later could no longer reply.
	return group.tally != nil && !group.tally.IsSettled() && (group.isWitness() || len(group.terminated) > 0)
}

// Cleared handles a witness's reply to a clearance request.
func (controller *Controller) Cleared(now time.Time, clearance Clearance, reply lagoonlanding.ClearanceReply, err error) {
	if err != nil {
		return
	}
	group := controller.group(clearance.request.Group())
	witness := clearance.request.Witness()
	if reply.Status() == lagoonlanding.ClearanceExpired {
		group.terminated[witness] = true
	}
	if reply.Status() == lagoonlanding.ClearanceBehind {
		if record, ok := controller.directory.record(group.id); ok && record.Version() > reply.Version() {
			controller.notify(clearance.to, record)
		}
		return
	}
	controller.applyClearance(now, group, witness, reply)
}

func (controller *Controller) applyClearance(now time.Time, group *group, witness lagoonlanding.InstanceID, reply lagoonlanding.ClearanceReply) {
	if group.tally != nil {
		group.tally.Add(witness, reply)
	}
	if group.holder != nil {
		group.holder.Cleared(now, witness, reply, controller.rules(group.id))
	}
}

// HandedOver handles the end of a drain, whether or not the new owner accepted the shard.
func (controller *Controller) HandedOver(now time.Time, drain Drain) {
	group := controller.group(drain.group)
	if group.holder == nil {
		return
	}
	before := group.holder.Released()
	if group.holder.HandedOver(drain.shard, drain.version) {
		controller.outbox.drops = append(controller.outbox.drops, Drop{group: group.id, shard: drain.shard})
	}
	if group.holder.Released() != before {
		controller.renew(now, group)
	}
}
