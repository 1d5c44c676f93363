package gatekeeper

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
)

// minReservingSlots is the number of slots from which one may be kept free for urgent tasks.
const minReservingSlots = 4

// reserve decides whether a slot is kept free for urgent tasks.
//
// Load: long tasks fill all slots, and short urgent ones, whose callers fail without them, cannot wait until the first of these ends. That is
// so for some seconds after a loss of power, when backend servers run everything several times slower. While urgent tasks can wait for a slot,
// their place at the head of the queue is enough, and all slots are used.
type reserve struct {
	// patience is how long the latest urgent task could wait for a slot, and seenAt when it arrived.
	patience time.Duration
	seenAt   time.Time
}

// observe records that an urgent task arrived that must start by the given time; a free slot would not help one whose time is up.
func (reserve *reserve) observe(now, startBy time.Time) {
	if patience := startBy.Sub(now); patience > 0 {
		reserve.patience, reserve.seenAt = patience, now
	}
}

// slots returns the number of slots to keep free of tasks that are not urgent, if all slots are expected to free one after the given time.
func (reserve *reserve) slots(now time.Time, total int, untilFree time.Duration) int {
	if total < minReservingSlots || reserve.seenAt.IsZero() || now.Sub(reserve.seenAt) > priorityTTL || untilFree <= reserve.patience {
		return 0
	}
	return 1
}

// hasFreeSlot reports whether a task of the given priority may start now.
func (gate *Gate) hasFreeSlot(now time.Time, priority int) bool {
	if !gate.hasResponded && gate.config.MaxFirst > 0 && gate.running >= gate.config.MaxFirst {
		return false
	}
	if gate.isPaused(now) {
		return false
	}
	return gate.running < gate.slotsFor(now, priority) || gate.mayProbe(now)
}

// slotsFor returns the number of slots that tasks of the given priority may use.
func (gate *Gate) slotsFor(now time.Time, priority int) int {
	if gate.priorities.isUrgent(priority) {
		return gate.openSlots()
	}
	// The ends of the running tasks are assumed to be spread evenly.
	slots := gate.openSlots()
	untilFree := gate.prolonged(gate.meanOfRunning()) / time.Duration(slots+1)
	return slots - gate.reserve.slots(now, slots, untilFree)
}

// countRunning counts a task that starts.
func (gate *Gate) countRunning(task lagoonlanding.Task) {
	gate.running++
	gate.runningRoutes[task.Route()]++
}

// meanOfRunning returns the mean run time of the tasks that run now: long ones are more often among them than among those that arrive.
func (gate *Gate) meanOfRunning() time.Duration {
	if gate.running == 0 {
		return gate.meanRunTimes.overall()
	}
	sum := time.Duration(0)
	for route, count := range gate.runningRoutes {
		sum += time.Duration(count) * gate.meanRunTimes.ofRoute(route)
	}
	return sum / time.Duration(gate.running)
}

// observeUrgent records how long an urgent task can wait for a slot.
func (gate *Gate) observeUrgent(now time.Time, task lagoonlanding.Task) {
	if gate.priorities.isUrgent(task.Priority()) {
		gate.reserve.observe(now, gate.urgentStartBy(task))
	}
}
