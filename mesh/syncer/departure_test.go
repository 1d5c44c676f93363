package syncer

import (
	"testing"
	"testing/synctest"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// TestLeavingIsAcknowledgedOnlyOnceTheStoreHoldsIt guards against an acknowledgement that the daemon forgets when it is restarted.
func TestLeavingIsAcknowledgedOnlyOnceTheStoreHoldsIt(t *testing.T) {
	leavings := map[string]func(t *testing.T, syncer *Syncer) bool{
		"deregistration": func(t *testing.T, syncer *Syncer) bool {
			return syncer.Deregister(t.Context(), "server", 1, syncer.config.Clock.Now())
		},
		"announcement": func(t *testing.T, syncer *Syncer) bool {
			return announceAs(t, syncer, lagoonlanding.BackendDraining)
		},
	}
	for name, leave := range leavings {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newCountingStore()
				syncer := newSyncer(store)
				run(t, syncer)
				time.Sleep(time.Second)
				if !announceAs(t, syncer, lagoonlanding.BackendReady) {
					t.Fatal("a ready backend server is not acknowledged")
				}
				time.Sleep(time.Second)
				store.setDown(true)
				asked := time.Now()
				if leave(t, syncer) {
					t.Error("the leaving is acknowledged while the store does not answer")
				}
				if took := time.Since(asked); took > time.Second {
					t.Errorf("the backend server waited %v for the answer, which counts for a second", took)
				}
				if !announceAs(t, syncer, lagoonlanding.BackendReady) {
					t.Error("a ready backend server is not acknowledged while the store does not answer")
				}
				store.setDown(false)
				time.Sleep(3 * time.Second)
				before := store.counts()
				if !leave(t, syncer) {
					t.Error("the leaving is not acknowledged though the store holds it")
				}
				if after := store.counts(); after["commit"] != before["commit"] {
					t.Error("the departure was written again")
				}
			})
		})
	}
}

// announceAs passes an announcement of a state, with the next sequence number.
func announceAs(t *testing.T, syncer *Syncer, state lagoonlanding.BackendState) bool {
	time.Sleep(time.Millisecond)
	now := syncer.config.Clock.Now()
	_, ok := syncer.Announce(t.Context(), lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
		Name: "server", StartedMilli: 1, Sequence: now.UnixNano(), State: state, Slots: 6, Received: now,
	}))
	return ok
}
