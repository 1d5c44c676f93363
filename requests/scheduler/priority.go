package scheduler

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// agingPeriod is the wait after which the priority of a request has doubled.
const agingPeriod = 100 * time.Millisecond

// Priority serves the class with the highest ratio of cost to mean service time first, and raises the priority with the wait.
//
// The ratio is the static priority of Proposition 2.1 of "Optimal Stochastic Scheduling in Multiclass Parallel Queues";
// its growth with the wait, as in the time-function policies of the paper's section 2.4, prevents starvation.
type Priority struct {
	classes *Classes
	queues  map[string]*queue
}

var _ lagoonlanding.Scheduler = (*Priority)(nil)

// NewPriority returns an empty priority scheduler.
func NewPriority(classes *Classes) *Priority {
	return &Priority{classes: classes, queues: map[string]*queue{}}
}

// Add queues a request for its class.
func (priority *Priority) Add(queuedrequest lagoonlanding.QueuedRequest) {
	queue, ok := priority.queues[queuedrequest.Class()]
	if !ok {
		queue = newQueue()
		priority.queues[queuedrequest.Class()] = queue
	}
	queue.push(queuedrequest)
}

// Next removes and returns the oldest request of the class with the highest priority among those that may start.
func (priority *Priority) Next(now time.Time) (lagoonlanding.QueuedRequest, bool) {
	next, found := lagoonlanding.QueuedRequest{}, false
	highest := 0.0
	for class, queue := range priority.queues {
		head, ok := queue.head()
		if !ok || !priority.classes.MayStart(class) {
			continue
		}
		value := priority.valueOf(now, head)
		if !found || value > highest || value == highest && head.ID() < next.ID() {
			next, found, highest = head, true, value
		}
	}
	if found {
		priority.Remove(next)
		priority.classes.start(next.Class())
	}
	return next, found
}

// Remove removes a request from the queue.
func (priority *Priority) Remove(queuedrequest lagoonlanding.QueuedRequest) {
	queue, ok := priority.queues[queuedrequest.Class()]
	if !ok {
		return
	}
	queue.remove(queuedrequest.ID())
	if queue.len() == 0 {
		delete(priority.queues, queuedrequest.Class())
	}
}

// Finish records the service time for the request's class.
func (priority *Priority) Finish(queuedrequest lagoonlanding.QueuedRequest, took time.Duration) {
	priority.classes.finish(queuedrequest.Class(), took)
}

func (priority *Priority) valueOf(now time.Time, queuedrequest lagoonlanding.QueuedRequest) float64 {
	static := float64(queuedrequest.Cost()) / priority.classes.Mean(queuedrequest.Class()).Seconds()
	wait := now.Sub(queuedrequest.Arrived())
	return static * (1 + float64(wait)/float64(agingPeriod))
}
