package gatekeeper

import "time"

// priorityTTL is how long a priority counts after its last task.
const priorityTTL = 10 * time.Second

// priorities are the priorities of recent tasks, each with the time at which it expires.
type priorities map[int]time.Time

func (priorities priorities) observe(now time.Time, priority int) {
	priorities[priority] = now.Add(priorityTTL)
	for other, until := range priorities {
		if now.After(until) {
			delete(priorities, other)
		}
	}
}

// isUrgent reports whether tasks of a lower priority, which is a higher number, have arrived recently.
func (priorities priorities) isUrgent(priority int) bool {
	for other := range priorities {
		if other > priority {
			return true
		}
	}
	return false
}
