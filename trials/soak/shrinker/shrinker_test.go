package shrinker

import (
	"testing"
	"time"

	"lagoonlanding.example/soak/generator"
)

func TestShrinkKeepsFailingEventsAndTheirTimes(t *testing.T) {
	var events []generator.Event
	for number := range 100 {
		events = append(events, generator.NewEvent(generator.EventConfig{Parameter: number, Delay: time.Second}))
	}
	fails := func(events []generator.Event) bool {
		found := map[int]bool{}
		for _, event := range events {
			found[event.Parameter()] = true
		}
		return found[17] && found[80]
	}
	shrunk := Shrink(events, 1000, fails)
	if len(shrunk) != 2 || shrunk[0].Parameter() != 17 || shrunk[1].Parameter() != 80 {
		t.Fatalf("Shrink returned %v", shrunk)
	}
	if total := shrunk[0].Delay() + shrunk[1].Delay(); total != 81*time.Second {
		t.Errorf("total delay is %v, want 81s", total)
	}
}
