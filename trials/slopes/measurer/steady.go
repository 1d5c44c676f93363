package measurer

import (
	"fmt"
	"runtime"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/ownership/controller"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
)

// Steady is the cost that a group without changes causes in its daemons, without message transport.
type Steady struct {
	members     int
	shards      int
	groups      int
	coordinator time.Duration
	witness     time.Duration
	member      time.Duration
	renewals    float64
	storeCalls  int
}

// Members returns the number of members of the group.
func (steady Steady) Members() int { return steady.members }

// Shards returns the number of shards of the group.
func (steady Steady) Shards() int { return steady.shards }

// Groups returns the number of groups in the directory.
func (steady Steady) Groups() int { return steady.groups }

// CoordinatorTime returns the CPU time of the coordinator per second.
func (steady Steady) CoordinatorTime() time.Duration { return steady.coordinator }

// WitnessTime returns the CPU time per second of a witness that does not coordinate.
func (steady Steady) WitnessTime() time.Duration { return steady.witness }

// MemberTime returns the CPU time per second of a member that is not a witness.
func (steady Steady) MemberTime() time.Duration { return steady.member }

// Renewals returns the number of renewals that a witness answers per second.
func (steady Steady) Renewals() float64 { return steady.renewals }

// StoreCalls returns the number of store calls of the whole group after the first second, without watches that were already open.
func (steady Steady) StoreCalls() int { return steady.storeCalls }

const (
	measuredSeconds = 20
	setVersion      = 1
)

// node is the controller of a member with its CPU time and the number of renewals that it answered.
type node struct {
	controller *controller.Controller
	cpuTime    time.Duration
	answered   int
}

// MeasureSteady runs the control code of all members of a group, with the given number of groups in the directory.
func MeasureSteady(members, shards, groups int) (Steady, error) {
	listing, err := newListing(groups, members, shards, 1)
	if err != nil {
		return Steady{}, err
	}
	byID := make(map[lagoonlanding.InstanceID]*node)
	var nodes []*node
	for number := range members {
		self := newInstance(0, number)
		node := &node{controller: controller.New(controller.Config{
			Self: self, Now: start, Placer: placer.NewRendezvous(), Records: encoder.Records{}, Sets: encoder.Sets{},
		})}
		node.controller.Watched(start, listing, nil)
		byID[self.ID()] = node
		nodes = append(nodes, node)
	}
	runtime.GC()
	calls := 0
	for step := range measuredSeconds * 10 {
		now := start.Add(time.Duration(step) * controller.TickInterval)
		// There are ten steps a second; the first second is not measured.
		if step == 10 {
			calls = 0
			for _, node := range nodes {
				node.cpuTime, node.answered = 0, 0
			}
		}
		for _, node := range nodes {
			node.handle(func() { node.controller.Tick(now) }, now, byID, &calls)
		}
	}
	// Node 0 coordinates the group, node 1 is another witness, and the last node is not a witness.
	seconds := float64(measuredSeconds - 1)
	perSecond := func(index int) time.Duration { return time.Duration(float64(nodes[index].cpuTime) / seconds) }
	return Steady{
		members: members, shards: shards, groups: groups, coordinator: perSecond(0), witness: perSecond(1), member: perSecond(members - 1),
		renewals: float64(nodes[1].answered) / seconds, storeCalls: calls,
	}, nil
}

// handle runs one event, takes a snapshot as the control thread does, and delivers the messages that the event produced.
func (node *node) handle(event func(), now time.Time, byID map[lagoonlanding.InstanceID]*node, calls *int) {
	before := cpuTime()
	event()
	outbox := node.controller.TakeOutbox()
	_ = node.controller.Snapshot()
	node.cpuTime += cpuTime() - before
	*calls += len(outbox.Swaps()) + len(outbox.Reads())
	for _, renewal := range outbox.Renewals() {
		target, ok := byID[renewal.To().ID()]
		if !ok {
			continue
		}
		var reply lagoonlanding.RenewReply
		target.answered++
		target.handle(func() { reply = target.controller.OnRenew(now, renewal.Request()) }, now, byID, calls)
		node.handle(func() { node.controller.Renewed(now, renewal, reply, nil) }, now, byID, calls)
	}
	for _, clearance := range outbox.Clearances() {
		target, ok := byID[clearance.To().ID()]
		if !ok {
			continue
		}
		var reply lagoonlanding.ClearanceReply
		target.handle(func() { reply = target.controller.OnClear(now, clearance.Request()) }, now, byID, calls)
		node.handle(func() { node.controller.Cleared(now, clearance, reply, nil) }, now, byID, calls)
	}
}

// newListing returns the listing of the store with a set and the record of each group.
func newListing(groups, members, shards int, version uint64) (lagoonlanding.Listing, error) {
	value, err := encoder.Sets{}.Encode(newSet(setVersion, groups, shards, 0))
	if err != nil {
		return lagoonlanding.Listing{}, fmt.Errorf("encode the set: %w", err)
	}
	entries := []lagoonlanding.Entry{lagoonlanding.NewEntry(lagoonlanding.SetKey, value, 1)}
	for group := range groups {
		_, entry, err := newRecord(group, members, shards, version, uint64(group+2))
		if err != nil {
			return lagoonlanding.Listing{}, err
		}
		entries = append(entries, entry)
	}
	return lagoonlanding.NewListing(entries, uint64(groups+2)), nil
}
