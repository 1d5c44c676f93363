package assigner

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

var start = time.Unix(1000, 0)

func newAssigner() *Assigner {
	return New(Config{Daemon: "d", VerificationTerm: 7 * time.Second, MaxAssignmentTerm: 6 * time.Second, MaxClockDrift: 0.02, FailAfter: 5 * time.Second})
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
	assigner := newAssigner()
	for _, test := range []struct {
		startedMilli, sequence int64
		want                   bool
	}{{5, 3, true}, {5, 3, false}, {5, 2, false}, {4, 9, false}, {6, 1, true}, {5, 10, false}, {6, 2, true}} {
		if got := assigner.Announce(start, announcement(test.startedMilli, test.sequence)); got != test.want {
			t.Errorf("process %d, announcement %d: got %v", test.startedMilli, test.sequence, got)
		}
	}
}

func TestNoAssignmentOutlastsTheRightToAssign(t *testing.T) {
	assigner := newAssigner()
	assigner.Announce(start, announcement(1, 1))
	allotment := allotmentOf(assigner.ID())
	for late := time.Duration(0); late < 8*time.Second; late += 100 * time.Millisecond {
		assignment := assigner.Assign(start.Add(late), start, allotment)
		if assignment.ExpiresAt().IsZero() {
			continue
		}
		term := assignment.ExpiresAt().Sub(start.Add(late))
		if expiry := late + time.Duration(float64(term)*1.02); expiry > 7*time.Second {
			t.Fatalf("%v after the verification keys are assigned until %v", late, expiry)
		}
		if term > 6*time.Second {
			t.Fatalf("keys are assigned for %v", term)
		}
	}
	if assignment := assigner.Assign(start.Add(7*time.Second), start, allotment); !assignment.ExpiresAt().IsZero() {
		t.Errorf("keys are assigned until %v after the right to assign has expired", assignment.ExpiresAt())
	}
}

func TestAssignmentsFromBeforeARestartOfTheDaemonAreWaitedOut(t *testing.T) {
	assigner := newAssigner()
	held := lagoonlanding.NewHeldRange(0, 255, 3, "")
	assigner.Announce(start, announcement(1, 40, held))
	if _, ok := assigner.HasReleased(start, 0, 255); ok {
		t.Error("keys that the backend server owns count as released after a restart of the daemon")
	}
	if _, ok := assigner.HasReleased(start.Add(6*time.Second), 0, 255); ok {
		t.Error("keys count as released before a clock that runs 2% slow reaches the expiry")
	}
	if _, ok := assigner.HasReleased(start.Add(6200*time.Millisecond), 0, 255); !ok {
		t.Error("keys do not count as released after the expiry")
	}
}

func TestReleaseReturnsItsHandover(t *testing.T) {
	assigner := newAssigner()
	assigner.Announce(start, announcement(1, 1))
	assigner.Assign(start, start, allotmentOf(assigner.ID()))
	assigner.Announce(start, announcement(1, 2, lagoonlanding.NewHeldRange(0, 65535, 1, "")))
	if _, ok := assigner.HasReleased(start, 0, 255); ok {
		t.Error("owned keys count as released")
	}
	assigner.Assign(start, start, allotmentOf(lagoonlanding.NewBackendID("other", "o", 1)))
	released := lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
		Name: "s", StartedMilli: 1, Sequence: 3, Released: []lagoonlanding.HeldRange{lagoonlanding.NewHeldRange(0, 65535, 0, "proof")},
	})
	assigner.Announce(start, released)
	if handover, ok := assigner.HasReleased(start, 0, 255); !ok || handover != "proof" {
		t.Errorf("got %q, %v", handover, ok)
	}
}

func TestEndedProcessOwnsNothing(t *testing.T) {
	assigner := newAssigner()
	assigner.Announce(start, announcement(1, 1))
	id := assigner.ID()
	assigner.Assign(start, start, allotmentOf(id))
	if !assigner.End(id) || assigner.End(id) {
		t.Error("the end of the process was not recorded exactly once")
	}
	if assigner.ID() == id || assigner.Ownership().Has(start, 7) {
		t.Error("an ended process still owns keys")
	}
	if assigner.Announce(start, announcement(1, 2)) {
		t.Error("an announcement of an ended process was accepted")
	}
}

func TestRestartedDaemonServesReportedKeysUntilTheFirstAssignment(t *testing.T) {
	assigner := newAssigner()
	assigner.Announce(start, announcement(1, 40, lagoonlanding.NewHeldRange(0, 255, 3, "")))
	if ownership := assigner.Ownership(); !ownership.Has(start, 7) || ownership.Has(start, 256) {
		t.Error("a restarted daemon does not serve the keys that its backend server reports")
	}
	assigner.Assign(start, start, allotmentOf(lagoonlanding.NewBackendID("other", "o", 1)))
	if assigner.Ownership().Has(start, 7) {
		t.Error("keys are served after an assignment without them")
	}
	assigner.Announce(start, announcement(2, 1))
	if assigner.Ownership().Has(start, 7) {
		t.Error("a new process owns the keys of the previous one")
	}
}

// TestDelayedAnnouncementAfterARestartReleasesNoKeys guards against two owners of a key: an announcement from before an assignment reaches the next
// process of the daemon, which must not take the assigned keys for released.
func TestDelayedAnnouncementAfterARestartReleasesNoKeys(t *testing.T) {
	config := newAssigner().config
	config.StartedAt = start
	assigner := New(config)
	assigner.Announce(start, lagoonlanding.NewAnnouncement(lagoonlanding.AnnouncementConfig{
		Name: "s", StartedMilli: 1, Sequence: 7, Released: []lagoonlanding.HeldRange{lagoonlanding.NewHeldRange(0, 255, 0, "proof")},
	}))
	for first, name := range map[int]string{0: "keys that it says it has released", 256: "keys that it doesn't name"} {
		if _, ok := assigner.HasReleased(start.Add(6*time.Second), first, first+255); ok {
			t.Errorf("%s count as released while assignments of the earlier process may be in force", name)
		}
		if _, ok := assigner.HasReleased(start.Add(6200*time.Millisecond), first, first+255); !ok {
			t.Errorf("%s do not count as released after the expiry", name)
		}
	}
}
