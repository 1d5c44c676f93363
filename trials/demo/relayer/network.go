package relayer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lagoonlanding.example/lagoonlanding/runtime/silencer"
)

// RouteConfig describes a listener whose connections are forwarded to a target.
type RouteConfig struct {
	// Listen is the address that the relay listens on.
	Listen string
	// Target is the address to which connections are forwarded.
	Target string
	// From is the name of the process that connects; if it is empty, the process is looked up for each connection.
	From string
	// To is the name of the process at the target address.
	To string
}

// Network relays connections between processes and simulates network faults on them.
type Network struct {
	processIDs  func() map[string]int
	mutex       sync.Mutex
	cut         func(from, to string) bool
	delay       func(from, to string) time.Duration
	changed     chan struct{}
	connections map[*relayedConnection]bool
}

// relayedConnection is a connection with the names of the processes at its ends.
type relayedConnection struct {
	from, to          func() string
	inbound, outbound net.Conn
	isSilent          atomic.Bool
}

// New returns a network without faults; processIDs returns the process IDs of the daemons by name.
func New(processIDs func() map[string]int) *Network {
	return &Network{processIDs: processIDs, changed: make(chan struct{}), connections: map[*relayedConnection]bool{}}
}

// SetDelay delays bytes by the duration that the function returns for their direction; nil removes the delay.
func (network *Network) SetDelay(delay func(from, to string) time.Duration) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.delay = delay
}

// Reset resets the open connections for which the function returns true.
func (network *Network) Reset(matches func(from, to string) bool) {
	network.mutex.Lock()
	connections := slices.Collect(maps.Keys(network.connections))
	network.mutex.Unlock()
	for _, connection := range connections {
		if matches(connection.from(), connection.to()) {
			abort(connection.inbound)
			abort(connection.outbound)
		}
	}
}

// Silence makes the open connections for which the function returns true go silent: nothing is forwarded or acknowledged on them any more, and
// they are not reset.
func (network *Network) Silence(matches func(from, to string) bool) error {
	network.mutex.Lock()
	connections := slices.Collect(maps.Keys(network.connections))
	network.mutex.Unlock()
	var errs []error
	for _, connection := range connections {
		if matches(connection.from(), connection.to()) {
			connection.isSilent.Store(true)
			errs = append(errs, silence(connection.inbound), silence(connection.outbound))
		}
	}
	return errors.Join(errs...)
}

func silence(connection net.Conn) error {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return fmt.Errorf("silence a %T: %w", connection, errors.ErrUnsupported)
	}
	return silencer.Silence(tcp)
}

// abort closes the connection with a TCP reset.
func abort(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// waitForDelay waits for the delay of the direction and reports whether it has passed before ctx is done.
func (network *Network) waitForDelay(ctx context.Context, from, to func() string) bool {
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

// Cut stops forwarding in the directions for which the function returns true, until Heal is called; the bytes are kept.
func (network *Network) Cut(cut func(from, to string) bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.cut = cut
	close(network.changed)
	network.changed = make(chan struct{})
}

// Heal ends all cuts and forwards the bytes that were kept.
func (network *Network) Heal() {
	network.Cut(nil)
}

// waitWhileCut waits until the direction is not cut and reports whether that happened before ctx is done.
//
// The names are looked up only while there is a cut, because finding the process of a connection is slow.
func (network *Network) waitWhileCut(ctx context.Context, from, to func() string) bool {
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

// Relay forwards the connections of the route until ctx is done.
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
			go network.forward(ctx, route, connection)
		}
	}()
	return nil
}

// forward connects to the target of the route and forwards the bytes in both directions until one end closes or ctx is done.
func (network *Network) forward(ctx context.Context, route RouteConfig, inbound net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = inbound.Close() }()
	from := sync.OnceValue(func() string { return network.sourceName(route, inbound) })
	to := func() string { return route.To }
	// A TCP handshake needs both directions, so a cut of either one prevents the connection.
	if !network.waitWhileCut(ctx, from, to) || !network.waitWhileCut(ctx, to, from) {
		return
	}
	outbound, err := net.Dial("tcp", route.Target)
	if err != nil {
		return
	}
	defer func() { _ = outbound.Close() }()
	connection := &relayedConnection{from: from, to: to, inbound: inbound, outbound: outbound}
	network.track(connection, true)
	defer network.track(connection, false)
	stop := context.AfterFunc(ctx, func() {
		_ = inbound.Close()
		_ = outbound.Close()
	})
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { network.copy(ctx, cancel, connection, inbound, outbound, from, to) })
	directions.Go(func() { network.copy(ctx, cancel, connection, outbound, inbound, to, from) })
	directions.Wait()
}

// track adds an open connection to those that Reset considers, or removes a closed one.
func (network *Network) track(connection *relayedConnection, isOpen bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if isOpen {
		network.connections[connection] = true
	} else {
		delete(network.connections, connection)
	}
}

// sourceName returns the name of the process that opened the connection.
func (network *Network) sourceName(route RouteConfig, inbound net.Conn) string {
	if route.From != "" {
		return route.From
	}
	return processOf(inbound.RemoteAddr(), network.processIDs())
}

const bufferBytes = 64 << 10

// copy forwards bytes in one direction and closes the whole connection when the source closes; a silent connection stays open.
func (network *Network) copy(
	ctx context.Context, cancel context.CancelFunc, connection *relayedConnection, source, target net.Conn, from, to func() string,
) {
	defer cancel()
	buffer := make([]byte, bufferBytes)
	for {
		count, err := source.Read(buffer)
		// The wait comes before a failed read is handled, because a cut also keeps the close of a connection from reaching the other end.
		if !network.waitWhileCut(ctx, from, to) || !network.waitForDelay(ctx, from, to) {
			return
		}
		if connection.isSilent.Load() {
			<-ctx.Done()
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
