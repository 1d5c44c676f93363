package dispatcher

import (
	"testing"

	"lagoonlanding.example/lagoonlanding/requests/router"
)

func TestForwardEndsWithTheInstance(t *testing.T) {
	members := newMembers()
	owned := snapshotOf(other, 0, start)
	members.update(router.NewSnapshot(router.SnapshotConfig{Groups: owned.Groups(), Changes: 1}))
	lost, release := members.bind(t.Context(), other.ID())
	defer release()
	members.update(router.NewSnapshot(router.SnapshotConfig{Groups: owned.Groups(), Changes: 2}))
	if lost.Err() != nil {
		t.Error("ended while the group names the instance")
	}
	members.update(router.NewSnapshot(router.SnapshotConfig{Changes: 3}))
	<-lost.Done()
	if t.Context().Err() != nil {
		t.Error("the caller's context ended too")
	}
}
