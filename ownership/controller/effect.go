package controller

import (
	"context"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// sendCalls starts the calls to other instances; each reply is handled as an event on the control thread.
func (runner *Runner) sendCalls(ctx context.Context, outbox Outbox) {
	controller, peers := runner.config.Controller, runner.config.Peers
	for _, renewal := range outbox.Renewals() {
		runner.startWorker(func() {
			reply, err := callWithTimeout(ctx, renewal.To(), renewal.Request(), peers.Renew)
			runner.Do(func(now time.Time) { controller.Renewed(now, renewal, reply, err) })
		})
	}
	for _, clearance := range outbox.Clearances() {
		runner.startWorker(func() {
			reply, err := callWithTimeout(ctx, clearance.To(), clearance.Request(), peers.Clear)
			runner.Do(func(now time.Time) { controller.Cleared(now, clearance, reply, err) })
		})
	}
	for _, fetch := range outbox.Fetches() {
		runner.startWorker(func() {
			reply, err := callWithTimeout(ctx, fetch.To(), fetch.Request(), peers.Directory)
			runner.Do(func(now time.Time) { controller.Fetched(now, reply, err) })
		})
	}
	for _, join := range outbox.Joins() {
		// A lost join request is repeated after joinInterval.
		runner.startWorker(func() { _, _ = callWithTimeout(ctx, join.To(), join.Request(), peers.Join) })
	}
	for _, notice := range outbox.Notices() {
		runner.startWorker(func() {
			_, _ = callWithTimeout(ctx, notice.To(), notice.Request(),
				func(ctx context.Context, to lagoonlanding.Instance, notice lagoonlanding.RecordNotice) (struct{}, error) {
					return struct{}{}, peers.Notify(ctx, to, notice)
				})
		})
	}
}

// callWithTimeout calls another instance with the call timeout.
func callWithTimeout[Request, Reply any](
	ctx context.Context, to lagoonlanding.Instance, request Request,
	call func(context.Context, lagoonlanding.Instance, Request) (Reply, error),
) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, to, request)
}

// callStore starts the calls to the store; each result is handled as an event on the control thread.
func (runner *Runner) callStore(ctx context.Context, outbox Outbox) {
	controller, store := runner.config.Controller, runner.config.Store
	for _, swap := range outbox.Swaps() {
		runner.startWorker(func() {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			revision, err := store.CompareAndSwap(ctx, swap.Key(), swap.Expected(), swap.Value())
			runner.Do(func(now time.Time) { controller.Swapped(now, swap, revision, err) })
		})
	}
	for _, key := range outbox.Reads() {
		runner.startWorker(func() {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			entry, err := store.Get(ctx, key)
			runner.Do(func(now time.Time) { controller.ReadBack(now, key, entry, err) })
		})
	}
	if outbox.WantsWatch() {
		after := controller.Revision()
		runner.startWorker(func() {
			listing, err := store.Watch(ctx, lagoonlanding.StorePrefix, after)
			runner.Do(func(now time.Time) { controller.Watched(now, listing, err) })
		})
	}
}

// handOver waits until the shard's requests have finished, transfers the shard to its new owner and reports the end of the drain.
func (runner *Runner) handOver(ctx context.Context, drain Drain) {
	traffic := runner.config.Traffic
	ctx, cancel := context.WithDeadline(ctx, drain.Deadline())
	defer cancel()
	if traffic.AwaitIdle(ctx, drain.Group(), drain.Shard()) == nil {
		request := lagoonlanding.NewHandoverRequest(lagoonlanding.HandoverConfig{
			Group: drain.Group(), Version: drain.Version(), Shard: drain.Shard(),
			From: runner.Current().Self().ID(), To: drain.To().ID(),
			Since: drain.Since(), Attempts: traffic.Export(drain.Group(), drain.Shard()),
		})
		runner.sendHandover(ctx, drain, request)
	}
	runner.Do(func(now time.Time) { runner.config.Controller.HandedOver(now, drain) })
}

// sendHandover repeats the handover request until the new owner gives a final reply or the drain's deadline passes.
func (runner *Runner) sendHandover(ctx context.Context, drain Drain, request lagoonlanding.HandoverRequest) {
	for {
		reply, err := callWithTimeout(ctx, drain.To(), request, runner.config.Peers.HandOver)
		if err == nil && (reply.Status() == lagoonlanding.HandoverAccepted || reply.Status() == lagoonlanding.HandoverLate) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-runner.config.Clock.Until(runner.config.Clock.Now().Add(handoverRetryInterval)):
		}
	}
}
