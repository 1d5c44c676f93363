package relayer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// RouteConfig describes a listener whose connections are carried to a target.
type RouteConfig struct {
	// Listen is the address that the relay listens on.
	Listen string
	// Target is the address that connections are carried to.
	Target string
	// From names the process that connects; empty if it is found by the connection.
	From string
	// To names the process behind the target.
	To string
}

// Network holds the cuts and delays between processes.
type Network struct {
	processes func() map[string]int
	mutex     sync.Mutex
	cut       func(from, to string) bool
	delay     func(from, to string) time.Duration
	changed   chan struct{}
	carried   map[*carried]bool
}

// carried is one connection with the names of its ends.
type carried struct {
	from, to  func() string
	near, far net.Conn
}

// New returns a network without cuts; processes gives the process ids by name.
func New(processes func() map[string]int) *Network {
	return &Network{processes: processes, changed: make(chan struct{}), carried: map[*carried]bool{}}
}

// Delay holds bytes for the time that the function gives for the way, until it is called with nil.
func (network *Network) Delay(delay func(from, to string) time.Duration) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.delay = delay
}

// Reset resets the present connections for which the function is true.
func (network *Network) Reset(isHit func(from, to string) bool) {
	network.mutex.Lock()
	var all []*carried
	for connection := range network.carried {
		all = append(all, connection)
	}
	network.mutex.Unlock()
	for _, connection := range all {
		if isHit(connection.from(), connection.to()) {
			abort(connection.near)
			abort(connection.far)
		}
	}
}

// abort closes a connection so that its peer sees a reset.
func abort(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// hold waits for the delay of the way; it is false if ctx ends first.
func (network *Network) hold(ctx context.Context, from, to func() string) bool {
	network.mutex.Lock()
	delay := network.delay
	network.mutex.Unlock()
	if delay == nil {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(delay(from(), to())):
		return true
	}
}

// Cut holds all bytes between the processes for which the function is true, until Heal.
func (network *Network) Cut(cut func(from, to string) bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.cut = cut
	close(network.changed)
	network.changed = make(chan struct{})
}

// Heal ends all cuts and lets the held bytes go on.
func (network *Network) Heal() {
	network.Cut(nil)
}

// pass waits until bytes may go from one process to another; it is false if ctx ends first.
//
// The names are asked for only while there is a cut, since it takes long to find the process of a connection.
func (network *Network) pass(ctx context.Context, from, to func() string) bool {
	for {
		network.mutex.Lock()
		cut, changed := network.cut, network.changed
		network.mutex.Unlock()
		if cut == nil || !cut(from(), to()) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Relay carries the connections of the route until ctx ends.
func (network *Network) Relay(ctx context.Context, route RouteConfig) error {
	listener, err := net.Listen("tcp", route.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s for the relay to %s: %w", route.Listen, route.To, err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go network.carry(ctx, route, connection)
		}
	}()
	return nil
}

func (network *Network) carry(ctx context.Context, route RouteConfig, near net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = near.Close() }()
	from := sync.OnceValue(func() string { return network.source(route, near) })
	to := func() string { return route.To }
	// The answer to the connection comes back, so a cut of either way keeps it from being made.
	if !network.pass(ctx, from, to) || !network.pass(ctx, to, from) {
		return
	}
	far, err := net.Dial("tcp", route.Target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	connection := &carried{from: from, to: to, near: near, far: far}
	network.note(connection, true)
	defer network.note(connection, false)
	stop := context.AfterFunc(ctx, func() {
		_ = near.Close()
		_ = far.Close()
	})
	defer stop()
	var ways sync.WaitGroup
	ways.Go(func() { network.copy(ctx, cancel, near, far, from, to) })
	ways.Go(func() { network.copy(ctx, cancel, far, near, to, from) })
	ways.Wait()
}

func (network *Network) note(connection *carried, isOpen bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if isOpen {
		network.carried[connection] = true
	} else {
		delete(network.carried, connection)
	}
}

// source returns the name of the process that has made the connection.
func (network *Network) source(route RouteConfig, near net.Conn) string {
	if route.From != "" {
		return route.From
	}
	return owner(near.RemoteAddr(), network.processes())
}

const bufferBytes = 64 << 10

// copy ends the whole connection with its source.
func (network *Network) copy(ctx context.Context, cancel context.CancelFunc, source, target net.Conn, from, to func() string) {
	defer cancel()
	buffer := make([]byte, bufferBytes)
	for {
		count, err := source.Read(buffer)
		// The end of a connection crosses a cut as little as its bytes do.
		if !network.pass(ctx, from, to) || !network.hold(ctx, from, to) {
			return
		}
		if count > 0 {
			if _, err := target.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
