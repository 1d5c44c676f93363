package dispatcher

import (
	"context"
	"sync"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/router"
)

// members ends what waits for instances that no group names any more.
type members struct {
	mutex   sync.Mutex
	changes uint64
	lives   map[lagoonlanding.InstanceID]life
}

// life ends when no group names the instance any more.
type life struct {
	ctx context.Context
	end context.CancelFunc
	// leaving says that the instance leaves in good order and finishes what it runs.
	leaving bool
}

func newMembers() *members {
	return &members{lives: make(map[lagoonlanding.InstanceID]life)}
}

// update takes the members of a snapshot and ends the lives of all others.
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
	for id, life := range members.lives {
		if named[id] {
			continue
		}
		delete(members.lives, id)
		if !life.leaving {
			life.end()
		}
	}
}

func (members *members) note(member lagoonlanding.Member) {
	known, ok := members.lives[member.ID()]
	if !ok {
		known.ctx, known.end = context.WithCancel(context.Background())
	}
	known.leaving = member.State() == lagoonlanding.MemberLeaving
	members.lives[member.ID()] = known
}

// bind returns a context that also ends with the life of the instance; release frees it.
func (members *members) bind(ctx context.Context, id lagoonlanding.InstanceID) (bound context.Context, release func()) {
	members.mutex.Lock()
	life, ok := members.lives[id]
	members.mutex.Unlock()
	if !ok {
		return ctx, func() {}
	}
	bound, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(life.ctx, cancel)
	return bound, func() {
		stop()
		cancel()
	}
}
