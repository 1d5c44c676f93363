package limiter

import "time"

// The rules of the ramp.
const (
	// rampWindow is how many completions decide on a step of the ramp.
	rampWindow = 16
	// steadyScore is the highest mean of service times over their class's normal one at which the ramp grows.
	steadyScore = 1.5
	// coldScore is the mean of service times over their class's normal one at which a backend server looks cold.
	coldScore = 3
	// timeNoise is how much longer than normal a quick request may take for reasons of the instance, such as its scheduler.
	timeNoise = 2 * time.Millisecond
	// highestScore bounds what one request adds, so that a single slow one does not make a backend server look cold.
	highestScore = 8
	// heldWindows is how many windows in a row may be slow before the ramp takes a step back.
	heldWindows = 4
	// failedWindow is how many errors among the last completions make a backend server look cold.
	failedWindow = rampWindow / 2
	// leastShare is the part of the normal service time that a request takes at the least, as its inverse.
	leastShare = 2
	// unknownTime is the service time of a class before its first request has ended.
	unknownTime = 5 * time.Millisecond
	// idleTerm is how long a backend server may be without requests before it counts as cold.
	idleTerm = time.Minute
	// longestWindow bounds the completions that decide on a step after the ramp has fallen while it grew.
	longestWindow = 8 * rampWindow
	// firstWeight, warmWeight and coldWeight are the shares of a new service time in a class's normal one, as their
	// inverses: at first, with all slots open, and with one request at a time, when slowness may be new but lasting.
	firstWeight = 8
	warmWeight  = 128
	coldWeight  = 512
)

// ramp bounds the requests in flight at a backend server that may be cold; it trusts no report, only completions.
type ramp struct {
	top    int
	limit  int
	window int
	normal map[string]*normal
	count  int
	failed int
	score  float64
	// before is the mean score before the last step up, zero once the step has been judged.
	before float64
	// held counts the windows in a row that were too slow to grow and too quick to fall.
	held int
	last time.Time
	// restart counts the falls, and step all changes of the limit.
	restart uint64
	step    uint64
}

type normal struct {
	mean  float64
	count int
}

func newRamp(top int) *ramp {
	return &ramp{top: top, limit: 1, window: rampWindow, normal: map[string]*normal{}}
}

// fall starts the ramp again from one; it grows more slowly if it falls before it has reached the top.
func (ramp *ramp) fall() {
	if ramp.limit > 1 && ramp.limit < ramp.top {
		ramp.slowDown()
	}
	ramp.restart++
	ramp.set(1)
}

// set changes the limit; what started under another limit does not count for the next step.
func (ramp *ramp) set(limit int) {
	ramp.limit = limit
	ramp.before, ramp.held = 0, 0
	ramp.step++
	ramp.clear()
}

func (ramp *ramp) clear() {
	ramp.count, ramp.failed, ramp.score = 0, 0, 0
}

// wake notes the first request after a pause; a backend server that was idle for long may have turned cold since.
func (ramp *ramp) wake(now time.Time) {
	if !ramp.last.IsZero() && now.Sub(ramp.last) > idleTerm {
		ramp.fall()
	}
}

// end notes how a request has left its slot.
func (ramp *ramp) end(now time.Time, place *Place, result Result) {
	ramp.last = now
	// What started before a fall says nothing of the backend server after it; all that break at one crash are one sign.
	if place.restart != ramp.restart {
		return
	}
	switch result {
	case Reset, Unreachable:
		ramp.fall()
	case Shed:
		ramp.set(max(ramp.limit-1, 1))
	case Failed:
		ramp.failed++
		if ramp.failed >= failedWindow {
			ramp.fall()
		}
	case Served, Cancelled:
		if place.step != ramp.step {
			return
		}
		ramp.serve(place.waiting.Class(), now.Sub(place.started), result)
	}
}

func (ramp *ramp) serve(class string, took time.Duration, result Result) {
	score := ramp.compare(class, took.Seconds())
	if result == Cancelled && score < 1 {
		// A request that was cut off early says nothing of the backend server.
		return
	}
	ramp.score += score
	ramp.count++
	if ramp.score < coldScore*float64(ramp.window) && ramp.count < ramp.window {
		return
	}
	mean := ramp.score / float64(ramp.count)
	hasFailed := ramp.failed > 0
	ramp.clear()
	ramp.decide(mean, hasFailed)
}

// decide moves the limit by the mean score of a window.
func (ramp *ramp) decide(mean float64, hasFailed bool) {
	before := ramp.before
	ramp.before = 0
	if mean <= steadyScore {
		ramp.held = 0
	}
	switch {
	case mean >= coldScore && ramp.limit > 1:
		ramp.fall()
	case before > 0 && mean > steadyScore*before:
		// The step before was one too many, whatever the normal times are.
		ramp.retreat()
	case mean > steadyScore:
		ramp.held++
		if ramp.held == heldWindows && ramp.limit > 1 {
			ramp.retreat()
		}
	case hasFailed:
	case ramp.limit < ramp.top:
		ramp.set(ramp.limit + 1)
		ramp.before = mean
	default:
		ramp.window = rampWindow
	}
}

// retreat takes the last step back.
func (ramp *ramp) retreat() {
	ramp.slowDown()
	ramp.set(ramp.limit - 1)
}

// slowDown makes the ramp wait for more completions before each step.
func (ramp *ramp) slowDown() { ramp.window = min(2*ramp.window, longestWindow) }

// compare returns the service time over the normal one of its class, and lets the normal one follow.
func (ramp *ramp) compare(class string, took float64) float64 {
	known, ok := ramp.normal[class]
	if !ok {
		ramp.normal[class] = &normal{mean: took, count: 1}
		return 1
	}
	score := scoreOf(took, known.mean)
	known.count++
	if weight := ramp.weight(known); weight > 0 {
		known.mean += (score - 1) * known.mean / weight
	}
	return score
}

// scoreOf returns the service time over the normal one.
//
// For quick classes a difference below timeNoise tells nothing, since the jitter of the instance is about as long.
func scoreOf(took, normal float64) float64 {
	noise := timeNoise.Seconds()
	if normal <= 0 {
		return 1
	}
	if normal < noise && took < normal+noise {
		return min(took/normal, 1)
	}
	return min(took/normal, highestScore)
}

// weight returns how slowly the normal service time follows; it stands still while the ramp grows, since requests that are
// slow because of too many at once must not pass for normal.
func (ramp *ramp) weight(known *normal) float64 {
	switch {
	case known.count < rampWindow:
		return firstWeight
	case ramp.limit == ramp.top:
		return warmWeight
	case ramp.limit == 1:
		return coldWeight
	}
	return 0
}

// least returns the service time that a request of the class takes at the least, zero if it is not known.
func (ramp *ramp) least(class string) time.Duration {
	known, ok := ramp.normal[class]
	if !ok {
		return 0
	}
	return time.Duration(known.mean * float64(time.Second) / leastShare)
}

// typical returns the mean of the normal service times of all classes.
func (ramp *ramp) typical() time.Duration {
	if len(ramp.normal) == 0 {
		return unknownTime
	}
	sum := 0.0
	for _, known := range ramp.normal {
		sum += known.mean
	}
	return time.Duration(sum / float64(len(ramp.normal)) * float64(time.Second))
}
