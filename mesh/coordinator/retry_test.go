package coordinator

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/allocator"
)

func TestWritesToAStoreThatDoesNotAnswerAreRetriedSeldomUntilItDoes(t *testing.T) {
	coordinator := &Coordinator{}
	pauses := time.Duration(0)
	for range 8 {
		pauses += coordinator.nextRetry(lagoonlanding.ErrUnavailable)
	}
	if pauses < 9*time.Second {
		t.Errorf("eight writes within %v", pauses)
	}
	coordinator.writeAt = time.Unix(2000, 0)
	if coordinator.answered(); !coordinator.writeAt.IsZero() {
		t.Error("a store that answers again is still waited for")
	}
	if pause := coordinator.nextRetry(lagoonlanding.ErrConflict); pause != retryTerm {
		t.Errorf("a write that another one preceded waits %v", pause)
	}
}

func TestConflictTellsWhatToWriteOnTopOf(t *testing.T) {
	start := time.Unix(1000, 0)
	coordinator := newDraining(start, &recordingGate{}, true)
	newer := allocator.NewAllotment(allocator.AllotmentConfig{Service: "s", Version: 9})
	value, err := allocator.Codec{}.Encode(newer)
	if err != nil {
		t.Fatal(err)
	}
	key := allotmentPrefix + "s"
	write := Write{kind: allotment, put: lagoonlanding.NewPut(key, nil, 0), expected: 40}
	coordinator.Wrote(start, write, 0, lagoonlanding.NewConflictError([]lagoonlanding.Entry{lagoonlanding.NewEntry(key, value, 41)}))
	if known := coordinator.allotments["s"]; known.revision != 41 || known.allotment.Version() != 9 {
		t.Errorf("revision %d is known after the conflict", known.revision)
	}
	if pause := coordinator.writeAt.Sub(start); pause < 0 || pause > spreadTerm {
		t.Errorf("the next write waits %v", pause)
	}
	// A conflict over the absence of a daemon tells nothing new, and one without a word must be waited out.
	for _, conflict := range []error{lagoonlanding.ErrConflict, lagoonlanding.NewConflictError([]lagoonlanding.Entry{lagoonlanding.NewEntry(key, value, 41)})} {
		write.expected = 41
		coordinator.Wrote(start, write, 0, conflict)
		if pause := coordinator.writeAt.Sub(start); pause != retryTerm {
			t.Errorf("%v: the next write waits %v", conflict, pause)
		}
	}
}
