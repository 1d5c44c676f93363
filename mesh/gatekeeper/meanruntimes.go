package gatekeeper

import "time"

// maxRoutes bounds the routes with a mean of their own.
const maxRoutes = 512

// meanRunTimes are moving averages of the run times of tasks, in seconds.
type meanRunTimes struct {
	all    float64
	routes map[string]float64
}

func newMeanRunTimes() meanRunTimes { return meanRunTimes{routes: map[string]float64{}} }

// observe adds the run time of an answered task.
func (meanruntimes *meanRunTimes) observe(route string, took time.Duration) {
	seconds := took.Seconds()
	if meanruntimes.all == 0 {
		meanruntimes.all = seconds
	}
	meanruntimes.all += (seconds - meanruntimes.all) * smoothingFactor
	known, ok := meanruntimes.routes[route]
	if !ok && len(meanruntimes.routes) >= maxRoutes {
		return
	}
	if !ok {
		known = seconds
	}
	meanruntimes.routes[route] = known + (seconds-known)*smoothingFactor
}

// overall returns the mean of all tasks.
func (meanruntimes *meanRunTimes) overall() time.Duration {
	if meanruntimes.all == 0 {
		return initialMeanRunTime
	}
	return time.Duration(meanruntimes.all * float64(time.Second))
}

// ofRoute returns the mean of a route's tasks, or the overall mean if the route has none.
func (meanruntimes *meanRunTimes) ofRoute(route string) time.Duration {
	if known, ok := meanruntimes.routes[route]; ok {
		return time.Duration(known * float64(time.Second))
	}
	return meanruntimes.overall()
}
