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
	// highestScore bounds what one request adds, so that a single slow one does not make a backend server look cold.
	highestScore = 8
	// failedWindow is how many errors among the last completions make a backend server look cold.
	failedWindow = rampWindow / 2
	// leastShare is the part of the normal service time that a request takes at the least, as its inverse.
	leastShare = 2
	// unknownTime is the service time of a class before its first request has ended.
	unknownTime = 5 * time.Millisecond
	// idleTerm is how long a backend server may be without requests before it counts as cold.
	idleTerm = time.Minute
	// firstWeight and laterWeight are the shares of a new service time in a class's normal one, as their inverses.
	firstWeight = 8
	laterWeight = 128
)

// ramp bounds the requests in flight at a backend server that may be cold; it trusts no report, only completions.
type ramp struct {
	top     int
	limit   int
	normal  map[string]*normal
	count   int
	failed  int
	score   float64
	last    time.Time
	restart uint64
}

type normal struct {
	mean  float64
	count int
}

func newRamp(top int) *ramp {
	return &ramp{top: top, limit: 1, normal: map[string]*normal{}}
}

// fall starts the ramp again from one.
func (ramp *ramp) fall() {
	ramp.limit = 1
	ramp.restart++
	ramp.clear()
}

func (ramp *ramp) clear() {
	ramp.count, ramp.failed, ramp.score = 0, 0, 0
}

// wake notes the first request after a pause; a backend server that was idle for long may have gone cold unseen.
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
		ramp.limit = max(ramp.limit-1, 1)
		ramp.clear()
	case Failed:
		ramp.failed++
		if ramp.failed >= failedWindow {
			ramp.fall()
		}
	case Served, Cancelled:
		ramp.serve(place.waiting.Class(), now.Sub(place.started), result)
	}
}

func (ramp *ramp) serve(class string, took time.Duration, result Result) {
	score := min(ramp.compare(class, took.Seconds()), highestScore)
	if result == Cancelled && score < 1 {
		// A request that was cut off early says nothing of the backend server.
		return
	}
	ramp.score += score
	ramp.count++
	if ramp.score < coldScore*rampWindow && ramp.count < rampWindow {
		return
	}
	mean := ramp.score / float64(ramp.count)
	failed := ramp.failed
	ramp.clear()
	switch {
	case mean >= coldScore && ramp.limit > 1:
		ramp.fall()
	case mean <= steadyScore && failed == 0:
		ramp.limit = min(ramp.limit+1, ramp.top)
	}
}

// compare returns the service time over the normal one of its class, and lets the normal one follow slowly.
func (ramp *ramp) compare(class string, took float64) float64 {
	known, ok := ramp.normal[class]
	if !ok {
		ramp.normal[class] = &normal{mean: took, count: 1}
		return 1
	}
	score := 1.0
	if known.mean > 0 {
		score = took / known.mean
	}
	weight := float64(laterWeight)
	if known.count < rampWindow {
		weight = firstWeight
	}
	known.count++
	known.mean += (took - known.mean) / weight
	return score
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
