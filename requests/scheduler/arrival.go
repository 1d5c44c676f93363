package scheduler

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Arrival serves requests in the order of their arrival.
type Arrival struct {
	line *line
}

var _ lagoonlanding.Scheduler = (*Arrival)(nil)

// NewArrival returns an empty queue in the order of arrival.
func NewArrival() *Arrival { return &Arrival{line: newLine()} }

// Add appends a request.
func (arrival *Arrival) Add(waiting lagoonlanding.QueuedRequest) { arrival.line.push(waiting) }

// Next removes and returns the oldest request.
func (arrival *Arrival) Next(time.Time) (lagoonlanding.QueuedRequest, bool) {
	waiting, ok := arrival.line.head()
	if ok {
		arrival.line.remove(waiting.ID())
	}
	return waiting, ok
}

// Remove takes out a request that waits no longer.
func (arrival *Arrival) Remove(item lagoonlanding.QueuedRequest) { arrival.line.remove(item.ID()) }

// Finish does nothing: the order of arrival needs no service times.
func (arrival *Arrival) Finish(lagoonlanding.QueuedRequest, time.Duration) {}
