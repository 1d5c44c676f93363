package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to an address, and can reset them.
type proxy struct {
	address, target string

	mutex       sync.Mutex
	connections map[*net.TCPConn]bool
}

// newProxy returns a proxy that is listening.
func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	created := &proxy{address: address, target: target, connections: map[*net.TCPConn]bool{}}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go created.pass(accepted.(*net.TCPConn))
		}
	}()
	return created, nil
}

// pass passes bytes on in both directions until one side ends.
func (proxy *proxy) pass(accepted *net.TCPConn) {
	dialed, err := net.Dial("tcp4", proxy.target)
	if err != nil {
		// The target is down: a reset is what the caller would see of it.
		reset(accepted)
		return
	}
	target := dialed.(*net.TCPConn)
	proxy.mutex.Lock()
	proxy.connections[accepted], proxy.connections[target] = true, true
	proxy.mutex.Unlock()
	var directions sync.WaitGroup
	for _, pair := range [][2]*net.TCPConn{{accepted, target}, {target, accepted}} {
		directions.Go(func() {
			// A failed copy means that one side has ended, which ends the other one too.
			_, _ = io.Copy(pair[0], pair[1])
			pair[0].Close()
		})
	}
	directions.Wait()
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	delete(proxy.connections, accepted)
	delete(proxy.connections, target)
}

// resetAll resets all connections and returns their number.
func (proxy *proxy) resetAll() int {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for connection := range proxy.connections {
		reset(connection)
	}
	return len(proxy.connections) / 2
}

func reset(connection *net.TCPConn) {
	// Without lingering, closing resets the connection.
	_ = connection.SetLinger(0)
	connection.Close()
}
