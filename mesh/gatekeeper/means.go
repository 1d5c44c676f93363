package gatekeeper

import "time"

// maxRoutes bounds the routes whose times are known each by itself.
const maxRoutes = 512

// means are moving averages of how long tasks take.
type means struct {
	all    float64
	routes map[string]float64
}

func newMeans() means { return means{routes: map[string]float64{}} }

// note takes in the time of a task that was answered.
func (means *means) note(route string, took time.Duration) {
	seconds := took.Seconds()
	if means.all == 0 {
		means.all = seconds
	}
	means.all += (seconds - means.all) * meanWeight
	known, ok := means.routes[route]
	if !ok && len(means.routes) >= maxRoutes {
		return
	}
	if !ok {
		known = seconds
	}
	means.routes[route] = known + (seconds-known)*meanWeight
}

// overall returns the mean of all tasks.
func (means *means) overall() time.Duration {
	if means.all == 0 {
		return firstMean
	}
	return time.Duration(means.all * float64(time.Second))
}

// of returns the mean of a route's tasks.
func (means *means) of(route string) time.Duration {
	if known, ok := means.routes[route]; ok {
		return time.Duration(known * float64(time.Second))
	}
	return means.overall()
}
