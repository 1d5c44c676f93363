package gatekeeper

import (
	"math"
	"math/rand/v2"
	"time"

	"lagoonlanding.example/lagoonlanding"
)

const (
	// outcomeHalfLife is the age at which the end of a task has half its weight.
	outcomeHalfLife = time.Second
	// toleratedFailures is the ratio of tasks begun to those that succeed up to which none is refused.
	toleratedFailures = 1.25
	// maxThrottled bounds the share of refused tasks: failures that do not depend on the load must not end a route's traffic.
	maxThrottled = 0.5
	// minOutcomes is the weight of ends from which tasks are refused.
	minOutcomes = 5
)

// throttle refuses a share of the tasks of a route whose tasks fail at the backend server.
//
// Load: a service that tasks call while they run is short of room, so its refusals make them fail after they took a slot here. A client that is
// refused can come back, while one whose request has failed may not repeat it.
type throttle struct {
	routes map[string]*outcomes
	random func() float64
}

// outcomes are the decayed numbers of tasks of a route that ended and that succeeded.
type outcomes struct {
	ended, succeeded float64
	at               time.Time
}

func newThrottle() throttle { return throttle{routes: map[string]*outcomes{}, random: rand.Float64} }

// ended counts a task that the backend server has run.
func (throttle *throttle) ended(now time.Time, route string, succeeded bool) {
	known, ok := throttle.routes[route]
	if !ok {
		if len(throttle.routes) >= maxRoutes {
			return
		}
		known = &outcomes{at: now}
		throttle.routes[route] = known
	}
	known.decay(now)
	known.ended++
	if succeeded {
		known.succeeded++
	}
}

func (outcomes *outcomes) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(outcomes.at).Seconds() / outcomeHalfLife.Seconds())
	outcomes.ended, outcomes.succeeded, outcomes.at = outcomes.ended*factor, outcomes.succeeded*factor, now
}

// admits reports whether a task is begun.
func (throttle *throttle) admits(now time.Time, task lagoonlanding.Task) bool {
	known, ok := throttle.routes[task.Route()]
	if !ok {
		return true
	}
	known.decay(now)
	if known.ended < minOutcomes {
		return true
	}
	share := min(1-toleratedFailures*known.succeeded/known.ended, maxThrottled)
	return throttle.random() >= share
}
