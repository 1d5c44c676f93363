package dispatcher

import (
	"testing"

	"lagoonlanding.example/lagoonlanding/requests/router"
)

func TestForwardIsCancelledOnMemberRemoval(t *testing.T) {
	members := newMembers()
	snapshot := snapshotOf(other, 0, start)
	members.update(router.NewSnapshot(router.SnapshotConfig{Groups: snapshot.Groups(), Changes: 1}))
	bound, release := members.bind(t.Context(), other.ID())
	defer release()
	members.update(router.NewSnapshot(router.SnapshotConfig{Groups: snapshot.Groups(), Changes: 2}))
	if bound.Err() != nil {
		t.Error("cancelled while the instance is a member")
	}
	members.update(router.NewSnapshot(router.SnapshotConfig{Changes: 3}))
	<-bound.Done()
	if t.Context().Err() != nil {
		t.Error("the caller's context was cancelled too")
	}
}
