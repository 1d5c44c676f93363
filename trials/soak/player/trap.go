package player

import (
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
)

// trap waits for a layout that takes a shard from a member that stays in the group, and then isolates that member.
type trap struct {
	// term is how long the member stays isolated, about as long as a promise lasts.
	term time.Duration
}

// spring isolates the first member that the record takes a shard from, if a trap is set.
func (fleet *Fleet) spring(record lagoonlanding.Record) {
	if len(fleet.traps) == 0 {
		return
	}
	for _, member := range record.Prior().Members() {
		process := fleet.listening(member.Instance())
		if process == nil || process.id != member.ID() || !fleet.losesShard(process, record) {
			continue
		}
		sprung := fleet.traps[0]
		fleet.traps = fleet.traps[1:]
		fleet.counts["aimed trap sprung"]++
		fleet.note("trap: %s", process.id)
		fleet.isolate(process, sprung.term)
		process.deafen(sprung.term + aimedTerm)
		// Without the store the member is not removed when its promises lapse.
		fleet.timer.AfterFunc(learnTerm, func() { fleet.store.down(aimedStoreOutage) })
		return
	}
}

// losesShard reports whether a member that knows the newest set stays active in the group and loses a shard that it may serve.
func (fleet *Fleet) losesShard(process *Process, record lagoonlanding.Record) bool {
	version, _ := fleet.published()
	member, ok := record.Current().Member(process.id)
	if !ok || member.State() != lagoonlanding.MemberActive || process.frozen > 0 || process.snapshot.Set().Version() != version {
		return false
	}
	if slices.ContainsFunc(record.Current().Witnesses(), func(witness lagoonlanding.Instance) bool { return witness.ID() == process.id }) {
		return false
	}
	next := placer.NewRendezvous().Place(record.Current())
	for shard := range next.Shards() {
		if _, ok := process.right(record.Group(), shard); ok && next.Owner(shard) != process.id {
			return true
		}
	}
	return false
}

// deafen loses all news of the store that is sent to the process for a term; its renewals still pass.
func (process *Process) deafen(term time.Duration) {
	process.deaf++
	process.fleet.network.cutBoth(slotName(process.slot.number), slotName(storeSlot), term)
	process.fleet.timer.AfterFunc(term, func() { process.deaf-- })
}
