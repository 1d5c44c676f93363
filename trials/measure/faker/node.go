package faker

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/measure/sequencer"
)

// NodeConfig holds the dependencies of a Node.
type NodeConfig struct {
	// Simulation schedules the events.
	Simulation *sequencer.Simulation
	// Backend is the backend server of the instance.
	Backend *Backend
	// Limiter limits the requests to the backend server.
	Limiter *limiter.Limiter
}

// Node is an instance: the limiter of its daemon and its backend server.
type Node struct {
	config      NodeConfig
	pending     []*job
	dispatching bool
}

// JobConfig holds the parameters of a request to a Node.
type JobConfig struct {
	// QueuedRequest is the request in the queue of the limiter.
	QueuedRequest lagoonlanding.QueuedRequest
	// RunTime is the run time of the request on a warm backend server.
	RunTime time.Duration
	// Run starts the request on the backend server; nil for Backend.Start.
	Run func(done func(limiter.Result))
	// Done receives the reason of a refusal, or the result of the request that has released its slot.
	Done func(reason lagoonlanding.Reason, result limiter.Result)
}

// job is a request that was submitted to a Node.
type job struct {
	config    JobConfig
	admission *limiter.Admission
}

// NewNode returns an instance with the given configuration.
func NewNode(config NodeConfig) *Node { return &Node{config: config} }

// Backend returns the backend server of the instance.
func (node *Node) Backend() *Backend { return node.config.Backend }

// Limiter returns the limiter of the daemon.
func (node *Node) Limiter() *limiter.Limiter { return node.config.Limiter }

// Submit enqueues the request at the limiter; Done is called once the request has ended or was refused.
func (node *Node) Submit(config JobConfig) {
	now := node.config.Simulation.Now()
	submitted := &job{config: config, admission: node.config.Limiter.Enqueue(now, config.QueuedRequest)}
	node.pending = append(node.pending, submitted)
	if deadline := config.QueuedRequest.Deadline(); !deadline.IsZero() {
		node.config.Simulation.After(deadline.Sub(now), func() {
			node.config.Limiter.Cancel(node.config.Simulation.Now(), submitted.admission, lagoonlanding.ReasonDeadline)
			node.dispatch()
		})
	}
	node.dispatch()
}

// dispatch starts or refuses the pending requests on which the limiter has decided.
func (node *Node) dispatch() {
	if node.dispatching {
		return
	}
	node.dispatching = true
	defer func() { node.dispatching = false }()
	for {
		// The limiter has decided on none of the pending requests if it still queues all of them.
		if _, queued := node.config.Limiter.Load(); queued == len(node.pending) {
			return
		}
		node.start(node.takeDecided())
	}
}

// takeDecided removes and returns the oldest pending request on which the limiter has decided.
func (node *Node) takeDecided() *job {
	for index, job := range node.pending {
		select {
		case <-job.admission.Decided():
			node.pending = append(node.pending[:index], node.pending[index+1:]...)
			return job
		default:
		}
	}
	panic("faker: the limiter dropped a request without a decision")
}

// start runs an admitted request, or reports the reason of a refusal.
func (node *Node) start(job *job) {
	if reason := job.admission.Reason(); reason != lagoonlanding.ReasonNone {
		job.config.Done(reason, 0)
		return
	}
	done := func(result limiter.Result) {
		node.config.Limiter.Release(node.config.Simulation.Now(), job.admission, result)
		job.config.Done(lagoonlanding.ReasonNone, result)
		node.dispatch()
	}
	if job.config.Run != nil {
		job.config.Run(done)
		return
	}
	node.config.Backend.Start(job.config.RunTime, done)
}
