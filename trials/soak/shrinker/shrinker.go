package shrinker

import (
	"lagoonlanding.example/soak/generator"
)

// Shrink returns a shorter list of events that still fails, after at most the given number of attempts.
//
// It removes smaller and smaller chunks of the list; the remaining events keep their times, so that a removed event leaves a pause.
func Shrink(events []generator.Event, maxAttempts int, fails func([]generator.Event) bool) []generator.Event {
	for size := len(events) / 2; size > 0 && maxAttempts > 0; size /= 2 {
		for from := 0; from < len(events) && maxAttempts > 0; {
			candidate := withoutRange(events, from, min(from+size, len(events)))
			maxAttempts--
			if fails(candidate) {
				events = candidate
				continue
			}
			from += size
		}
	}
	return events
}

// withoutRange removes the events in the range and adds their delays to the event that follows.
func withoutRange(events []generator.Event, from, to int) []generator.Event {
	kept := make([]generator.Event, 0, len(events)-(to-from))
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
