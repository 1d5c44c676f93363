package grantor

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

var start = time.Unix(1000, 0)

func newGrantor() *Grantor {
	return New(Config{Daemon: "d", GrantTerm: 7 * time.Second, LongestHold: 6 * time.Second, SlowClock: 0.02, SilentAfter: 5 * time.Second})
}

func announcement(born, sequence int64, held ...lagoonlanding.HeldRange) lagoonlanding.Announcement {
	return lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{Name: "s", StartedMilli: born, Sequence: sequence, State: lagoonlanding.BackendReady, Held: held})
}

func allotmentOf(owner lagoonlanding.BackendID) *allocator.Allotment {
	allotment, _ := allocator.NewAllotment(allocator.AllotmentConfig{Service: "s"}).Plan(allocator.PlanConfig{
		Backends: []lagoonlanding.Backend{lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: owner})},
		IsGone:   func(lagoonlanding.BackendID) bool { return false },
	})
	return allotment
}

func TestOldAnnouncementsAreIgnored(t *testing.T) {
	grantor := newGrantor()
	for _, test := range []struct {
		born, sequence int64
		want           bool
	}{{5, 3, true}, {5, 3, false}, {5, 2, false}, {4, 9, false}, {6, 1, true}, {5, 10, false}, {6, 2, true}} {
		if got := grantor.Announce(start, announcement(test.born, test.sequence)); got != test.want {
			t.Errorf("life %d, announcement %d: got %v", test.born, test.sequence, got)
		}
	}
}

func TestNoGrantOutlastsTheRightToGrant(t *testing.T) {
	grantor := newGrantor()
	grantor.Announce(start, announcement(1, 1))
	allotment := allotmentOf(grantor.ID())
	for late := time.Duration(0); late < 8*time.Second; late += 100 * time.Millisecond {
		order := grantor.Order(start.Add(late), start, allotment)
		if order.ExpiresAt().IsZero() {
			continue
		}
		term := order.ExpiresAt().Sub(start.Add(late))
		if ends := late + time.Duration(float64(term)*1.02); ends > 7*time.Second {
			t.Fatalf("%v after the proof keys are granted until %v", late, ends)
		}
		if term > 6*time.Second {
			t.Fatalf("granted for %v", term)
		}
	}
	if order := grantor.Order(start.Add(7*time.Second), start, allotment); !order.ExpiresAt().IsZero() {
		t.Errorf("granted until %v without the right to", order.ExpiresAt())
	}
}

func TestGrantsOfAnEarlierRunAreWaitedOut(t *testing.T) {
	grantor := newGrantor()
	held := lagoonlanding.NewHeldRange(0, 255, 3, "")
	grantor.Announce(start, announcement(1, 40, held))
	if _, ok := grantor.HasLetGo(start, 0, 255); ok {
		t.Error("keys that the backend server holds count as let go after a restart of the daemon")
	}
	if _, ok := grantor.HasLetGo(start.Add(6*time.Second), 0, 255); ok {
		t.Error("a clock that runs 2% slow is not waited for")
	}
	if _, ok := grantor.HasLetGo(start.Add(6200*time.Millisecond), 0, 255); !ok {
		t.Error("keys are never let go")
	}
}

func TestReleaseIsBelievedWithItsProof(t *testing.T) {
	grantor := newGrantor()
	grantor.Announce(start, announcement(1, 1))
	grantor.Order(start, start, allotmentOf(grantor.ID()))
	grantor.Announce(start, announcement(1, 2, lagoonlanding.NewHeldRange(0, 65535, 1, "")))
	if _, ok := grantor.HasLetGo(start, 0, 255); ok {
		t.Error("held keys count as let go")
	}
	grantor.Order(start, start, allotmentOf(lagoonlanding.NewBackendID("other", "o", 1)))
	released := lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
		Name: "s", StartedMilli: 1, Sequence: 3, Released: []lagoonlanding.HeldRange{lagoonlanding.NewHeldRange(0, 65535, 0, "proof")},
	})
	grantor.Announce(start, released)
	if handover, ok := grantor.HasLetGo(start, 0, 255); !ok || handover != "proof" {
		t.Errorf("got %q, %v", handover, ok)
	}
}

func TestEndedLifeHoldsNothing(t *testing.T) {
	grantor := newGrantor()
	grantor.Announce(start, announcement(1, 1))
	id := grantor.ID()
	grantor.Order(start, start, allotmentOf(id))
	if !grantor.End(id) || grantor.End(id) {
		t.Error("the end was not noted once")
	}
	if grantor.ID() == id || grantor.Holding().Has(start, 7) {
		t.Error("an ended life still holds keys")
	}
	if grantor.Announce(start, announcement(1, 2)) {
		t.Error("an ended life announced itself")
	}
}

func TestKeysOfTheRunBeforeAreServedUntilTheFirstOrder(t *testing.T) {
	grantor := newGrantor()
	grantor.Announce(start, announcement(1, 40, lagoonlanding.NewHeldRange(0, 255, 3, "")))
	if holding := grantor.Holding(); !holding.Has(start, 7) || holding.Has(start, 256) {
		t.Error("a restarted daemon does not serve what its backend server holds")
	}
	grantor.Order(start, start, allotmentOf(lagoonlanding.NewBackendID("other", "o", 1)))
	if grantor.Holding().Has(start, 7) {
		t.Error("keys are served after the order to let go")
	}
	grantor.Announce(start, announcement(2, 1))
	if grantor.Holding().Has(start, 7) {
		t.Error("another life has the keys of the last one")
	}
}
