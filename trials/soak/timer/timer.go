package timer

import (
	"container/heap"
	"time"
)

// Timer runs scheduled functions in the order of their times; functions with equal times run in the order of scheduling.
type Timer struct {
	now      time.Duration
	sequence uint64
	queue    queue
}

// New returns a timer at time zero without scheduled functions.
func New() *Timer { return &Timer{} }

// Now returns the simulated time since the start.
func (timer *Timer) Now() time.Duration { return timer.now }

// AfterFunc schedules the function to run after the delay.
func (timer *Timer) AfterFunc(delay time.Duration, run func()) {
	timer.sequence++
	heap.Push(&timer.queue, event{at: timer.now + max(delay, 0), sequence: timer.sequence, run: run})
}

// Advance runs all functions that are due within the duration and moves the time to its end.
func (timer *Timer) Advance(duration time.Duration) {
	end := timer.now + duration
	for len(timer.queue) > 0 && timer.queue[0].at <= end {
		due := heap.Pop(&timer.queue).(event)
		timer.now = due.at
		due.run()
	}
	timer.now = end
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type queue []event

// Len returns the number of scheduled functions.
func (queue queue) Len() int { return len(queue) }

// Less orders by time, then by the order of scheduling.
func (queue queue) Less(i, j int) bool {
	if queue[i].at != queue[j].at {
		return queue[i].at < queue[j].at
	}
	return queue[i].sequence < queue[j].sequence
}

// Swap exchanges two functions.
func (queue queue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push appends a function.
func (queue *queue) Push(value any) { *queue = append(*queue, value.(event)) }

// Pop removes the last function.
func (queue *queue) Pop() any {
	last := len(*queue) - 1
	value := (*queue)[last]
	(*queue)[last] = event{}
	*queue = (*queue)[:last]
	return value
}
