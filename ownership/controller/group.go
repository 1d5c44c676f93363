package controller

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/balancer"
	"lagoonlanding.example/lagoonlanding/ownership/granter"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
	"lagoonlanding.example/lagoonlanding/ownership/holder"
)

// group is the state of one group in which this instance has, wants or had a role.
type group struct {
	id lagoonlanding.GroupID
	// granter is kept once it exists, since members may count on its promises across layouts that do not name it.
	granter *granter.Granter
	holder  *holder.Holder
	tally   *grouper.Tally
	joining map[lagoonlanding.InstanceID]lagoonlanding.Instance
	leaving map[lagoonlanding.InstanceID]bool
	// heard is when each witness last answered.
	heard map[lagoonlanding.InstanceID]time.Time
	// blind are the witnesses that said that they cannot reach the store.
	blind map[lagoonlanding.InstanceID]bool
	ended map[lagoonlanding.InstanceID]bool
	// lapsed are the members whose promises each witness last said to have lapsed.
	lapsed    map[lagoonlanding.InstanceID][]lagoonlanding.InstanceID
	swapping  bool
	nextRenew time.Time
	nextJoin  time.Time
	// nextRebuild is when a member whose lease has lapsed asks again whether the witnesses have ended.
	nextRebuild time.Time
	nextLoads   time.Time
	balancer    *balancer.Balancer
}

func newGroup(id lagoonlanding.GroupID, placer lagoonlanding.Placer) *group {
	return &group{
		id:       id,
		balancer: balancer.New(placer),
		joining:  make(map[lagoonlanding.InstanceID]lagoonlanding.Instance),
		leaving:  make(map[lagoonlanding.InstanceID]bool),
		heard:    make(map[lagoonlanding.InstanceID]time.Time),
		blind:    make(map[lagoonlanding.InstanceID]bool),
		ended:    make(map[lagoonlanding.InstanceID]bool),
		lapsed:   make(map[lagoonlanding.InstanceID][]lagoonlanding.InstanceID),
	}
}

// isWitness reports whether the newest layout names this instance as a witness.
func (group *group) isWitness() bool { return group.granter != nil && group.granter.IsWitness() }

// isAlive reports whether a witness has answered within the promise term and can reach the store.
func (group *group) isAlive(now time.Time, witness lagoonlanding.InstanceID) bool {
	return !group.isSilent(now, witness) && !group.blind[witness]
}

func (group *group) isSilent(now time.Time, witness lagoonlanding.InstanceID) bool {
	return now.After(group.heard[witness].Add(lagoonlanding.PromiseTerm))
}

// noteRecord updates what depends on the newest record.
func (group *group) noteRecord(now time.Time, record lagoonlanding.Record) {
	group.tally = grouper.NewTally(record)
	clear(group.ended)
	clear(group.lapsed)
	for _, witness := range record.Current().Witnesses() {
		if _, ok := group.heard[witness.ID()]; !ok {
			group.heard[witness.ID()] = now
		}
	}
	for id := range group.heard {
		if !record.Current().HasWitness(id) {
			delete(group.heard, id)
			delete(group.blind, id)
		}
	}
	for id := range group.joining {
		if _, ok := record.Current().Member(id); ok {
			delete(group.joining, id)
		}
	}
	for id := range group.leaving {
		_, member := record.Current().Member(id)
		if !member && !record.Current().HasWitness(id) {
			delete(group.leaving, id)
		}
	}
}
