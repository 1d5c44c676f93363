package sizer

import (
	"fmt"
	"runtime"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/adapters/encoder"
	"lagoonlanding.example/lagoonlanding/ownership/controller"
	"lagoonlanding.example/lagoonlanding/ownership/placer"
)

// Steady is what a quiet group costs its daemons for each second, without the carriage of messages.
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

// Groups returns the number of groups that the directory knows.
func (steady Steady) Groups() int { return steady.groups }

// Coordinator returns the processor time of the coordinator for each second.
func (steady Steady) Coordinator() time.Duration { return steady.coordinator }

// Witness returns the processor time of another witness for each second.
func (steady Steady) Witness() time.Duration { return steady.witness }

// Member returns the processor time of a member that witnesses nothing for each second.
func (steady Steady) Member() time.Duration { return steady.member }

// Renewals returns the renewals that a witness answers each second.
func (steady Steady) Renewals() float64 { return steady.renewals }

// StoreCalls returns the calls of the whole group to the store after the first second, waiting watches not counted again.
func (steady Steady) StoreCalls() int { return steady.storeCalls }

const (
	steadySeconds = 20
	steadySet     = 1
)

type node struct {
	controller *controller.Controller
	spent      time.Duration
	answered   int
}

// MeasureSteady runs the control code of one whole group whose directory knows the given number of groups.
func MeasureSteady(members, shards, groups int) (Steady, error) {
	listing, err := listingOf(groups, members, shards, 1)
	if err != nil {
		return Steady{}, err
	}
	nodes := make(map[lagoonlanding.InstanceID]*node)
	var order []*node
	for number := range members {
		self := instanceOf(0, number)
		node := &node{controller: controller.New(controller.Config{
			Self: self, Now: start, Placer: placer.NewRendezvous(), Records: encoder.Records{}, Sets: encoder.Sets{},
		})}
		node.controller.Watched(start, listing, nil)
		nodes[self.ID()] = node
		order = append(order, node)
	}
	runtime.GC()
	calls := 0
	for step := range steadySeconds * 10 {
		now := start.Add(time.Duration(step) * controller.TickInterval)
		if step == 10 {
			calls = 0
			for _, node := range order {
				node.spent, node.answered = 0, 0
			}
		}
		for _, node := range order {
			node.run(func() { node.controller.Tick(now) }, now, nodes, &calls)
		}
	}
	seconds := float64(steadySeconds - 1)
	per := func(index int) time.Duration { return time.Duration(float64(order[index].spent) / seconds) }
	return Steady{
		members: members, shards: shards, groups: groups, coordinator: per(0), witness: per(1), member: per(members - 1),
		renewals: float64(order[1].answered) / seconds, storeCalls: calls,
	}, nil
}

// run handles one event, publishes the snapshot as the control thread does, and carries the messages.
func (node *node) run(handle func(), now time.Time, nodes map[lagoonlanding.InstanceID]*node, calls *int) {
	before := processor()
	handle()
	outbox := node.controller.TakeOutbox()
	_ = node.controller.Snapshot()
	node.spent += processor() - before
	*calls += len(outbox.Swaps()) + len(outbox.Reads())
	for _, renewal := range outbox.Renewals() {
		target, ok := nodes[renewal.To().ID()]
		if !ok {
			continue
		}
		var reply lagoonlanding.RenewReply
		target.answered++
		target.run(func() { reply = target.controller.OnRenew(now, renewal.Request()) }, now, nodes, calls)
		node.run(func() { node.controller.Renewed(now, renewal, reply, nil) }, now, nodes, calls)
	}
	for _, clearance := range outbox.Clearances() {
		target, ok := nodes[clearance.To().ID()]
		if !ok {
			continue
		}
		var reply lagoonlanding.ClearanceReply
		target.run(func() { reply = target.controller.OnClear(now, clearance.Request()) }, now, nodes, calls)
		node.run(func() { node.controller.Cleared(now, clearance, reply, nil) }, now, nodes, calls)
	}
}

func listingOf(groups, members, shards int, version uint64) (lagoonlanding.Listing, error) {
	value, err := encoder.Sets{}.Encode(setOf(steadySet, groups, shards, 0))
	if err != nil {
		return lagoonlanding.Listing{}, fmt.Errorf("encode the set: %w", err)
	}
	entries := []lagoonlanding.Entry{lagoonlanding.NewEntry(lagoonlanding.SetKey, value, 1)}
	for group := range groups {
		_, entry, err := recordOf(group, members, shards, version, uint64(group+2))
		if err != nil {
			return lagoonlanding.Listing{}, err
		}
		entries = append(entries, entry)
	}
	return lagoonlanding.NewListing(entries, uint64(groups+2)), nil
}
