package scheduler

import (
	"cmp"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// Deadline serves the request with the earliest deadline first.
type Deadline struct {
	queue []lagoonlanding.QueuedRequest
}

var _ lagoonlanding.Scheduler = (*Deadline)(nil)

// NewDeadline returns an empty earliest-deadline-first scheduler.
func NewDeadline() *Deadline { return &Deadline{} }

// Add queues a request; requests without a deadline come last.
func (deadline *Deadline) Add(queuedrequest lagoonlanding.QueuedRequest) {
	index, _ := slices.BinarySearchFunc(deadline.queue, queuedrequest, compareDeadlines)
	deadline.queue = slices.Insert(deadline.queue, index, queuedrequest)
}

// Next removes and returns the request with the earliest deadline.
func (deadline *Deadline) Next(time.Time) (lagoonlanding.QueuedRequest, bool) {
	if len(deadline.queue) == 0 {
		return lagoonlanding.QueuedRequest{}, false
	}
	next := deadline.queue[0]
	deadline.queue = slices.Delete(deadline.queue, 0, 1)
	return next, true
}

// Remove removes a request from the queue.
func (deadline *Deadline) Remove(queuedrequest lagoonlanding.QueuedRequest) {
	if index, ok := slices.BinarySearchFunc(deadline.queue, queuedrequest, compareDeadlines); ok {
		deadline.queue = slices.Delete(deadline.queue, index, index+1)
	}
}

// Finish does nothing, since the policy does not depend on service times.
func (deadline *Deadline) Finish(lagoonlanding.QueuedRequest, time.Duration) {}

func compareDeadlines(a, b lagoonlanding.QueuedRequest) int {
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
