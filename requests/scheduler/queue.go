package scheduler

import (
	"container/list"

	"lagoonlanding.example/lagoonlanding"
)

// queue is a first-in first-out queue that also supports removal by request ID.
type queue struct {
	requests *list.List
	elements map[uint64]*list.Element
}

func newQueue() *queue {
	return &queue{requests: list.New(), elements: map[uint64]*list.Element{}}
}

func (queue *queue) len() int { return queue.requests.Len() }

func (queue *queue) push(queuedrequest lagoonlanding.QueuedRequest) {
	queue.elements[queuedrequest.ID()] = queue.requests.PushBack(queuedrequest)
}

func (queue *queue) head() (lagoonlanding.QueuedRequest, bool) {
	front := queue.requests.Front()
	if front == nil {
		return lagoonlanding.QueuedRequest{}, false
	}
	return front.Value.(lagoonlanding.QueuedRequest), true
}

func (queue *queue) remove(id uint64) {
	if element, ok := queue.elements[id]; ok {
		queue.requests.Remove(element)
		delete(queue.elements, id)
	}
}
