package scheduler

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// agingTerm is the wait that doubles the priority of a request.
const agingTerm = 100 * time.Millisecond

// Priority serves the class with the highest ratio of cost weight to mean service time, raised by the wait.
//
// The ratio is the static priority of Proposition 2.1 of "Optimal Stochastic Scheduling in Multiclass Parallel Queues";
// its growth with the wait, as in the time-function policies of the paper's section 2.4, keeps any class from starving.
type Priority struct {
	classes *Classes
	lines   map[string]*line
}

var _ lagoonlanding.Scheduler = (*Priority)(nil)

// NewPriority returns an empty queue in the order of priorities.
func NewPriority(classes *Classes) *Priority {
	return &Priority{classes: classes, lines: map[string]*line{}}
}

// Add appends a request to those of its class.
func (priority *Priority) Add(waiting lagoonlanding.QueuedRequest) {
	line, ok := priority.lines[waiting.Class()]
	if !ok {
		line = newLine()
		priority.lines[waiting.Class()] = line
	}
	line.push(waiting)
}

// Next removes and returns the oldest request of the class with the highest priority that may start.
func (priority *Priority) Next(now time.Time) (lagoonlanding.QueuedRequest, bool) {
	next, found := lagoonlanding.QueuedRequest{}, false
	highest := 0.0
	for class, line := range priority.lines {
		head, ok := line.head()
		if !ok || !priority.classes.MayStart(class) {
			continue
		}
		index := priority.index(now, head)
		if !found || index > highest || index == highest && head.ID() < next.ID() {
			next, found, highest = head, true, index
		}
	}
	if found {
		priority.Remove(next)
		priority.classes.start(next.Class())
	}
	return next, found
}

// Remove takes out a request that waits no longer.
func (priority *Priority) Remove(waiting lagoonlanding.QueuedRequest) {
	line, ok := priority.lines[waiting.Class()]
	if !ok {
		return
	}
	line.remove(waiting.ID())
	if line.len() == 0 {
		delete(priority.lines, waiting.Class())
	}
}

// Finish notes the service time of the request's class.
func (priority *Priority) Finish(waiting lagoonlanding.QueuedRequest, took time.Duration) {
	priority.classes.finish(waiting.Class(), took)
}

func (priority *Priority) index(now time.Time, waiting lagoonlanding.QueuedRequest) float64 {
	static := float64(waiting.Cost()) / priority.classes.Mean(waiting.Class()).Seconds()
	waited := now.Sub(waiting.Arrived())
	return static * (1 + float64(waited)/float64(agingTerm))
}
