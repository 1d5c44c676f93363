package dispatcher

import (
	"context"
	"sync"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/router"
)

// members ends what waits for instances that no group names any more.
type members struct {
	mutex       sync.Mutex
	changes     uint64
	memberships map[lagoonlanding.InstanceID]membership
}

// membership ends when no group names the instance any more.
type membership struct {
	ctx context.Context
	end context.CancelFunc
	// leaving says that the instance leaves in good order and finishes what it runs.
	leaving bool
}

func newMembers() *members {
	return &members{memberships: make(map[lagoonlanding.InstanceID]membership)}
}

// update takes the members of a snapshot and cancels the contexts of all others.
func (members *members) update(snapshot *router.Snapshot) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	if members.changes == snapshot.Changes() {
		return
	}
	members.changes = snapshot.Changes()
	named := make(map[lagoonlanding.InstanceID]bool)
	for _, group := range snapshot.Groups() {
		for _, member := range group.Record().Current().Members() {
			named[member.ID()] = true
			members.note(member)
		}
	}
	for id, membership := range members.memberships {
		if named[id] {
			continue
		}
		delete(members.memberships, id)
		if !membership.leaving {
			membership.end()
		}
	}
}

func (members *members) note(member lagoonlanding.Member) {
	known, ok := members.memberships[member.ID()]
	if !ok {
		known.ctx, known.end = context.WithCancel(context.Background())
	}
	known.leaving = member.State() == lagoonlanding.MemberLeaving
	members.memberships[member.ID()] = known
}

// bind returns a context that also ends with the membership of the instance; release frees it.
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
