package limiter

import "time"

// Parameters of the slow start. A ratio is a service time divided by the baseline of its class.
const (
	// windowCompletions is the initial and minimum number of completions in a window, after which the limit may change by one.
	windowCompletions = 16
	// growRatio is the highest mean ratio of a window at which the limit grows.
	growRatio = 1.5
	// coldRatio is the mean ratio at which a backend server is considered cold.
	coldRatio = 3
	// jitter is how much longer than the baseline a fast request may take because of the instance itself, such as its scheduler.
	jitter = 2 * time.Millisecond
	// maxRatio bounds the ratio of one request, so that a single slow request does not make a backend server look cold.
	maxRatio = 8
	// slowWindowsBeforeStepBack is how many consecutive windows may be slow before the limit is lowered by one.
	slowWindowsBeforeStepBack = 4
	// coldFailures is how many errors in a window make a backend server look cold.
	coldFailures = windowCompletions / 2
	// minServiceTimeDivisor divides the baseline to give the minimum service time of a request.
	minServiceTimeDivisor = 2
	// defaultServiceTime is the assumed service time before any request has finished.
	defaultServiceTime = 5 * time.Millisecond
	// idleTimeout is how long a backend server may be idle before it is considered cold.
	idleTimeout = time.Minute
	// maxWindow bounds the completions in a window, whose number doubles after each reset or step back during growth.
	maxWindow = 8 * windowCompletions
	// initialSmoothing, warmSmoothing and coldSmoothing are reciprocals of the weight of a new service time in the baseline: for the
	// first requests, at the maximum limit, and at a limit of one, where a lasting slowdown must become the new baseline eventually.
	initialSmoothing = 8
	warmSmoothing    = 128
	coldSmoothing    = 512
)

// slowStart adapts the concurrency limit of a backend server that may be cold, based only on completed requests and not on reports.
type slowStart struct {
	maximum     int
	limit       int
	window      int
	baselines   map[string]*baseline
	completions int
	failures    int
	ratioSum    float64
	// ratioBeforeStep is the mean ratio before the last increase of the limit, zero once the increase has been evaluated.
	ratioBeforeStep float64
	// slowWindows counts the consecutive windows that were too slow to grow and too fast for a reset.
	slowWindows  int
	lastActivity time.Time
	// resets counts the resets, and limitChanges all changes of the limit.
	resets       uint64
	limitChanges uint64
}

// baseline is the smoothed mean of the service times of a class.
type baseline struct {
	meanSeconds float64
	count       int
}

func newSlowStart(maximum int) *slowStart {
	return &slowStart{maximum: maximum, limit: 1, window: windowCompletions, baselines: map[string]*baseline{}}
}

// reset sets the limit to one; after a reset before the maximum was reached, it grows more slowly.
func (slowstart *slowStart) reset() {
	if slowstart.limit > 1 && slowstart.limit < slowstart.maximum {
		slowstart.widenWindow()
	}
	slowstart.resets++
	slowstart.setLimit(1)
}

// setLimit changes the limit; requests that started under the previous limit do not count towards the next change.
func (slowstart *slowStart) setLimit(limit int) {
	slowstart.limit = limit
	slowstart.ratioBeforeStep, slowstart.slowWindows = 0, 0
	slowstart.limitChanges++
	slowstart.clear()
}

// clear starts a new window of completions.
func (slowstart *slowStart) clear() {
	slowstart.completions, slowstart.failures, slowstart.ratioSum = 0, 0, 0
}

// resetIfIdle resets the limit before the first request after a long idle time, since the backend server may be cold.
func (slowstart *slowStart) resetIfIdle(now time.Time) {
	if !slowstart.lastActivity.IsZero() && now.Sub(slowstart.lastActivity) > idleTimeout {
		slowstart.reset()
	}
}

// observe records the result of a request.
func (slowstart *slowStart) observe(now time.Time, admission *Admission, result Result) {
	slowstart.lastActivity = now
	// Requests that started before a reset are ignored, so that all requests that fail in one crash cause a single reset.
	if admission.resets != slowstart.resets {
		return
	}
	switch result {
	case ConnectionLost, Unreachable:
		slowstart.reset()
	case Shed:
		slowstart.setLimit(max(slowstart.limit-1, 1))
	case Failed:
		slowstart.failures++
		if slowstart.failures >= coldFailures {
			slowstart.reset()
		}
	case Served, Cancelled:
		if admission.limitChanges != slowstart.limitChanges {
			return
		}
		slowstart.observeServiceTime(admission.request.Class(), now.Sub(admission.started), result)
	}
}

func (slowstart *slowStart) observeServiceTime(class string, took time.Duration, result Result) {
	ratio := slowstart.updateBaseline(class, took.Seconds())
	if result == Cancelled && ratio < 1 {
		// A request that was cancelled early says nothing about the backend server.
		return
	}
	slowstart.ratioSum += ratio
	slowstart.completions++
	if slowstart.ratioSum < coldRatio*float64(slowstart.window) && slowstart.completions < slowstart.window {
		return
	}
	mean := slowstart.ratioSum / float64(slowstart.completions)
	hasFailed := slowstart.failures > 0
	slowstart.clear()
	slowstart.evaluateWindow(mean, hasFailed)
}

// evaluateWindow changes the limit according to the mean ratio of a window.
func (slowstart *slowStart) evaluateWindow(mean float64, hasFailed bool) {
	before := slowstart.ratioBeforeStep
	slowstart.ratioBeforeStep = 0
	if mean <= growRatio {
		slowstart.slowWindows = 0
	}
	switch {
	case mean >= coldRatio && slowstart.limit > 1:
		slowstart.reset()
	case before > 0 && mean > growRatio*before:
		// The last increase slowed the backend server down, whatever the baseline is.
		slowstart.stepBack()
	case mean > growRatio:
		slowstart.slowWindows++
		if slowstart.slowWindows == slowWindowsBeforeStepBack && slowstart.limit > 1 {
			slowstart.stepBack()
		}
	case hasFailed:
	case slowstart.limit < slowstart.maximum:
		slowstart.setLimit(slowstart.limit + 1)
		slowstart.ratioBeforeStep = mean
	default:
		slowstart.window = windowCompletions
	}
}

// stepBack lowers the limit by one.
func (slowstart *slowStart) stepBack() {
	slowstart.widenWindow()
	slowstart.setLimit(slowstart.limit - 1)
}

// widenWindow doubles the window, up to its maximum.
func (slowstart *slowStart) widenWindow() { slowstart.window = min(2*slowstart.window, maxWindow) }

// updateBaseline returns the ratio of a service time in seconds to the baseline of its class, and updates the baseline.
func (slowstart *slowStart) updateBaseline(class string, took float64) float64 {
	known, ok := slowstart.baselines[class]
	if !ok {
		slowstart.baselines[class] = &baseline{meanSeconds: took, count: 1}
		return 1
	}
	ratio := ratioOf(took, known.meanSeconds)
	known.count++
	if smoothing := slowstart.smoothing(known); smoothing > 0 {
		known.meanSeconds += (ratio - 1) * known.meanSeconds / smoothing
	}
	return ratio
}

// ratioOf returns the ratio of a service time to the baseline, both in seconds.
//
// For fast classes a difference below jitter is ignored, since it is within the jitter of the instance.
func ratioOf(took, baseline float64) float64 {
	jitterSeconds := jitter.Seconds()
	if baseline <= 0 {
		return 1
	}
	if baseline < jitterSeconds && took < baseline+jitterSeconds {
		return min(took/baseline, 1)
	}
	return min(took/baseline, maxRatio)
}

// smoothing returns the reciprocal of the weight of a new service time in the baseline; it is zero while
// the limit grows, which freezes the baseline, since requests that are slow because of too much concurrency must not raise it.
func (slowstart *slowStart) smoothing(known *baseline) float64 {
	switch {
	case known.count < windowCompletions:
		return initialSmoothing
	case slowstart.limit == slowstart.maximum:
		return warmSmoothing
	case slowstart.limit == 1:
		return coldSmoothing
	}
	return 0
}

// minServiceTime returns the minimum service time of the class, zero if it is unknown.
func (slowstart *slowStart) minServiceTime(class string) time.Duration {
	known, ok := slowstart.baselines[class]
	if !ok {
		return 0
	}
	return time.Duration(known.meanSeconds * float64(time.Second) / minServiceTimeDivisor)
}

// meanServiceTime returns the mean of the baselines of all classes.
func (slowstart *slowStart) meanServiceTime() time.Duration {
	if len(slowstart.baselines) == 0 {
		return defaultServiceTime
	}
	sum := 0.0
	for _, known := range slowstart.baselines {
		sum += known.meanSeconds
	}
	return time.Duration(sum / float64(len(slowstart.baselines)) * float64(time.Second))
}
