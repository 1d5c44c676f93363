package simulator

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/controller"
)

// flush publishes the snapshot and executes the requests of the control state, in the order of controller.Runner.
func (process *Process) flush() {
	for range process.controller.TakeFailures() {
		process.fleet.counts["failures"]++
	}
	outbox := process.controller.TakeOutbox()
	for _, drop := range outbox.Drops() {
		process.dispatcher.Drop(drop.Group(), drop.Shard())
	}
	for _, handover := range outbox.Imports() {
		if !process.dispatcher.Import(handover.Group(), handover.Shard(), handover.Attempts()) {
			process.controller.ImportFailed(handover.Group(), handover.Shard())
		}
	}
	process.snapshot = process.controller.Snapshot()
	if set := process.snapshot.Set(); set != nil {
		process.fleet.checker.RecordSet(process.id, set.Version())
	}
	process.fleet.checkOutdatedLeases(process)
	process.send(outbox)
	process.sendStoreCalls(outbox)
	for _, requested := range outbox.Drains() {
		drain := &drain{process: process, requested: requested}
		drain.step()
	}
}

func (process *Process) send(outbox controller.Outbox) {
	for _, renewal := range outbox.Renewals() {
		peerCall[lagoonlanding.RenewReply]{
			from: process, to: renewal.To(),
			handle: func(target *Process, now time.Time) lagoonlanding.RenewReply {
				return target.controller.OnRenew(now, renewal.Request())
			},
			done: func(now time.Time, reply lagoonlanding.RenewReply, err error) {
				process.controller.Renewed(now, renewal, reply, err)
			},
		}.start()
	}
	for _, clearance := range outbox.Clearances() {
		peerCall[lagoonlanding.ClearanceReply]{
			from: process, to: clearance.To(),
			handle: func(target *Process, now time.Time) lagoonlanding.ClearanceReply {
				return target.controller.OnClear(now, clearance.Request())
			},
			done: func(now time.Time, reply lagoonlanding.ClearanceReply, err error) {
				process.controller.Cleared(now, clearance, reply, err)
			},
		}.start()
	}
	for _, fetch := range outbox.Fetches() {
		if process.updateBlocks > 0 {
			process.fleet.timer.AfterFunc(callTimeout, func() {
				process.runControl(func(now time.Time) { process.controller.Fetched(now, lagoonlanding.DirectoryReply{}, errTimeout) })
			})
			continue
		}
		peerCall[lagoonlanding.DirectoryReply]{
			from: process, to: fetch.To(),
			handle: func(target *Process, _ time.Time) lagoonlanding.DirectoryReply {
				return target.controller.OnDirectory(fetch.Request())
			},
			done: func(now time.Time, reply lagoonlanding.DirectoryReply, err error) {
				process.controller.Fetched(now, reply, err)
			},
		}.start()
	}
	process.sendNotifications(outbox)
}

// sendNotifications sends the messages whose replies are ignored.
func (process *Process) sendNotifications(outbox controller.Outbox) {
	for _, join := range outbox.Joins() {
		peerCall[lagoonlanding.JoinReply]{
			from: process, to: join.To(),
			handle: func(target *Process, now time.Time) lagoonlanding.JoinReply {
				return target.controller.OnJoin(now, join.Request())
			},
			done: func(time.Time, lagoonlanding.JoinReply, error) {},
		}.start()
	}
	for _, notice := range outbox.Notices() {
		peerCall[struct{}]{
			from: process, to: notice.To(),
			handle: func(target *Process, now time.Time) struct{} {
				if target.updateBlocks == 0 {
					target.controller.OnNotice(now, notice.Request())
				}
				return struct{}{}
			},
			done: func(time.Time, struct{}, error) {},
		}.start()
	}
}

func (process *Process) sendStoreCalls(outbox controller.Outbox) {
	store := process.fleet.store
	for _, swap := range outbox.Swaps() {
		store.compareAndSwap(process, swap.Key(), swap.Expected(), swap.Value(), func(now time.Time, revision uint64, err error) {
			process.controller.Swapped(now, swap, revision, err)
		})
	}
	for _, key := range outbox.Reads() {
		store.get(process, key, func(now time.Time, entry lagoonlanding.Entry, err error) {
			process.controller.ReadBack(now, key, entry, err)
		})
	}
	if outbox.WantsWatch() {
		store.watch(process, process.controller.Revision())
	}
}

// drain is a handover of one shard in progress.
type drain struct {
	process   *Process
	requested controller.Drain
	request   lagoonlanding.HandoverRequest
	ready     bool
	finished  bool
}

const (
	idlePollInterval      = 5 * time.Millisecond
	handoverRetryInterval = 50 * time.Millisecond
)

// step waits until the shard's requests have ended, then offers the shard to its new owner until the owner replies.
func (drain *drain) step() {
	process := drain.process
	if drain.finished || process.terminated {
		return
	}
	if !process.clock.Now().Before(drain.requested.Deadline()) {
		drain.finish()
		return
	}
	if !drain.ready && !drain.prepare() {
		process.fleet.timer.AfterFunc(idlePollInterval, func() { process.runWhenThawed(drain.step) })
		return
	}
	drain.offer()
	process.fleet.timer.AfterFunc(handoverRetryInterval+callTimeout, func() { process.runWhenThawed(drain.step) })
}

// prepare creates the handover request once the shard is idle; it returns false before.
func (drain *drain) prepare() bool {
	// With a cancelled context AwaitIdle only checks whether the shard is idle; waiting would stop the simulation.
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	group, shard := drain.requested.Group(), drain.requested.Shard()
	if drain.process.dispatcher.AwaitIdle(cancelled, group, shard) != nil {
		return false
	}
	drain.ready = true
	drain.request = lagoonlanding.NewHandoverRequest(lagoonlanding.HandoverConfig{
		Group: group, Version: drain.requested.Version(), Shard: shard, From: drain.process.id, To: drain.requested.To().ID(),
		Since: drain.requested.Since(), Attempts: drain.process.dispatcher.Export(group, shard),
	})
	return true
}

func (drain *drain) offer() {
	peerCall[lagoonlanding.HandoverReply]{
		from: drain.process, to: drain.requested.To(),
		handle: func(target *Process, _ time.Time) lagoonlanding.HandoverReply {
			return target.controller.OnHandover(drain.request)
		},
		done: func(_ time.Time, reply lagoonlanding.HandoverReply, err error) {
			if err == nil && (reply.Status() == lagoonlanding.HandoverAccepted || reply.Status() == lagoonlanding.HandoverLate) {
				drain.finish()
			}
		},
	}.start()
}

func (drain *drain) finish() {
	if !drain.finished {
		drain.finished = true
		drain.process.runControl(func(now time.Time) { drain.process.controller.HandedOver(now, drain.requested) })
	}
}
