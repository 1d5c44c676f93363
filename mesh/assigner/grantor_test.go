package assigner

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

var start = time.Unix(1000, 0)

func newGrantor() *Grantor {
	return New(Config{Daemon: "d", GrantTerm: 7 * time.Second, MaxAssignmentTerm: 6 * time.Second, MaxClockDrift: 0.02, SilentAfter: 5 * time.Second})
}

func announcement(startedMilli, sequence int64, held ...lagoonlanding.HeldRange) lagoonlanding.Announcement {
	return lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{Name: "s", StartedMilli: startedMilli, Sequence: sequence, State: lagoonlanding.BackendReady, Held: held})
}

// allotmentOf returns an allotment in which one process owns all keys.
func allotmentOf(owner lagoonlanding.BackendID) *allocator.Allotment {
	allotment, _ := allocator.NewAllotment(allocator.AllotmentConfig{Service: "s"}).Plan(allocator.PlanConfig{
		Backends:  []lagoonlanding.Backend{lagoonlanding.NewBackend(lagoonlanding.BackendConfig{ID: owner})},
		IsExpired: func(lagoonlanding.BackendID) bool { return false },
	})
	return allotment
}

func TestOldAnnouncementsAreIgnored(t *testing.T) {
	grantor := newGrantor()
	for _, test := range []struct {
		startedMilli, sequence int64
		want                   bool
	}{{5, 3, true}, {5, 3, false}, {5, 2, false}, {4, 9, false}, {6, 1, true}, {5, 10, false}, {6, 2, true}} {
		if got := grantor.Announce(start, announcement(test.startedMilli, test.sequence)); got != test.want {
			t.Errorf("process %d, announcement %d: got %v", test.startedMilli, test.sequence, got)
		}
	}
}

func TestNoAssignmentOutlastsTheRightToGrant(t *testing.T) {
	grantor := newGrantor()
	grantor.Announce(start, announcement(1, 1))
	allotment := allotmentOf(grantor.ID())
	for late := time.Duration(0); late < 8*time.Second; late += 100 * time.Millisecond {
		assignment := grantor.Assign(start.Add(late), start, allotment)
		if assignment.ExpiresAt().IsZero() {
			continue
		}
		term := assignment.ExpiresAt().Sub(start.Add(late))
		if expiry := late + time.Duration(float64(term)*1.02); expiry > 7*time.Second {
			t.Fatalf("%v after the verification keys are granted until %v", late, expiry)
		}
		if term > 6*time.Second {
			t.Fatalf("keys are granted for %v", term)
		}
	}
	if assignment := grantor.Assign(start.Add(7*time.Second), start, allotment); !assignment.ExpiresAt().IsZero() {
		t.Errorf("keys are granted until %v after the right to grant has expired", assignment.ExpiresAt())
	}
}

func TestGrantsFromBeforeARestartOfTheDaemonAreWaitedOut(t *testing.T) {
	grantor := newGrantor()
	held := lagoonlanding.NewHeldRange(0, 255, 3, "")
	grantor.Announce(start, announcement(1, 40, held))
	if _, ok := grantor.HasReleased(start, 0, 255); ok {
		t.Error("keys that the backend server owns count as released after a restart of the daemon")
	}
	if _, ok := grantor.HasReleased(start.Add(6*time.Second), 0, 255); ok {
		t.Error("keys count as released before a clock that runs 2% slow reaches the expiry")
	}
	if _, ok := grantor.HasReleased(start.Add(6200*time.Millisecond), 0, 255); !ok {
		t.Error("keys do not count as released after the expiry")
	}
}

func TestReleaseReturnsItsHandover(t *testing.T) {
	grantor := newGrantor()
	grantor.Announce(start, announcement(1, 1))
	grantor.Assign(start, start, allotmentOf(grantor.ID()))
	grantor.Announce(start, announcement(1, 2, lagoonlanding.NewHeldRange(0, 65535, 1, "")))
	if _, ok := grantor.HasReleased(start, 0, 255); ok {
		t.Error("owned keys count as released")
	}
	grantor.Assign(start, start, allotmentOf(lagoonlanding.NewBackendID("other", "o", 1)))
	released := lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
		Name: "s", StartedMilli: 1, Sequence: 3, Released: []lagoonlanding.HeldRange{lagoonlanding.NewHeldRange(0, 65535, 0, "proof")},
	})
	grantor.Announce(start, released)
	if handover, ok := grantor.HasReleased(start, 0, 255); !ok || handover != "proof" {
		t.Errorf("got %q, %v", handover, ok)
	}
}

func TestEndedProcessOwnsNothing(t *testing.T) {
	grantor := newGrantor()
	grantor.Announce(start, announcement(1, 1))
	id := grantor.ID()
	grantor.Assign(start, start, allotmentOf(id))
	if !grantor.End(id) || grantor.End(id) {
		t.Error("the end of the process was not recorded exactly once")
	}
	if grantor.ID() == id || grantor.Ownership().Has(start, 7) {
		t.Error("an ended process still owns keys")
	}
	if grantor.Announce(start, announcement(1, 2)) {
		t.Error("an announcement of an ended process was accepted")
	}
}

func TestRestartedDaemonServesReportedKeysUntilTheFirstAssignment(t *testing.T) {
	grantor := newGrantor()
	grantor.Announce(start, announcement(1, 40, lagoonlanding.NewHeldRange(0, 255, 3, "")))
	if ownership := grantor.Ownership(); !ownership.Has(start, 7) || ownership.Has(start, 256) {
		t.Error("a restarted daemon does not serve the keys that its backend server reports")
	}
	grantor.Assign(start, start, allotmentOf(lagoonlanding.NewBackendID("other", "o", 1)))
	if grantor.Ownership().Has(start, 7) {
		t.Error("keys are served after an assignment without them")
	}
	grantor.Announce(start, announcement(2, 1))
	if grantor.Ownership().Has(start, 7) {
		t.Error("a new process owns the keys of the previous one")
	}
}
