package gatekeeper

import "time"

const (
	// cutInterval is the shortest time between two cuts: refusals of tasks that started together are one event.
	cutInterval = 100 * time.Millisecond
	// shedFactor is the factor of a cut after the backend server refused a task or failed it at once.
	shedFactor = 0.85
	// regrowthTerm is the time in which the concurrency grows from nothing to all slots while tasks are answered: with a probe before, a backend
	// server has its share back within three seconds of its recovery.
	regrowthTerm = 2 * time.Second
	// maxGrowthGap bounds the time for which one answer lets the concurrency grow.
	maxGrowthGap = 500 * time.Millisecond
	// probeInterval is the interval of the tasks that start at a silent backend server.
	probeInterval = 500 * time.Millisecond
	// minSilence and silenceFactor determine after how long without an answer a backend server counts as silent: one in a hundred tasks takes five
	// times as long as usual, and all slots rarely have such a task.
	minSilence, silenceFactor = 400 * time.Millisecond, 4
	// maxOutstanding is the time within which a backend server should complete what it runs.
	maxOutstanding = 2 * time.Second
)

// concurrency is the number of tasks that may run at once at a backend server that sheds, hangs, fails at once or is slow.
//
// Load: a backend server takes less than its slots for seconds. It is cut at once and grows with the answers of the tasks that still run.
type concurrency struct {
	// limit is the number of tasks, zero while all slots are open.
	limit float64
	cutAt time.Time
	// grownAt is when the limit last changed.
	grownAt time.Time
	// answeredAt is when the backend server last answered, or when tasks started to run after none did.
	answeredAt time.Time
	probedAt   time.Time
	// pausedUntil is when the next task may start at a backend server that refuses nearly everything: its tasks end at once, so the number of
	// running tasks alone would not limit them.
	pausedUntil time.Time
}

// slots returns the number of tasks that may run of the given number of slots.
func (concurrency *concurrency) slots(slots int) int {
	if concurrency.limit == 0 {
		return slots
	}
	return min(max(int(concurrency.limit), 1), slots)
}

// cut lowers the limit to the given number of tasks; it returns false if it has just been cut.
func (concurrency *concurrency) cut(now time.Time, to float64) bool {
	if now.Sub(concurrency.cutAt) < cutInterval {
		return false
	}
	concurrency.limit, concurrency.cutAt, concurrency.grownAt = max(to, 1), now, now
	return true
}

// pause holds the last open slot as long as the refused task would have run.
func (concurrency *concurrency) pause(now time.Time, runTime time.Duration) {
	if concurrency.limit > 0 && concurrency.limit < 2 {
		concurrency.pausedUntil = now.Add(runTime)
	}
}

// pauseLeft returns how long no task may start.
func (concurrency *concurrency) pauseLeft(now time.Time) time.Duration {
	return max(concurrency.pausedUntil.Sub(now), 0)
}

// current returns the limit in tasks.
func (concurrency *concurrency) current(slots int) float64 {
	if concurrency.limit == 0 {
		return float64(slots)
	}
	return min(concurrency.limit, float64(slots))
}

// grow raises the limit after an answer.
func (concurrency *concurrency) grow(now time.Time, slots int) {
	if concurrency.limit == 0 {
		return
	}
	elapsed := min(now.Sub(concurrency.grownAt), maxGrowthGap)
	concurrency.limit += float64(slots) * elapsed.Seconds() / regrowthTerm.Seconds()
	concurrency.grownAt = now
	if concurrency.limit >= float64(slots) {
		concurrency.limit = 0
	}
}

// isSilent reports whether tasks run and none was answered for a time in which one of the expected run time should have been.
func (concurrency *concurrency) isSilent(now time.Time, running int, runTime time.Duration) bool {
	return running > 0 && now.Sub(concurrency.answeredAt) > max(minSilence, silenceFactor*runTime)
}

// mayProbe reports whether another task may start at a silent backend server.
func (concurrency *concurrency) mayProbe(now time.Time) bool {
	return now.Sub(concurrency.probedAt) >= probeInterval
}
