package coordinator

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

func TestRetryDelayGrowsUntilTheStoreAnswers(t *testing.T) {
	coordinator := &Coordinator{}
	total := time.Duration(0)
	for range 8 {
		total += coordinator.retryDelay(lagoonlanding.ErrUnavailable)
	}
	if total < 9*time.Second {
		t.Errorf("eight writes within %v", total)
	}
	coordinator.nextWriteAt = time.Unix(2000, 0)
	if coordinator.storeAnswered(); !coordinator.nextWriteAt.IsZero() {
		t.Error("the write is still delayed after the store answered")
	}
	if delay := coordinator.retryDelay(lagoonlanding.ErrConflict); delay != minRetryDelay {
		t.Errorf("the delay after a conflict is %v", delay)
	}
}

func TestConflictErrorUpdatesTheAllotment(t *testing.T) {
	start := time.Unix(1000, 0)
	coordinator := newCoordinator(start, &recordingGate{}, true)
	newer := allocator.NewAllotment(allocator.AllotmentConfig{Service: "s", Version: 9})
	value, err := allocator.Codec{}.Encode(newer)
	if err != nil {
		t.Fatal(err)
	}
	key := allotmentPrefix + "s"
	write := Write{kind: allotmentKind, put: lagoonlanding.NewPut(key, nil, 0), expected: 40}
	coordinator.WriteDone(start, write, 0, lagoonlanding.NewConflictError([]lagoonlanding.Entry{lagoonlanding.NewEntry(key, value, 41)}))
	if known := coordinator.allotments["s"]; known.revision != 41 || known.allotment.Version() != 9 {
		t.Errorf("revision %d is known after the conflict", known.revision)
	}
	if delay := coordinator.nextWriteAt.Sub(start); delay != 0 {
		t.Errorf("the delay of the next write is %v", delay)
	}
	// A conflict over a required absence contains no newer allotment, and neither does one without entries: both wait for the view.
	for _, conflict := range []error{lagoonlanding.ErrConflict, lagoonlanding.NewConflictError([]lagoonlanding.Entry{lagoonlanding.NewEntry(key, value, 41)})} {
		write.expected = 41
		coordinator.WriteDone(start, write, 0, conflict)
		if delay := coordinator.nextWriteAt.Sub(start); delay != minRetryDelay {
			t.Errorf("%v: the delay of the next write is %v", conflict, delay)
		}
	}
}
