package timer

import (
	"container/heap"
	"time"
)

// Timer runs functions in the order of their times; equal times keep the order of the calls.
type Timer struct {
	now      time.Duration
	sequence uint64
	queue    queue
}

// New returns a timer at its start.
func New() *Timer { return &Timer{} }

// Now returns the time since the start.
func (timer *Timer) Now() time.Duration { return timer.now }

// After runs the function once the delay has passed.
func (timer *Timer) After(delay time.Duration, run func()) {
	timer.sequence++
	heap.Push(&timer.queue, item{at: timer.now + max(delay, 0), sequence: timer.sequence, run: run})
}

// Advance runs everything that is due within the term and moves the time to its end.
func (timer *Timer) Advance(term time.Duration) {
	end := timer.now + term
	for len(timer.queue) > 0 && timer.queue[0].at <= end {
		due := heap.Pop(&timer.queue).(item)
		timer.now = due.at
		due.run()
	}
	timer.now = end
}

type item struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type queue []item

// Len returns the number of waiting functions.
func (queue queue) Len() int { return len(queue) }

// Less orders by time, then by the order of the calls.
func (queue queue) Less(i, j int) bool {
	if queue[i].at != queue[j].at {
		return queue[i].at < queue[j].at
	}
	return queue[i].sequence < queue[j].sequence
}

// Swap exchanges two functions.
func (queue queue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push appends a function.
func (queue *queue) Push(value any) { *queue = append(*queue, value.(item)) }

// Pop removes the last function.
func (queue *queue) Pop() any {
	last := len(*queue) - 1
	value := (*queue)[last]
	(*queue)[last] = item{}
	*queue = (*queue)[:last]
	return value
}
