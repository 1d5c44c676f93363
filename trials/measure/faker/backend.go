package faker

import (
	"time"

	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/measure/player"
)

// coldFactor is how many times longer a request takes at a backend server that has just started.
const coldFactor = 5

// BackendConfig describes a Backend.
type BackendConfig struct {
	// Simulation schedules the events.
	Simulation *player.Simulation
	// Slots is how many requests the warm backend server runs at once.
	Slots int
	// Warmth is how many completions a cold backend server needs to bear one more request at once.
	Warmth int
	// Cold says that it starts cold.
	Cold bool
}

// Backend is a backend server that starts cold, slows down and crashes.
//
// A cold one bears a single request at once and one more for each Warmth completions. More make it collapse: its requests
// slow down with the square of the excess and warm it no further.
type Backend struct {
	config    BackendConfig
	running   map[*run]bool
	completed int
	slow      float64
	down      bool
	overshoot int
	collapses int
}

type run struct {
	done func(limiter.Result)
}

// NewBackend returns the backend server that the configuration describes.
func NewBackend(config BackendConfig) *Backend {
	backend := &Backend{config: config, running: map[*run]bool{}, slow: 1}
	if !config.Cold {
		backend.completed = backend.warm()
	}
	return backend
}

func (backend *Backend) warm() int { return backend.config.Warmth * (backend.config.Slots - 1) }

// Bears returns how many requests the backend server bears at once now.
func (backend *Backend) Bears() int {
	if backend.config.Warmth == 0 {
		return backend.config.Slots
	}
	return min(1+backend.completed/backend.config.Warmth, backend.config.Slots)
}

// Overshoot returns by how many requests the backend server has been overcommitted at the worst.
func (backend *Backend) Overshoot() int { return backend.overshoot }

// Collapses returns how many requests were sent above what the backend server bore.
func (backend *Backend) Collapses() int { return backend.collapses }

// SetSlow makes each request that starts from now on take so many times longer.
func (backend *Backend) SetSlow(factor float64) { backend.slow = factor }

// Chill makes the backend server cold without breaking a connection.
func (backend *Backend) Chill() { backend.completed = 0 }

// Start runs a request that takes the time at a warm backend server.
func (backend *Backend) Start(took time.Duration, done func(limiter.Result)) {
	if backend.down {
		backend.config.Simulation.After(time.Millisecond, func() { done(limiter.Unreachable) })
		return
	}
	started := &run{done: done}
	backend.running[started] = true
	excess := len(backend.running) - backend.Bears()
	if excess > 0 {
		backend.collapses++
		backend.overshoot = max(backend.overshoot, excess)
	}
	backend.config.Simulation.After(time.Duration(float64(took)*backend.factor(excess)), func() {
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

// factor returns how many times longer a request takes that starts now.
func (backend *Backend) factor(excess int) float64 {
	factor := backend.slow
	if warm := backend.warm(); warm > 0 {
		factor *= 1 + (coldFactor-1)*(1-float64(backend.completed)/float64(warm))
	}
	if excess > 0 {
		factor *= float64((1 + excess) * (1 + excess))
	}
	return factor
}

// Crash breaks all requests and takes the backend server down for the duration, after which it is cold.
func (backend *Backend) Crash(down time.Duration) {
	broken := backend.running
	backend.running = map[*run]bool{}
	backend.down = true
	backend.completed = 0
	for one := range broken {
		one.done(limiter.Reset)
	}
	backend.config.Simulation.After(down, func() { backend.down = false })
}

// SetDown refuses all connections, or takes them again.
func (backend *Backend) SetDown(down bool) { backend.down = down }

// InFlight returns the number of requests that run.
func (backend *Backend) InFlight() int { return len(backend.running) }

// IsUp reports whether the backend server takes connections.
func (backend *Backend) IsUp() bool { return !backend.down }
