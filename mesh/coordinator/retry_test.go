package coordinator

import (
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding"
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
