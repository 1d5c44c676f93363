package simulator

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
)

// trap isolates the next member that loses a shard to a new layout and stays in the group.
type trap struct {
	// duration is how long the member stays isolated, until about the expiry of a promise.
	duration time.Duration
}

// springTrap isolates the first member that loses a shard to the record's new layout, if a trap is pending.
func (fleet *Fleet) springTrap(record lagoonlanding.Record) {
	if len(fleet.traps) == 0 {
		return
	}
	for _, member := range record.Prior().Members() {
		process := fleet.processAt(member.Instance())
		if process == nil || process.id != member.ID() || !fleet.losesShard(process, record) {
			continue
		}
		trap := fleet.traps[0]
		fleet.traps = fleet.traps[1:]
		fleet.counts["aimed trap sprung"]++
		fleet.trace("trap: %s", process.id)
		fleet.isolate(process, trap.duration)
		process.blockUpdates(trap.duration + targetedDuration)
		// During the store outage no layout can remove the member when its promises expire.
		fleet.timer.AfterFunc(layoutPropagation, func() { fleet.store.startOutage(targetedStoreOutage) })
		return
	}
}

// losesShard reports whether a member that has the newest set stays active in the group and loses a shard that it may serve.
func (fleet *Fleet) losesShard(process *Process, record lagoonlanding.Record) bool {
	version, _ := fleet.publishedVersion()
	member, ok := record.Current().Member(process.id)
	if !ok || member.State() != lagoonlanding.MemberActive || process.freezeCount > 0 || process.snapshot.Set().Version() != version {
		return false
	}
	if slices.ContainsFunc(record.Current().Witnesses(), func(witness lagoonlanding.Instance) bool { return witness.ID() == process.id }) {
		return false
	}
	next := placer.NewRendezvous().Place(record.Current())
	for shard := range next.Shards() {
		if _, ok := process.shardLease(record.Group(), shard); ok && next.Owner(shard) != process.id {
			return true
		}
	}
	return false
}

// blockUpdates cuts the process off from the store and drops updates that other daemons forward to it for the duration.
//
// Its lease renewals still pass.
func (process *Process) blockUpdates(duration time.Duration) {
	process.updateBlocks++
	process.fleet.network.cutBoth(slotName(process.slot.number), slotName(storeSlot), duration)
	process.fleet.timer.AfterFunc(duration, func() { process.updateBlocks-- })
}
