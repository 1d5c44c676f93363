package player

import (
	"fmt"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/operations/publisher"
	"lagoonlanding.example/lagoonlanding/requests/router"
	"lagoonlanding.example/soak/drawer"
)

// The terms of the events that aim at the moment at which a shard moves.
const (
	aimedInterval = 40 * time.Millisecond
	// learnTerm is what the fleet needs to learn a layout that was written at once.
	learnTerm = 130 * time.Millisecond
	// shortestIsolation ends, with what the event adds, around the end of a promise.
	shortestIsolation = 700 * time.Millisecond
	promiseEnd        = time.Second
	aimedTerm         = 2200 * time.Millisecond
	aimedStoreOutage  = 1500 * time.Millisecond
	zoneOutTerm       = 3 * time.Second
	// firstAimed keeps the numbers of aimed operations apart from those of all others.
	firstAimed = 1 << 24
)

// applyAimed lets an event happen that picks the owner of a shard or a witness.
func (fleet *Fleet) applyAimed(event drawer.Event) bool {
	switch event.Kind() {
	case drawer.KindDeposeOwner, drawer.KindMoveShard, drawer.KindSucceedWitness:
	case drawer.KindTrapLoser:
		fleet.traps = []trap{{term: shortestIsolation + event.Duration()}}
		return true
	default:
		return false
	}
	owner, shard, ok := fleet.chooseOwned(event)
	if !ok {
		return true
	}
	fleet.counts["aimed "+string(event.Kind())]++
	switch event.Kind() {
	case drawer.KindDeposeOwner:
		fleet.depose(event, owner, shard)
	case drawer.KindMoveShard:
		fleet.move(event, owner, shard)
	case drawer.KindSucceedWitness:
		fleet.succeed(event, owner, shard.Group())
	}
	return true
}

// chooseOwned returns a daemon with a shard that it serves, by turns of the service that checks fencing tokens and the other.
func (fleet *Fleet) chooseOwned(event drawer.Event) (*Process, lagoonlanding.ShardID, bool) {
	service := []string{pooledService, ownedService}[event.Parameter()%2]
	for offset := range fleet.processes {
		process := fleet.processes[(event.Subject()+offset)%len(fleet.processes)]
		if process == nil || process.frozen > 0 || process.leaving {
			continue
		}
		if shards := process.served(service); len(shards) > 0 {
			return process, shards[event.Object()%len(shards)], true
		}
	}
	return nil, lagoonlanding.ShardID{}, false
}

// served lists the shards of a service that the process may serve now.
func (process *Process) served(service string) []lagoonlanding.ShardID {
	var shards []lagoonlanding.ShardID
	for _, id := range process.groupIDs() {
		group, _ := process.snapshot.Group(id)
		for shard := range group.Placement().Shards() {
			if _, ok := process.right(id, shard); ok && id.Service() == service {
				shards = append(shards, lagoonlanding.NewShardID(id, shard))
			}
		}
	}
	return shards
}

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

// depose isolates an owner while its zone is taken out, so that it serves on without knowing of the layout that follows.
func (fleet *Fleet) depose(event drawer.Event, owner *Process, shard lagoonlanding.ShardID) {
	witnesses := fleet.witnesses(owner, shard.Group())
	fleet.isolate(owner, shortestIsolation+event.Duration())
	fleet.operate(0, map[string]bool{owner.slot.zone: true})
	fleet.timer.AfterFunc(zoneOutTerm, func() { fleet.operate(0, nil) })
	fleet.timer.AfterFunc(learnTerm, func() {
		switch event.Parameter() / 2 % 3 {
		case 0:
			// Without the store the owner stays a member of the layout that took its shards.
			fleet.store.down(aimedStoreOutage)
		case 1:
			fleet.replaceAll(witnesses[:min(2, len(witnesses))])
		}
	})
	fleet.press(owner, shard, learnTerm)
}

// move takes an owner's zone out, or lets the owner leave, while long requests run at it.
func (fleet *Fleet) move(event drawer.Event, owner *Process, shard lagoonlanding.ShardID) {
	fleet.press(owner, shard, 0)
	fleet.timer.AfterFunc(learnTerm, func() {
		if event.Parameter()/2%2 == 0 {
			owner.leave()
			return
		}
		fleet.operate(0, map[string]bool{owner.slot.zone: true})
		fleet.timer.AfterFunc(zoneOutTerm, func() { fleet.operate(0, nil) })
	})
}

// succeed replaces a witness whose successor becomes a witness too, while a member cannot reach another one and learns late.
func (fleet *Fleet) succeed(event drawer.Event, member *Process, id lagoonlanding.GroupID) {
	witnesses := fleet.witnesses(member, id)
	if len(witnesses) < 2 {
		return
	}
	lost, cut := witnesses[event.Parameter()/2%2], witnesses[1-event.Parameter()/2%2]
	fleet.network.cutBoth(slotName(member.slot.number), slotName(cut.slot.number), aimedTerm)
	member.deafen(zoneOutTerm)
	fleet.replaceAll([]*Process{lost})
	fleet.timer.AfterFunc(promiseEnd+event.Duration(), func() { fleet.operate(0, map[string]bool{cut.slot.zone: true}) })
	fleet.timer.AfterFunc(2*zoneOutTerm, func() { fleet.operate(0, nil) })
}

// witnesses returns the running witnesses of a group besides the process, as the process knows them.
func (fleet *Fleet) witnesses(except *Process, id lagoonlanding.GroupID) []*Process {
	group, _ := except.snapshot.Group(id)
	return slices.DeleteFunc(fleet.witnessesOf(group.Record().Current()), func(process *Process) bool { return process == except })
}

func (fleet *Fleet) witnessesOf(layout lagoonlanding.Layout) []*Process {
	var running []*Process
	for _, witness := range layout.Witnesses() {
		if process := fleet.listening(witness); process != nil && process.id == witness.ID() {
			running = append(running, process)
		}
	}
	return running
}

func (fleet *Fleet) replaceAll(processes []*Process) {
	for _, process := range processes {
		if !process.dead {
			process.kill()
			fleet.start(process.slot)
		}
	}
}

// isolate cuts a daemon from all others and from the store; its callers and its backend server still reach it.
func (fleet *Fleet) isolate(process *Process, term time.Duration) {
	name := slotName(process.slot.number)
	fleet.network.cutBoth(name, slotName(storeSlot), term)
	for _, slot := range fleet.shape.slots {
		if slot.number != process.slot.number {
			fleet.network.cutBoth(name, slotName(slot.number), term)
		}
	}
}

// press sends requests for one shard to its owner and sends each again through others, all with tickets of others.
func (fleet *Fleet) press(owner *Process, shard lagoonlanding.ShardID, delay time.Duration) {
	for at := delay; at < aimedTerm; at += aimedInterval {
		fleet.timer.AfterFunc(at, func() {
			operation, ok := fleet.aim(owner, shard)
			issuer := fleet.other(owner)
			if !ok || issuer == nil {
				return
			}
			operation.ticket = lagoonlanding.NewTicket(issuer.snapshot.Revision(), issuer.clock.Now())
			if !owner.dead {
				fleet.try(operation, owner)
			}
			fleet.timer.AfterFunc(shortestIsolation, func() { fleet.tryElsewhere(operation, owner) })
			fleet.timer.AfterFunc(2*shortestIsolation, func() { fleet.tryElsewhere(operation, owner) })
		})
	}
}

func (fleet *Fleet) tryElsewhere(operation *operation, owner *Process) {
	if process := fleet.other(owner); process != nil {
		fleet.try(operation, process)
	}
}

// other returns a random running process in the region of the given one, but not that one.
func (fleet *Fleet) other(except *Process) *Process {
	offset := fleet.random.IntN(len(fleet.processes))
	for number := range fleet.processes {
		process := fleet.processes[(number+offset)%len(fleet.processes)]
		if process != nil && process.slot.number != except.slot.number && process.slot.region == except.slot.region {
			return process
		}
	}
	return nil
}

// aim returns a new non-idempotent operation that belongs to the shard; every second one runs long.
func (fleet *Fleet) aim(owner *Process, shard lagoonlanding.ShardID) (*operation, bool) {
	service, ok := fleet.shape.set(1, nil).Service(shard.Group().Service())
	if !ok {
		return nil, false
	}
	for _, workspace := range fleet.shape.workspaces() {
		if !workspace.Permits(owner.slot.region) {
			continue
		}
		if operation, ok := fleet.aimWithin(service, workspace, shard); ok {
			return operation, true
		}
	}
	return nil, false
}

const aimTries = 300

func (fleet *Fleet) aimWithin(service publisher.Service, workspace publisher.Workspace, shard lagoonlanding.ShardID) (*operation, bool) {
	for range aimTries {
		fleet.aimed++
		number := firstAimed + fleet.aimed
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
