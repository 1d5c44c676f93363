package shrinker

import (
	"lagoonlanding.example/soak/drawer"
)

// Shrink returns a shorter list of events that still fails, after at most the given number of tries.
//
// It drops ever smaller parts of the list; the rest keeps its times, so that a dropped event leaves a pause.
func Shrink(events []drawer.Event, tries int, fails func([]drawer.Event) bool) []drawer.Event {
	for size := len(events) / 2; size > 0 && tries > 0; size /= 2 {
		for from := 0; from < len(events) && tries > 0; {
			candidate := without(events, from, min(from+size, len(events)))
			tries--
			if fails(candidate) {
				events = candidate
				continue
			}
			from += size
		}
	}
	return events
}

// without drops the events in the range and adds their time to the event that follows.
func without(events []drawer.Event, from, to int) []drawer.Event {
	kept := make([]drawer.Event, 0, len(events)-(to-from))
	kept = append(kept, events[:from]...)
	for i, event := range events[to:] {
		if i == 0 {
			for _, dropped := range events[from:to] {
				event = event.DelayedBy(dropped.Delay())
			}
		}
		kept = append(kept, event)
	}
	return kept
}
