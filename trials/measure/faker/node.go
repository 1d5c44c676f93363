package faker

import (
	"time"

	"lagoonlanding.example/lagoonlanding"
	"lagoonlanding.example/lagoonlanding/requests/limiter"
	"lagoonlanding.example/measure/player"
)

// NodeConfig describes a Node.
type NodeConfig struct {
	// Simulation schedules the events.
	Simulation *player.Simulation
	// Backend is the backend server beside the daemon.
	Backend *Backend
	// Limiter guards the backend server.
	Limiter *limiter.Server
}

// Node is an instance: the limiter of its daemon and the backend server beside it.
type Node struct {
	config  NodeConfig
	pending []*job
	polling bool
}

// JobConfig describes one request to a Node.
type JobConfig struct {
	// Waiting describes the request to the limiter.
	Waiting lagoonlanding.QueuedRequest
	// Took is how long the request takes at a warm backend server.
	Took time.Duration
	// Run starts the request at the backend server; nil for Backend.Start.
	Run func(done func(limiter.Result))
	// Done gets the reason of a refusal, or how the request has left its slot.
	Done func(reason lagoonlanding.Reason, result limiter.Result)
}

type job struct {
	config JobConfig
	place  *limiter.Place
}

// NewNode returns the instance that the configuration describes.
func NewNode(config NodeConfig) *Node { return &Node{config: config} }

// Backend returns the backend server beside the daemon.
func (node *Node) Backend() *Backend { return node.config.Backend }

// Limiter returns the limiter of the daemon.
func (node *Node) Limiter() *limiter.Server { return node.config.Limiter }

// Submit gives the request to the limiter, which calls Done in the end.
func (node *Node) Submit(request JobConfig) {
	now := node.config.Simulation.Now()
	added := &job{config: request, place: node.config.Limiter.Arrive(now, request.Waiting)}
	node.pending = append(node.pending, added)
	if deadline := request.Waiting.Deadline(); !deadline.IsZero() {
		node.config.Simulation.After(deadline.Sub(now), func() {
			node.config.Limiter.Abandon(node.config.Simulation.Now(), added.place, lagoonlanding.ReasonDeadline)
			node.poll()
		})
	}
	node.poll()
}

// poll goes on with the requests that the limiter has decided.
func (node *Node) poll() {
	if node.polling {
		return
	}
	node.polling = true
	defer func() { node.polling = false }()
	for {
		// As many wait as are pending here while none has been decided.
		if _, waiting := node.config.Limiter.Load(); waiting == len(node.pending) {
			return
		}
		node.decided(node.next())
	}
}

// next removes and returns the oldest request that the limiter has decided.
func (node *Node) next() *job {
	for index, one := range node.pending {
		select {
		case <-one.place.Decided():
			node.pending = append(node.pending[:index], node.pending[index+1:]...)
			return one
		default:
		}
	}
	panic("faker: the limiter has lost a request")
}

func (node *Node) decided(one *job) {
	if reason := one.place.Reason(); reason != lagoonlanding.ReasonNone {
		one.config.Done(reason, 0)
		return
	}
	done := func(result limiter.Result) {
		node.config.Limiter.Leave(node.config.Simulation.Now(), one.place, result)
		one.config.Done(lagoonlanding.ReasonNone, result)
		node.poll()
	}
	if one.config.Run != nil {
		one.config.Run(done)
		return
	}
	node.config.Backend.Start(one.config.Took, done)
}
