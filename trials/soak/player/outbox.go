package player

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/controller"
)

// flush publishes the snapshot and does what the control state asks for, in the order of controller.Runner.
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
			process.controller.LoseAttempts(handover.Group(), handover.Shard())
		}
	}
	process.snapshot = process.controller.Snapshot()
	if set := process.snapshot.Set(); set != nil {
		process.fleet.checker.RecordSet(process.id, set.Version())
	}
	process.fleet.checkOutdated(process)
	process.send(outbox)
	process.useStore(outbox)
	for _, requested := range outbox.Drains() {
		drain := &drain{process: process, drain: requested}
		drain.tend()
	}
}

func (process *Process) send(outbox controller.Outbox) {
	for _, renewal := range outbox.Renewals() {
		exchange[lagoonlanding.RenewReply]{
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
		exchange[lagoonlanding.ClearanceReply]{
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
		if process.deaf > 0 {
			process.fleet.timer.AfterFunc(callTimeout, func() {
				process.do(func(now time.Time) { process.controller.Fetched(now, lagoonlanding.DirectoryReply{}, errTimeout) })
			})
			continue
		}
		exchange[lagoonlanding.DirectoryReply]{
			from: process, to: fetch.To(),
			handle: func(target *Process, _ time.Time) lagoonlanding.DirectoryReply {
				return target.controller.OnDirectory(fetch.Request())
			},
			done: func(now time.Time, reply lagoonlanding.DirectoryReply, err error) {
				process.controller.Fetched(now, reply, err)
			},
		}.start()
	}
	process.tell(outbox)
}

// tell sends the messages whose answers do not matter.
func (process *Process) tell(outbox controller.Outbox) {
	for _, join := range outbox.Joins() {
		exchange[lagoonlanding.JoinReply]{
			from: process, to: join.To(),
			handle: func(target *Process, now time.Time) lagoonlanding.JoinReply {
				return target.controller.OnJoin(now, join.Request())
			},
			done: func(time.Time, lagoonlanding.JoinReply, error) {},
		}.start()
	}
	for _, notice := range outbox.Notices() {
		exchange[struct{}]{
			from: process, to: notice.To(),
			handle: func(target *Process, now time.Time) struct{} {
				if target.deaf == 0 {
					target.controller.OnNotice(now, notice.Request())
				}
				return struct{}{}
			},
			done: func(time.Time, struct{}, error) {},
		}.start()
	}
}

func (process *Process) useStore(outbox controller.Outbox) {
	store := process.fleet.store
	for _, swap := range outbox.Swaps() {
		store.swap(process, swap.Key(), swap.Expected(), swap.Value(), func(now time.Time, revision uint64, err error) {
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

// drain is the handover of one shard that a process works on.
type drain struct {
	process *Process
	drain   controller.Drain
	request lagoonlanding.HandoverRequest
	ready   bool
	ended   bool
}

const (
	idlePoll      = 5 * time.Millisecond
	handoverRetry = 50 * time.Millisecond
)

// tend waits until the shard's requests have ended, then offers the shard to its new owner until that answers.
func (drain *drain) tend() {
	process := drain.process
	if drain.ended || process.dead {
		return
	}
	if !process.clock.Now().Before(drain.drain.Deadline()) {
		drain.end()
		return
	}
	if !drain.ready && !drain.prepare() {
		process.fleet.timer.AfterFunc(idlePoll, func() { process.enter(drain.tend) })
		return
	}
	drain.offer()
	process.fleet.timer.AfterFunc(handoverRetry+callTimeout, func() { process.enter(drain.tend) })
}

func (drain *drain) prepare() bool {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	group, shard := drain.drain.Group(), drain.drain.Shard()
	if drain.process.dispatcher.AwaitIdle(ended, group, shard) != nil {
		return false
	}
	drain.ready = true
	drain.request = lagoonlanding.NewHandoverRequest(lagoonlanding.HandoverConfig{
		Group: group, Version: drain.drain.Version(), Shard: shard, From: drain.process.id, To: drain.drain.To().ID(),
		Since: drain.drain.Since(), Attempts: drain.process.dispatcher.Export(group, shard),
	})
	return true
}

func (drain *drain) offer() {
	exchange[lagoonlanding.HandoverReply]{
		from: drain.process, to: drain.drain.To(),
		handle: func(target *Process, _ time.Time) lagoonlanding.HandoverReply {
			return target.controller.OnHandover(drain.request)
		},
		done: func(_ time.Time, reply lagoonlanding.HandoverReply, err error) {
			if err == nil && (reply.Status() == lagoonlanding.HandoverAccepted || reply.Status() == lagoonlanding.HandoverLate) {
				drain.end()
			}
		},
	}.start()
}

func (drain *drain) end() {
	if !drain.ended {
		drain.ended = true
		drain.process.do(func(now time.Time) { drain.process.controller.HandedOver(now, drain.drain) })
	}
}
