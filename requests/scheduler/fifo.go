package scheduler

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// FIFO serves requests in the order of their arrival.
type FIFO struct {
	queue *queue
}

var _ lagoonlanding.Scheduler = (*FIFO)(nil)

// NewFIFO returns an empty first-in first-out scheduler.
func NewFIFO() *FIFO { return &FIFO{queue: newQueue()} }

// Add queues a request.
func (fifo *FIFO) Add(queuedrequest lagoonlanding.QueuedRequest) { fifo.queue.push(queuedrequest) }

// Next removes and returns the oldest request.
func (fifo *FIFO) Next(time.Time) (lagoonlanding.QueuedRequest, bool) {
	queuedrequest, ok := fifo.queue.head()
	if ok {
		fifo.queue.remove(queuedrequest.ID())
	}
	return queuedrequest, ok
}

// Remove removes a request from the queue.
func (fifo *FIFO) Remove(item lagoonlanding.QueuedRequest) { fifo.queue.remove(item.ID()) }

// Finish does nothing, since the policy does not depend on service times.
func (fifo *FIFO) Finish(lagoonlanding.QueuedRequest, time.Duration) {}
