package performer

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"
)

// The refusals of a backend server; each says that the request was not run.
var (
	// ErrShed says that the queue is full.
	ErrShed = errors.New("the queue is full")
	// ErrDraining says that the server takes no new work.
	ErrDraining = errors.New("the server is draining")
	// ErrFenced says that a newer owner of the shard has been seen.
	ErrFenced = errors.New("the fencing token is outdated")
)

// Config holds the settings of a Server.
type Config struct {
	// Slots is how many requests run at once.
	Slots int
	// Queue bounds the requests that wait for a slot.
	Queue int
	// ServiceTime is the median time of a run.
	ServiceTime time.Duration
	// Sigma is the spread of the lognormal service times.
	Sigma float64
	// Seed starts the sequence of service times.
	Seed uint64
	// ColdCompletions is how many runs end before the server is warm.
	ColdCompletions int
	// ColdFactor lengthens runs while the server is cold.
	ColdFactor float64
	// CheckFence says that requests with outdated fencing tokens are refused.
	CheckFence bool
	// ReportLag is the age of what the load report says.
	ReportLag time.Duration
}

// Server is the state of a backend server; it is not safe for use by several goroutines.
type Server struct {
	config      Config
	random      *rand.Rand
	running     int
	waiting     []*Place
	fences      fences
	runs        map[string]int
	log         []Run
	reports     []datedReport
	completions int
	overloads   int
	slow        float64
	draining    bool
}

// New returns a cold server that runs nothing.
func New(config Config) *Server {
	return &Server{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		fences: make(fences),
		runs:   make(map[string]int),
		slow:   1,
	}
}

// Enter gives the attempt a place in a slot or in the queue.
func (server *Server) Enter(attempt Attempt) (*Place, error) {
	if server.draining {
		return nil, ErrDraining
	}
	if err := server.check(attempt); err != nil {
		return nil, err
	}
	place := &Place{attempt: attempt, ready: make(chan struct{})}
	if server.running < server.config.Slots {
		server.occupy(place)
		return place, nil
	}
	if len(server.waiting) >= server.config.Queue {
		return nil, ErrShed
	}
	server.waiting = append(server.waiting, place)
	return place, nil
}

// Start runs the attempt of a place that is ready and returns how long the run takes.
func (server *Server) Start(place *Place, now time.Time) (Run, error) {
	// A newer owner may have been seen while the attempt waited.
	if err := server.check(place.attempt); err != nil {
		return Run{}, err
	}
	// Its daemon may have been frozen between its last look at the lease and the sending.
	if deadline := place.attempt.fence.Deadline(); server.config.CheckFence && !deadline.IsZero() && !now.Before(deadline) {
		return Run{}, ErrFenced
	}
	factor := server.slow
	if server.IsCold() {
		factor *= server.config.ColdFactor
	}
	if server.running > server.Bearable() {
		server.overloads++
		factor *= server.config.ColdFactor
	}
	spread := math.Exp(server.config.Sigma * server.random.NormFloat64())
	length := time.Duration(float64(server.config.ServiceTime) * spread * factor)
	return server.record(place.attempt, now, length), nil
}

// Leave gives the place up, whether its attempt waited, ran or was refused.
func (server *Server) Leave(place *Place, completed bool) {
	if completed {
		server.completions++
	}
	for i, waiting := range server.waiting {
		if waiting == place {
			server.waiting = append(server.waiting[:i], server.waiting[i+1:]...)
			return
		}
	}
	server.running--
	if len(server.waiting) > 0 {
		next := server.waiting[0]
		server.waiting = server.waiting[1:]
		server.occupy(next)
	}
}

func (server *Server) occupy(place *Place) {
	server.running++
	close(place.ready)
}

func (server *Server) check(attempt Attempt) error {
	if attempt.fence.IsZero() || !server.config.CheckFence {
		return nil
	}
	return server.fences.raise(attempt.fence)
}

// IsCold reports whether the server still warms up.
func (server *Server) IsCold() bool { return server.completions < server.config.ColdCompletions }

// Bearable returns how many runs at once the server can bear at present.
func (server *Server) Bearable() int {
	if !server.IsCold() {
		return server.config.Slots
	}
	return 1 + (server.config.Slots-1)*server.completions/server.config.ColdCompletions
}

// Overloads returns how many runs began above what the server could bear.
func (server *Server) Overloads() int { return server.overloads }

// Running returns how many requests run.
func (server *Server) Running() int { return server.running }

// SetDraining makes the server refuse or take new work.
func (server *Server) SetDraining(draining bool) { server.draining = draining }

// SetSlow lengthens all runs by the factor.
func (server *Server) SetSlow(factor float64) { server.slow = factor }

// TurnCold starts the warming up again.
func (server *Server) TurnCold() { server.completions = 0 }
