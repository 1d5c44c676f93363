package simulator

import (
	"fmt"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
	"lagoonlanding.example/soak/generator"
)

// The timing of the events that target the moment at which a shard moves.
const (
	// loadInterval is the time between two requests to the shard that is about to move.
	loadInterval = 40 * time.Millisecond
	// layoutPropagation is the time until all daemons have received a newly written layout.
	layoutPropagation = 130 * time.Millisecond
	// minIsolation plus the duration of the event ends an isolation at about the expiry of a promise.
	minIsolation = 700 * time.Millisecond
	// promiseExpiryDelay is slightly longer than a promise.
	promiseExpiryDelay  = time.Second
	targetedDuration    = 2200 * time.Millisecond
	targetedStoreOutage = 1500 * time.Millisecond
	zoneOutDuration     = 3 * time.Second
	// firstTargetedNumber separates the numbers of targeted operations from those of all others.
	firstTargetedNumber = 1 << 24
)

// applyTargeted applies an event that targets the owner of a shard or a witness; it returns false for other events.
func (fleet *Fleet) applyTargeted(event generator.Event) bool {
	switch event.Kind() {
	case generator.KindDeposeOwner, generator.KindMoveShard, generator.KindSucceedWitness:
	case generator.KindTrapLoser:
		fleet.traps = []trap{{duration: minIsolation + event.Duration()}}
		return true
	default:
		return false
	}
	owner, shard, ok := fleet.chooseOwner(event)
	if !ok {
		return true
	}
	fleet.counts["aimed "+string(event.Kind())]++
	switch event.Kind() {
	case generator.KindDeposeOwner:
		fleet.deposeOwner(event, owner, shard)
	case generator.KindMoveShard:
		fleet.moveShard(event, owner, shard)
	case generator.KindSucceedWitness:
		fleet.succeedWitness(event, owner, shard.Group())
	}
	return true
}

// chooseOwner returns a daemon with a shard that it serves; the event selects the service with or without a check of fencing tokens.
func (fleet *Fleet) chooseOwner(event generator.Event) (*Process, lagoonlanding.ShardID, bool) {
	service := []string{pooledService, ownedService}[event.Parameter()%2]
	for offset := range fleet.processes {
		process := fleet.processes[(event.Subject()+offset)%len(fleet.processes)]
		if process == nil || process.freezeCount > 0 || process.leaving {
			continue
		}
		if shards := process.servedShards(service); len(shards) > 0 {
			return process, shards[event.Object()%len(shards)], true
		}
	}
	return nil, lagoonlanding.ShardID{}, false
}

// servedShards returns the shards of a service that the process may serve now.
func (process *Process) servedShards(service string) []lagoonlanding.ShardID {
	var shards []lagoonlanding.ShardID
	for _, id := range process.groupIDs() {
		group, _ := process.snapshot.Group(id)
		for shard := range group.Placement().Shards() {
			if _, ok := process.shardLease(id, shard); ok && id.Service() == service {
				shards = append(shards, lagoonlanding.NewShardID(id, shard))
			}
		}
	}
	return shards
}

// groupIDs returns the groups of the process's snapshot in a fixed order, so that runs are deterministic.
func (process *Process) groupIDs() []lagoonlanding.GroupID {
	var ids []lagoonlanding.GroupID
	for id := range process.snapshot.Groups() {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b lagoonlanding.GroupID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return ids
}

// deposeOwner isolates an owner while its zone is taken out of service, so that it continues to serve under an outdated layout.
func (fleet *Fleet) deposeOwner(event generator.Event, owner *Process, shard lagoonlanding.ShardID) {
	witnesses := fleet.otherWitnesses(owner, shard.Group())
	fleet.isolate(owner, minIsolation+event.Duration())
	fleet.publishAsOperator(0, map[string]bool{owner.slot.zone: true})
	fleet.timer.AfterFunc(zoneOutDuration, func() { fleet.publishAsOperator(0, nil) })
	fleet.timer.AfterFunc(layoutPropagation, func() {
		switch event.Parameter() / 2 % 3 {
		case 0:
			// During the store outage no layout can remove the owner, so it stays a member of the layout that took its shards.
			fleet.store.startOutage(targetedStoreOutage)
		case 1:
			// The new incarnations of two witnesses do not know the promises of their predecessors.
			fleet.replaceAll(witnesses[:min(2, len(witnesses))])
		}
	})
	fleet.loadShard(owner, shard, layoutPropagation)
}

// moveShard takes an owner's zone out of service, or shuts the owner down, while it runs long requests.
func (fleet *Fleet) moveShard(event generator.Event, owner *Process, shard lagoonlanding.ShardID) {
	fleet.loadShard(owner, shard, 0)
	fleet.timer.AfterFunc(layoutPropagation, func() {
		if event.Parameter()/2%2 == 0 {
			owner.startLeaving()
			return
		}
		fleet.publishAsOperator(0, map[string]bool{owner.slot.zone: true})
		fleet.timer.AfterFunc(zoneOutDuration, func() { fleet.publishAsOperator(0, nil) })
	})
}

// succeedWitness replaces a witness by an incarnation that becomes a witness too, while a member cannot reach
// another witness and receives updates late.
func (fleet *Fleet) succeedWitness(event generator.Event, member *Process, id lagoonlanding.GroupID) {
	witnesses := fleet.otherWitnesses(member, id)
	if len(witnesses) < 2 {
		return
	}
	replaced, unreachable := witnesses[event.Parameter()/2%2], witnesses[1-event.Parameter()/2%2]
	fleet.network.cutBoth(slotName(member.slot.number), slotName(unreachable.slot.number), targetedDuration)
	member.blockUpdates(zoneOutDuration)
	fleet.replaceAll([]*Process{replaced})
	fleet.timer.AfterFunc(promiseExpiryDelay+event.Duration(), func() { fleet.publishAsOperator(0, map[string]bool{unreachable.slot.zone: true}) })
	fleet.timer.AfterFunc(2*zoneOutDuration, func() { fleet.publishAsOperator(0, nil) })
}

// otherWitnesses returns the running witnesses of a group except the process, by the process's own snapshot.
func (fleet *Fleet) otherWitnesses(except *Process, id lagoonlanding.GroupID) []*Process {
	group, _ := except.snapshot.Group(id)
	return slices.DeleteFunc(fleet.witnessesOf(group.Record().Current()), func(process *Process) bool { return process == except })
}

func (fleet *Fleet) witnessesOf(layout lagoonlanding.Layout) []*Process {
	var running []*Process
	for _, witness := range layout.Witnesses() {
		if process := fleet.processAt(witness); process != nil && process.id == witness.ID() {
			running = append(running, process)
		}
	}
	return running
}

func (fleet *Fleet) replaceAll(processes []*Process) {
	for _, process := range processes {
		if !process.terminated {
			process.kill()
			fleet.startProcess(process.slot)
		}
	}
}

// isolate partitions a daemon from all others and from the store; its callers and its backend server still reach it.
func (fleet *Fleet) isolate(process *Process, duration time.Duration) {
	name := slotName(process.slot.number)
	fleet.network.cutBoth(name, slotName(storeSlot), duration)
	for _, slot := range fleet.topology.slots {
		if slot.number != process.slot.number {
			fleet.network.cutBoth(name, slotName(slot.number), duration)
		}
	}
}

// loadShard sends requests for one shard to its owner and resends each through other daemons, with tickets of other daemons.
func (fleet *Fleet) loadShard(owner *Process, shard lagoonlanding.ShardID, delay time.Duration) {
	for at := delay; at < targetedDuration; at += loadInterval {
		fleet.timer.AfterFunc(at, func() {
			operation, ok := fleet.newShardOperation(owner, shard)
			issuer := fleet.otherInRegion(owner)
			if !ok || issuer == nil {
				return
			}
			operation.ticket = lagoonlanding.NewTicket(issuer.snapshot.Revision(), issuer.clock.Now())
			if !owner.terminated {
				fleet.sendAttempt(operation, owner)
			}
			fleet.timer.AfterFunc(minIsolation, func() { fleet.resendElsewhere(operation, owner) })
			fleet.timer.AfterFunc(2*minIsolation, func() { fleet.resendElsewhere(operation, owner) })
		})
	}
}

func (fleet *Fleet) resendElsewhere(operation *operation, owner *Process) {
	if process := fleet.otherInRegion(owner); process != nil {
		fleet.sendAttempt(operation, process)
	}
}

// otherInRegion returns a random running process in the region of the given one, except itself.
func (fleet *Fleet) otherInRegion(except *Process) *Process {
	offset := fleet.random.IntN(len(fleet.processes))
	for number := range fleet.processes {
		process := fleet.processes[(number+offset)%len(fleet.processes)]
		if process != nil && process.slot.number != except.slot.number && process.slot.region == except.slot.region {
			return process
		}
	}
	return nil
}

// newShardOperation returns a new non-idempotent operation whose key belongs to the shard; half of them run long.
func (fleet *Fleet) newShardOperation(owner *Process, shard lagoonlanding.ShardID) (*operation, bool) {
	service, ok := fleet.topology.set(1, nil).Service(shard.Group().Service())
	if !ok {
		return nil, false
	}
	for _, workspace := range fleet.topology.workspaces() {
		if !workspace.Permits(owner.slot.region) {
			continue
		}
		if operation, ok := fleet.newShardOperationIn(service, workspace, shard); ok {
			return operation, true
		}
	}
	return nil, false
}

const maxKeyAttempts = 300

func (fleet *Fleet) newShardOperationIn(service publisher.Service, workspace publisher.Workspace, shard lagoonlanding.ShardID) (*operation, bool) {
	for range maxKeyAttempts {
		fleet.targetedCount++
		number := firstTargetedNumber + fleet.targetedCount
		key := lagoonlanding.NewKey(service.Name(), workspace.Name(), fmt.Sprintf("aimed-%d", number))
		group, index, ok := router.Locate(service, workspace, lagoonlanding.NewRequest(lagoonlanding.RequestConfig{
			Key: key, IdempotencyKey: fmt.Sprintf("operation-%d", number),
		}))
		if !ok || group.Partition() != shard.Group().Partition() {
			return nil, false
		}
		if index == shard.Number() {
			return &operation{number: number, key: key, isLong: fleet.random.IntN(2) == 0}, true
		}
	}
	return nil, false
}
