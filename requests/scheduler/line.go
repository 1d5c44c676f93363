package scheduler

import (
	"container/list"

	"lagoonlanding.example/lagoonlanding"
)

// line is a first-in first-out queue from whose middle requests can be removed.
type line struct {
	order    *list.List
	elements map[uint64]*list.Element
}

func newLine() *line {
	return &line{order: list.New(), elements: map[uint64]*list.Element{}}
}

func (line *line) len() int { return line.order.Len() }

func (line *line) push(waiting lagoonlanding.QueuedRequest) {
	line.elements[waiting.ID()] = line.order.PushBack(waiting)
}

func (line *line) head() (lagoonlanding.QueuedRequest, bool) {
	front := line.order.Front()
	if front == nil {
		return lagoonlanding.QueuedRequest{}, false
	}
	return front.Value.(lagoonlanding.QueuedRequest), true
}

func (line *line) remove(id uint64) {
	if element, ok := line.elements[id]; ok {
		line.order.Remove(element)
		delete(line.elements, id)
	}
}
