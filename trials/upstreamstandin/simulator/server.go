package simulator

import (
	"errors"
	"math"
	"math/rand/v2"
	"time"
)

// The reasons for which a backend server refuses a request; a refused request was not run.
var (
	// ErrShed means that the queue is full.
	ErrShed = errors.New("the queue is full")
	// ErrDraining means that the server accepts no new requests.
	ErrDraining = errors.New("the server is draining")
	// ErrFenced means that the attempt carries an outdated token, or that its run would have started after its lease expired.
	ErrFenced = errors.New("the fencing token is outdated or its lease has expired")
)

// Config holds the configuration of a Server.
type Config struct {
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Queue is the maximum number of requests that wait for a slot.
	Queue int
	// ServiceTime is the median run time.
	ServiceTime time.Duration
	// Sigma is the standard deviation of the logarithm of the run time, which is distributed lognormally.
	Sigma float64
	// Seed is the seed of the random run times.
	Seed uint64
	// ColdCompletions is the number of completed runs after which the server is warm.
	ColdCompletions int
	// ColdFactor multiplies the run time while the server is cold, and once more while it is above its capacity.
	ColdFactor float64
	// CheckFence makes the server refuse requests with an outdated fencing token or an expired lease.
	CheckFence bool
	// ReportLag is the age of the load that is reported.
	ReportLag time.Duration
}

// Server is the state of a simulated backend server; it is not safe for concurrent use.
type Server struct {
	config      Config
	random      *rand.Rand
	running     int
	queue       []*Admission
	fences      fences
	runCounts   map[string]int
	recentRuns  []Run
	reports     []timedReport
	completions int
	overloads   int
	slowdown    float64
	draining    bool
}

// New returns a cold, idle server.
func New(config Config) *Server {
	return &Server{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, config.Seed)),
		fences:    make(fences),
		runCounts: make(map[string]int),
		slowdown:  1,
	}
}

// Admit assigns a free slot to the attempt, or queues it.
func (server *Server) Admit(attempt Attempt) (*Admission, error) {
	if server.draining {
		return nil, ErrDraining
	}
	if err := server.checkFence(attempt); err != nil {
		return nil, err
	}
	admission := &Admission{attempt: attempt, ready: make(chan struct{})}
	if server.running < server.config.Slots {
		server.occupySlot(admission)
		return admission, nil
	}
	if len(server.queue) >= server.config.Queue {
		return nil, ErrShed
	}
	server.queue = append(server.queue, admission)
	return admission, nil
}

// Start records the run of an admitted attempt that occupies a slot and returns the run with its duration.
func (server *Server) Start(admission *Admission, now time.Time) (Run, error) {
	// A newer owner may have been seen while the attempt was queued.
	if err := server.checkFence(admission.attempt); err != nil {
		return Run{}, err
	}
	// The daemon may have been frozen between its last check of the lease and the sending of the request.
	if deadline := admission.attempt.fence.Deadline(); server.config.CheckFence && !deadline.IsZero() && !now.Before(deadline) {
		return Run{}, ErrFenced
	}
	factor := server.slowdown
	if server.IsCold() {
		factor *= server.config.ColdFactor
	}
	if server.running > server.Capacity() {
		server.overloads++
		factor *= server.config.ColdFactor
	}
	spread := math.Exp(server.config.Sigma * server.random.NormFloat64())
	duration := time.Duration(float64(server.config.ServiceTime) * spread * factor)
	return server.recordRun(admission.attempt, now, duration), nil
}

// Release frees the slot or queue entry of the admission, whether its attempt was queued, ran or was refused.
func (server *Server) Release(admission *Admission, completed bool) {
	if completed {
		server.completions++
	}
	for i, queued := range server.queue {
		if queued == admission {
			server.queue = append(server.queue[:i], server.queue[i+1:]...)
			return
		}
	}
	server.running--
	if len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		server.occupySlot(next)
	}
}

func (server *Server) occupySlot(admission *Admission) {
	server.running++
	close(admission.ready)
}

func (server *Server) checkFence(attempt Attempt) error {
	if attempt.fence.IsZero() || !server.config.CheckFence {
		return nil
	}
	return server.fences.advance(attempt.fence)
}

// IsCold reports whether the server is still warming up.
func (server *Server) IsCold() bool { return server.completions < server.config.ColdCompletions }

// Capacity returns the number of runs that the server can currently process at once without being overloaded.
func (server *Server) Capacity() int {
	if !server.IsCold() {
		return server.config.Slots
	}
	return 1 + (server.config.Slots-1)*server.completions/server.config.ColdCompletions
}

// Overloads returns the number of runs that started while the server was above its capacity.
func (server *Server) Overloads() int { return server.overloads }

// Running returns the number of requests that occupy a slot.
func (server *Server) Running() int { return server.running }

// SetDraining sets whether the server refuses new requests.
func (server *Server) SetDraining(draining bool) { server.draining = draining }

// SetSlowdown sets the factor by which all run times are multiplied.
func (server *Server) SetSlowdown(factor float64) { server.slowdown = factor }

// ResetWarmUp makes the server cold again.
func (server *Server) ResetWarmUp() { server.completions = 0 }
