package gatekeeper

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/mesh/admitter"
)

const (
	// workHalfLife is the age at which arrived work has half its weight in the utilization.
	workHalfLife = 800 * time.Millisecond
	// fullUtilization is the utilization by arriving tasks from which late tasks are refused: what is left completes none before its deadline.
	fullUtilization = 0.95
	// oldestShare is the share of the work that goes to the task that has waited longest, so that no priority and no caller starves.
	oldestShare = 0.1
	// shortShare is the ratio of run times below which a late task keeps its place: it takes less than half the time of one of the others, so it
	// cannot displace two. Calls are such tasks, and the request that made the call fails without it.
	shortShare = 0.5
	// weightBase is the ratio of two weights that are treated as different.
	weightBase = 4
	// quickFailure is the part of the usual run time within which a failed task counts as refused.
	quickFailure = 0.5
	// maxWeight bounds the weights of tasks.
	maxWeight = 16
	// maxCredit bounds what the longest waiting task can earn: the run time of one long task.
	maxCredit = 2 * time.Second
	// minRunTimeReserve and maxRunTimeReserve are the multiples of the mean run time that are left before the objective while no task is refused
	// and from scarceRefusals refused tasks in each on. With log-normal run times of a spread of 0.65 they let 74 and 92 in 100 tasks end in time.
	minRunTimeReserve, maxRunTimeReserve = 1.25, 2
	scarceRefusals                       = 0.25
	// minFactor is the lowest slowdown by which a run time is divided.
	minFactor = 0.1
)

// overload is the state of the overload control of a gate.
//
// Load: for minutes up to several times as many tasks as the backend server completes, on a machine whose speed changes within a second.
type overload struct {
	slowdown    slowdown
	concurrency concurrency
	leveler     *admitter.Leveler
	throttle    throttle
	// reported is the number of slots in the last report of the backend server, zero before the first.
	reported int
	// work is the decayed run time in seconds of the tasks that have arrived, and workAt when it was decayed. If it counted those that started,
	// late tasks would take the slots of tasks in time and so seem to leave room.
	work   float64
	workAt time.Time
	// credit is the run time in seconds that the longest waiting task has earned.
	credit float64
	// late, throttled and cuts count the tasks that became late, the tasks of failing routes that were refused, and the cuts of the concurrency.
	late, throttled, cuts int64
	// recent is the decayed ratio of measured to expected run times.
	recent float64
}

func newOverload() *overload {
	return &overload{leveler: admitter.NewLeveler(), throttle: newThrottle(), recent: 1}
}

// restart forgets what is known of the previous process of the backend server.
func (overload *overload) restart() {
	overload.slowdown, overload.concurrency, overload.reported, overload.recent = slowdown{}, concurrency{}, 0, 1
}

// addWork counts the run time of a task that arrives.
func (overload *overload) addWork(now time.Time, runTime time.Duration) {
	overload.work = overload.workNow(now) + runTime.Seconds()
	overload.workAt = now
}

func (overload *overload) workNow(now time.Time) float64 {
	return overload.work * math.Exp2(-now.Sub(overload.workAt).Seconds()/workHalfLife.Seconds())
}

// utilization returns the share of the slots that the tasks which arrived recently need.
func (overload *overload) utilization(now time.Time, slots int) float64 {
	return overload.workNow(now) * math.Ln2 / workHalfLife.Seconds() / float64(max(slots, 1))
}

// slowdown returns how many times as long as usual work takes now.
func (gate *Gate) slowdown() float64 {
	if gate.overload == nil {
		return 0
	}
	return gate.overload.slowdown.value(gate.config.Clock.Now())
}

// prolonged returns how long a task takes now that usually takes the given time.
func (gate *Gate) prolonged(usual time.Duration) time.Duration {
	if gate.overload == nil {
		return usual
	}
	return gate.overload.slowdown.prolong(gate.config.Clock.Now(), usual)
}

// urgentStartBy returns when an urgent task must start; under overload control that is by its objective.
func (gate *Gate) urgentStartBy(task lagoonlanding.Task) time.Time {
	if gate.overload == nil || task.Objective().IsZero() {
		return gate.startBy(task)
	}
	return task.Objective().Add(-runTimeReserve * gate.meanRunTimes.ofRoute(task.Route()))
}

// runTimeReserve returns the time that is left before the objective of a task with the mean run time.
//
// While slots are scarce, all tasks start as late as they may, so a task that is likely to end late takes the slot of one that is not. While few
// tasks are refused, a refusal gains nothing, and most tasks end within a little more than the mean.
func (gate *Gate) runTimeReserve(mean time.Duration) time.Duration {
	if gate.overload == nil {
		return runTimeReserve * mean
	}
	scarcity := min(gate.overload.leveler.RefusedShare(gate.config.Clock.Now())/scarceRefusals, 1)
	return time.Duration((minRunTimeReserve + (maxRunTimeReserve-minRunTimeReserve)*scarcity) * float64(mean))
}

// level returns the admission level, zero without overload control.
func (gate *Gate) level() lagoonlanding.AdmissionLevel {
	if gate.overload == nil {
		return 0
	}
	return gate.overload.leveler.Level(gate.config.Clock.Now())
}

// openSlots returns the number of slots that may be used now.
func (gate *Gate) openSlots() int {
	if gate.overload == nil {
		return gate.slots
	}
	slots := gate.slots
	if gate.overload.reported > 0 {
		slots = min(slots, gate.overload.reported)
	}
	if gate.isSilent(gate.config.Clock.Now()) {
		return 1
	}
	return gate.overload.concurrency.slots(slots)
}

func (gate *Gate) isSilent(now time.Time) bool {
	return gate.overload.concurrency.isSilent(now, gate.running, gate.prolonged(gate.meanOfRunning()))
}

// isPaused reports whether no task may start because the backend server refuses nearly everything.
func (gate *Gate) isPaused(now time.Time) bool {
	return gate.overload != nil && gate.overload.concurrency.pauseLeft(now) > 0
}

// mayProbe reports whether a task may start although all open slots are in use, to find out whether the backend server has recovered.
func (gate *Gate) mayProbe(now time.Time) bool {
	return gate.overload != nil && gate.running < gate.slots && gate.isSilent(now) && gate.overload.concurrency.mayProbe(now)
}

// probeSpacing returns after which time a waiting task looks whether it may start at a backend server that sheds or is silent, zero if neither.
func (gate *Gate) probeSpacing(now time.Time) time.Duration {
	switch {
	case gate.overload == nil:
		return 0
	case gate.overload.concurrency.pauseLeft(now) > 0:
		return gate.overload.concurrency.pauseLeft(now)
	case gate.isSilent(now):
		return probeInterval
	}
	return 0
}

// waitsUntilDeadline reports whether a task may wait until its deadline rather than its objective.
func (gate *Gate) waitsUntilDeadline(task lagoonlanding.Task, runTime time.Duration) bool {
	if gate.overload == nil {
		return gate.priorities.isUrgent(task.Priority())
	}
	return float64(runTime) <= shortShare*float64(gate.meanOfRunning())
}

// enqueueControlled admits the task, refuses it, or adds it to the queue.
func (gate *Gate) enqueueControlled(now time.Time, task lagoonlanding.Task) (*waiter, *Pass, lagoonlanding.Reason, time.Time) {
	overload := gate.overload
	overload.leveler.Arrived(now, admitter.RankOf(task))
	if !overload.throttle.admits(now, task) {
		overload.throttled++
		return nil, nil, lagoonlanding.ReasonQueueFull, gate.retryAt(now, now, task)
	}
	overload.addWork(now, gate.prolonged(gate.meanRunTimes.ofRoute(task.Route())))
	if len(gate.waiting) == 0 && gate.hasFreeSlot(now, task.Priority()) && gate.allow(now) {
		gate.start(now, task)
		gate.keyCounts.increment(task.ShardKey())
		return nil, gate.pass(task, now), lagoonlanding.ReasonNone, time.Time{}
	}
	gate.lastSequence++
	waiter := &waiter{
		task: task, sequence: gate.lastSequence, startBy: gate.startBy(task), weight: gate.weight(task), precedence: task.Precedence(),
		decision: make(chan lagoonlanding.Reason, 1),
	}
	startsAt := gate.estimatedStart(now, waiter)
	if startsAt.After(waiter.startBy) {
		// Only the owner of a shard key can run the task later; any other task may be in time elsewhere.
		if task.ShardKey() == lagoonlanding.NoShardKey || !gate.makeLate(now, waiter) {
			return nil, nil, gate.refuse(now), gate.retryAt(now, startsAt, task)
		}
	}
	if len(gate.waiting) >= gate.config.MaxWaiting && !gate.evictLast(now, waiter) {
		return nil, nil, gate.refuse(now), gate.retryAt(now, startsAt, task)
	}
	gate.insert(waiter)
	gate.keyCounts.increment(task.ShardKey())
	gate.review(now)
	gate.admit()
	return waiter, nil, lagoonlanding.ReasonNone, time.Time{}
}

// refuse counts a refusal and returns its reason.
func (gate *Gate) refuse(now time.Time) lagoonlanding.Reason {
	gate.countRefused(now)
	return gate.busyReason(now)
}

// countRefused counts a task that got no slot in time.
func (gate *Gate) countRefused(now time.Time) {
	if gate.overload != nil {
		gate.overload.leveler.Refused(now)
	}
}

// weight orders the tasks of a priority by the cost of their wait over their run time: the cost of waiting is taken as one over the objective.
func (gate *Gate) weight(task lagoonlanding.Task) int {
	objective := task.Objective().Sub(task.Received())
	if task.Objective().IsZero() || objective <= 0 {
		return 0
	}
	ratio := 1 / (objective.Seconds() * max(gate.meanRunTimes.ofRoute(task.Route()).Seconds(), 1e-3))
	return min(max(int(math.Round(math.Log(ratio)/math.Log(weightBase))), -maxWeight), maxWeight)
}

// compare orders waiting tasks: under overload control those in time first, then by priority, by weight and by how the client returned.
func (gate *Gate) compare(a, b *waiter) int {
	if gate.overload == nil {
		return compare(a, b)
	}
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Or(gate.compareUrgency(a, b), cmp.Compare(order(a.precedence), order(b.precedence)), cmp.Compare(a.sequence, b.sequence))
}

// order returns the place of a precedence.
func order(precedence lagoonlanding.Precedence) int {
	switch precedence {
	case lagoonlanding.PrecedenceReturned:
		return -1
	case lagoonlanding.PrecedenceImpatient:
		return 1
	}
	return 0
}

func (gate *Gate) insert(waiter *waiter) {
	index, _ := slices.BinarySearchFunc(gate.waiting, waiter, gate.compare)
	gate.waiting = slices.Insert(gate.waiting, index, waiter)
}

// makeLate makes the task one that waits for room that no task in time needs, until its deadline; it returns false if there is none.
func (gate *Gate) makeLate(now time.Time, waiter *waiter) bool {
	if waiter.late {
		return false
	}
	latest := waiter.task.Deadline().Add(-gate.meanRunTimes.ofRoute(waiter.task.Route()))
	if byEnd := gate.endBy.Add(-runTimeReserve * gate.meanRunTimes.ofRoute(waiter.task.Route())); !gate.endBy.IsZero() && byEnd.Before(latest) {
		latest = byEnd
	}
	slots := gate.openSlots()
	free := 1 - gate.overload.utilization(now, slots)
	if free < 1-fullUtilization {
		return false
	}
	waiter.late = true
	if at := gate.estimatedStart(now, waiter); now.Add(time.Duration(float64(at.Sub(now)) / free)).After(latest) {
		waiter.late = false
		return false
	}
	waiter.startBy = latest
	gate.overload.late++
	gate.countRefused(now)
	return true
}

// postpone makes a waiting task late instead of refusing it; it returns false if the task must be refused.
func (gate *Gate) postpone(waiter *waiter) bool {
	if gate.overload == nil {
		return false
	}
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if !gate.endBy.IsZero() || !gate.remove(waiter) {
		return false
	}
	isLate := gate.makeLate(gate.config.Clock.Now(), waiter)
	gate.insert(waiter)
	return isLate
}

// evictLast removes the last waiting task if the given one goes before it; it returns false otherwise.
func (gate *Gate) evictLast(now time.Time, waiter *waiter) bool {
	last := gate.waiting[len(gate.waiting)-1]
	if gate.compare(waiter, last) >= 0 {
		return false
	}
	gate.evict(now, last)
	return true
}

// evict refuses a waiting task.
func (gate *Gate) evict(now time.Time, evicted *waiter) {
	gate.remove(evicted)
	gate.keyCounts.decrement(evicted.task.ShardKey())
	evicted.retryAt = gate.retryAt(now, gate.estimatedStart(now, evicted), evicted.task)
	evicted.decision <- gate.refuse(now)
}

// remove takes a task out of the queue; it returns false if the task does not wait.
func (gate *Gate) remove(removed *waiter) bool {
	index := slices.Index(gate.waiting, removed)
	if index < 0 {
		return false
	}
	gate.waiting = slices.Delete(gate.waiting, index, index+1)
	return true
}

// review refuses or postpones the waiting tasks that can no longer start in time, because others went before them or the machine is slower.
func (gate *Gate) review(now time.Time) {
	var hopeless []*waiter
	work, ahead := time.Duration(0), 0
	for _, waiter := range gate.waiting {
		if !waiter.late && gate.startAfter(now, work, ahead, waiter.task).After(waiter.startBy) {
			hopeless = append(hopeless, waiter)
			continue
		}
		work += gate.meanRunTimes.ofRoute(waiter.task.Route())
		ahead++
	}
	for _, waiter := range hopeless {
		gate.remove(waiter)
		isLate := waiter.task.ShardKey() != lagoonlanding.NoShardKey && gate.makeLate(now, waiter)
		gate.insert(waiter)
		if !isLate {
			gate.evict(now, waiter)
		}
	}
}

// admitControlled admits waiting tasks while there are free slots.
func (gate *Gate) admitControlled(now time.Time) {
	for len(gate.waiting) > 0 && gate.refusal(now) == lagoonlanding.ReasonNone {
		index := gate.nextIndex()
		if !gate.hasFreeSlot(now, gate.waiting[index].task.Priority()) || !gate.allow(now) {
			return
		}
		waiter := gate.waiting[index]
		gate.waiting = slices.Delete(gate.waiting, index, index+1)
		gate.settle(waiter)
		gate.start(now, waiter.task)
		waiter.decision <- lagoonlanding.ReasonNone
	}
	if len(gate.waiting) == 0 && gate.running < gate.openSlots() {
		gate.overload.leveler.Idle(now)
	}
}

// settle updates what the longest waiting task has earned: a share of the work that starts, less the work of tasks that are no more urgent.
func (gate *Gate) settle(started *waiter) {
	runTime, credit := gate.meanRunTimes.ofRoute(started.task.Route()).Seconds(), gate.overload.credit
	credit += oldestShare * runTime
	if oldest := gate.oldest(); oldest == nil || gate.compareUrgency(started, oldest) >= 0 {
		credit -= runTime
	}
	gate.overload.credit = min(max(credit, -maxCredit.Seconds()), maxCredit.Seconds())
}

// oldest returns the task in time that has waited longest, nil if there is none.
func (gate *Gate) oldest() *waiter {
	var oldest *waiter
	for _, waiter := range gate.waiting {
		if !waiter.late && (oldest == nil || waiter.sequence < oldest.sequence) {
			oldest = waiter
		}
	}
	return oldest
}

// compareUrgency orders tasks by priority and weight.
func (gate *Gate) compareUrgency(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.task.Priority(), b.task.Priority()), cmp.Compare(b.weight, a.weight))
}

// nextIndex returns the index of the task that starts next: the first, or the one in time that has waited longest once it has earned its run time.
func (gate *Gate) nextIndex() int {
	oldest := gate.oldest()
	if oldest == nil || gate.overload.credit < gate.meanRunTimes.ofRoute(oldest.task.Route()).Seconds() {
		return 0
	}
	return slices.Index(gate.waiting, oldest)
}
