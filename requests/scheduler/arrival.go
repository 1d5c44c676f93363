package scheduler

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// FIFO serves requests in the order of their arrival.
type Arrival struct {
	queue *queue
}

var _ lagoonlanding.Scheduler = (*Arrival)(nil)

// NewFIFO returns an empty first-in first-out scheduler.
func NewArrival() *Arrival { return &Arrival{queue: newQueue()} }

// Add queues a request.
func (fifo *Arrival) Add(queuedrequest lagoonlanding.QueuedRequest) { fifo.queue.push(queuedrequest) }

// Next removes and returns the oldest request.
func (fifo *Arrival) Next(time.Time) (lagoonlanding.QueuedRequest, bool) {
	queuedrequest, ok := fifo.queue.head()
	if ok {
		fifo.queue.remove(queuedrequest.ID())
	}
	return queuedrequest, ok
}

// Remove removes a request from the queue.
func (fifo *Arrival) Remove(item lagoonlanding.QueuedRequest) { fifo.queue.remove(item.ID()) }

// Finish does nothing, since the policy does not depend on service times.
func (fifo *Arrival) Finish(lagoonlanding.QueuedRequest, time.Duration) {}
