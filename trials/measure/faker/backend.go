package faker

import (
	"time"

	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/measure/sequencer"
)

// coldSlowdown is the factor by which a request takes longer on a backend server that has just started.
const coldSlowdown = 5

// BackendConfig holds the parameters of a Backend.
type BackendConfig struct {
	// Simulation schedules the events.
	Simulation *sequencer.Simulation
	// Slots is the number of concurrent requests that the warm backend server sustains.
	Slots int
	// WarmUpRequests is the number of completed requests after which a cold backend server sustains one more concurrent request.
	WarmUpRequests int
	// Cold makes the backend server start cold.
	Cold bool
}

// Backend is a simulated backend server that can be cold, slow down and crash.
//
// A cold one sustains a single concurrent request, and one more after every WarmUpRequests completed ones. Requests in excess
// overload it: their run time grows with the square of the excess, and their completions do not warm it up.
type Backend struct {
	config         BackendConfig
	running        map[*run]bool
	completed      int
	slowdown       float64
	down           bool
	maxExcess      int
	excessRequests int
}

// run is a request in progress.
type run struct {
	done func(limiter.Result)
}

// NewBackend returns a backend server with the given configuration.
func NewBackend(config BackendConfig) *Backend {
	backend := &Backend{config: config, running: map[*run]bool{}, slowdown: 1}
	if !config.Cold {
		backend.completed = backend.warm()
	}
	return backend
}

// warm returns the number of completions after which the backend server is warm.
func (backend *Backend) warm() int { return backend.config.WarmUpRequests * (backend.config.Slots - 1) }

// Concurrency returns the number of concurrent requests that the backend server currently sustains.
func (backend *Backend) Concurrency() int {
	if backend.config.WarmUpRequests == 0 {
		return backend.config.Slots
	}
	return min(1+backend.completed/backend.config.WarmUpRequests, backend.config.Slots)
}

// MaxExcess returns the largest number of concurrent requests so far in excess of the sustained concurrency.
func (backend *Backend) MaxExcess() int { return backend.maxExcess }

// ExcessRequests returns the number of requests that were started in excess of the sustained concurrency.
func (backend *Backend) ExcessRequests() int { return backend.excessRequests }

// SetSlowdown sets the factor by which requests that start from now on take longer.
func (backend *Backend) SetSlowdown(slowdown float64) { backend.slowdown = slowdown }

// SetCold makes the backend server cold without resetting a connection.
func (backend *Backend) SetCold() { backend.completed = 0 }

// Start runs a request with the given run time on a warm backend server.
func (backend *Backend) Start(runTime time.Duration, done func(limiter.Result)) {
	if backend.down {
		backend.config.Simulation.After(time.Millisecond, func() { done(limiter.Unreachable) })
		return
	}
	started := &run{done: done}
	backend.running[started] = true
	excess := len(backend.running) - backend.Concurrency()
	if excess > 0 {
		backend.excessRequests++
		backend.maxExcess = max(backend.maxExcess, excess)
	}
	backend.config.Simulation.After(time.Duration(float64(runTime)*backend.slowdownAt(excess)), func() {
		if !backend.running[started] {
			return
		}
		delete(backend.running, started)
		if excess <= 0 {
			backend.completed = min(backend.completed+1, max(backend.warm(), 1))
		}
		done(limiter.Served)
	})
}

// slowdownAt returns the factor by which a request that starts now takes longer, given the excess concurrency.
func (backend *Backend) slowdownAt(excess int) float64 {
	slowdown := backend.slowdown
	if warm := backend.warm(); warm > 0 {
		slowdown *= 1 + (coldSlowdown-1)*(1-float64(backend.completed)/float64(warm))
	}
	if excess > 0 {
		slowdown *= float64((1 + excess) * (1 + excess))
	}
	return slowdown
}

// Crash aborts all requests and takes the backend server down for the duration, after which it is cold.
func (backend *Backend) Crash(downTime time.Duration) {
	aborted := backend.running
	backend.running = map[*run]bool{}
	backend.down = true
	backend.completed = 0
	for run := range aborted {
		run.done(limiter.ConnectionLost)
	}
	backend.config.Simulation.After(downTime, func() { backend.down = false })
}

// SetDown makes the backend server refuse or accept connections.
func (backend *Backend) SetDown(down bool) { backend.down = down }

// InFlight returns the number of requests in progress.
func (backend *Backend) InFlight() int { return len(backend.running) }

// IsUp reports whether the backend server accepts connections.
func (backend *Backend) IsUp() bool { return !backend.down }
