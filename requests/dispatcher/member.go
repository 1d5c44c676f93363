package dispatcher

import (
	"context"
	"sync"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// members cancels requests that were forwarded to instances which are no longer members of any group.
type members struct {
	mutex       sync.Mutex
	changes     uint64
	memberships map[lagoonlanding.InstanceID]membership
}

// membership is the state of one instance that is a member of some group.
type membership struct {
	ctx    context.Context
	cancel context.CancelFunc
	// leaving means that the instance shuts down gracefully and finishes its requests, which are therefore not cancelled.
	leaving bool
}

func newMembers() *members {
	return &members{memberships: make(map[lagoonlanding.InstanceID]membership)}
}

// update applies the members of a snapshot and cancels the contexts of instances that were removed without leaving first.
func (members *members) update(snapshot *router.Snapshot) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if members.changes == snapshot.Changes() {
		return
	}
	members.changes = snapshot.Changes()
	present := make(map[lagoonlanding.InstanceID]bool)
	for _, group := range snapshot.Groups() {
		for _, member := range group.Record().Current().Members() {
			present[member.ID()] = true
			members.add(member)
		}
	}
	for id, membership := range members.memberships {
		if present[id] {
			continue
		}
		delete(members.memberships, id)
		if !membership.leaving {
			membership.cancel()
		}
	}
}

// add creates or updates the membership of a member.
func (members *members) add(member lagoonlanding.Member) {
	known, ok := members.memberships[member.ID()]
	if !ok {
		known.ctx, known.cancel = context.WithCancel(context.Background())
	}
	known.leaving = member.State() == lagoonlanding.MemberLeaving
	members.memberships[member.ID()] = known
}

// bind returns a context that also ends with the membership of the instance; release must be called to free it.
func (members *members) bind(ctx context.Context, id lagoonlanding.InstanceID) (bound context.Context, release func()) {
	members.mutex.Lock()
	membership, ok := members.memberships[id]
	members.mutex.Unlock()
	if !ok {
		return ctx, func() {}
	}
	bound, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(membership.ctx, cancel)
	return bound, func() {
		stop()
		cancel()
	}
}
