package scheduler

import (
	"cmp"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Deadline serves the request whose deadline is the earliest.
type Deadline struct {
	waiting []lagoonlanding.QueuedRequest
}

var _ lagoonlanding.Scheduler = (*Deadline)(nil)

// NewDeadline returns an empty queue in the order of deadlines.
func NewDeadline() *Deadline { return &Deadline{} }

// Add inserts a request before those with a later deadline; one without a deadline comes last.
func (deadline *Deadline) Add(waiting lagoonlanding.QueuedRequest) {
	index, _ := slices.BinarySearchFunc(deadline.waiting, waiting, compare)
	deadline.waiting = slices.Insert(deadline.waiting, index, waiting)
}

// Next removes and returns the request with the earliest deadline.
func (deadline *Deadline) Next(time.Time) (lagoonlanding.QueuedRequest, bool) {
	if len(deadline.waiting) == 0 {
		return lagoonlanding.QueuedRequest{}, false
	}
	next := deadline.waiting[0]
	deadline.waiting = slices.Delete(deadline.waiting, 0, 1)
	return next, true
}

// Remove takes out a request that waits no longer.
func (deadline *Deadline) Remove(waiting lagoonlanding.QueuedRequest) {
	if index, ok := slices.BinarySearchFunc(deadline.waiting, waiting, compare); ok {
		deadline.waiting = slices.Delete(deadline.waiting, index, index+1)
	}
}

// Finish does nothing: the order of deadlines needs no service times.
func (deadline *Deadline) Finish(lagoonlanding.QueuedRequest, time.Duration) {}

func compare(a, b lagoonlanding.QueuedRequest) int {
	switch {
	case a.Deadline().IsZero() && !b.Deadline().IsZero():
		return 1
	case b.Deadline().IsZero() && !a.Deadline().IsZero():
		return -1
	}
	if order := a.Deadline().Compare(b.Deadline()); order != 0 {
		return order
	}
	return cmp.Compare(a.ID(), b.ID())
}
