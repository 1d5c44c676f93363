package controller

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/ownership/balancer"
	"lagoonlanding.example/lagoonlanding/ownership/granter"
	"lagoonlanding.example/lagoonlanding/ownership/grouper"
	"lagoonlanding.example/lagoonlanding/ownership/holder"
)

// group is the state of a group in which this instance has, requests or had a role.
type group struct {
	id lagoonlanding.GroupID
	// granter is never discarded, since members may rely on its promises while other layouts do not list it as a witness.
	granter *granter.Granter
	holder  *holder.Holder
	tally   *grouper.Tally
	joining map[lagoonlanding.InstanceID]lagoonlanding.Instance
	leaving map[lagoonlanding.InstanceID]bool
	// lastReplies holds the time of each witness's last reply.
	lastReplies map[lagoonlanding.InstanceID]time.Time
	// disconnected are the witnesses that reported the store as unreachable.
	disconnected map[lagoonlanding.InstanceID]bool
	terminated   map[lagoonlanding.InstanceID]bool
	// expired are the members whose promises have expired according to each witness's last reply.
	expired     map[lagoonlanding.InstanceID][]lagoonlanding.InstanceID
	swapPending bool
	nextRenew   time.Time
	// nextJoin is when the next request to join or leave is due.
	nextJoin time.Time
	// nextRebuild is when a member whose lease has expired next asks whether the witnesses have terminated.
	nextRebuild    time.Time
	nextLoadReport time.Time
	balancer       *balancer.Balancer
}

func newGroup(id lagoonlanding.GroupID, placer lagoonlanding.Placer) *group {
	return &group{
		id:           id,
		balancer:     balancer.New(placer),
		joining:      make(map[lagoonlanding.InstanceID]lagoonlanding.Instance),
		leaving:      make(map[lagoonlanding.InstanceID]bool),
		lastReplies:  make(map[lagoonlanding.InstanceID]time.Time),
		disconnected: make(map[lagoonlanding.InstanceID]bool),
		terminated:   make(map[lagoonlanding.InstanceID]bool),
		expired:      make(map[lagoonlanding.InstanceID][]lagoonlanding.InstanceID),
	}
}

// isWitness reports whether this instance is a witness of the newest layout.
func (group *group) isWitness() bool { return group.granter != nil && group.granter.IsWitness() }

// isAvailable reports whether a witness has replied within the promise term and can reach the store.
func (group *group) isAvailable(now time.Time, witness lagoonlanding.InstanceID) bool {
	return !group.isUnresponsive(now, witness) && !group.disconnected[witness]
}

func (group *group) isUnresponsive(now time.Time, witness lagoonlanding.InstanceID) bool {
	return now.After(group.lastReplies[witness].Add(lagoonlanding.PromiseTerm))
}

// resetForRecord resets the state that depends on the newest record.
func (group *group) resetForRecord(now time.Time, record lagoonlanding.Record) {
	group.tally = grouper.NewTally(record)
	clear(group.terminated)
	clear(group.expired)
	for _, witness := range record.Current().Witnesses() {
		if _, ok := group.lastReplies[witness.ID()]; !ok {
			group.lastReplies[witness.ID()] = now
		}
	}
	for id := range group.lastReplies {
		if !record.Current().HasWitness(id) {
			delete(group.lastReplies, id)
			delete(group.disconnected, id)
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
