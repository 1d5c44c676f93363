package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// proxy passes on the bytes of TCP connections to a target, and can reset them.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	// open maps each accepted connection to the one to the target.
	open map[net.Conn]net.Conn
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &proxy{listener: listener, target: target, open: map[net.Conn]net.Conn{}}
	go created.serve()
	return created, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

func (proxy *proxy) serve() {
	for {
		accepted, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.pass(accepted)
	}
}

func (proxy *proxy) pass(accepted net.Conn) {
	dialed, err := net.Dial("tcp4", proxy.target)
	if err != nil {
		reset(accepted)
		return
	}
	proxy.mutex.Lock()
	proxy.open[accepted] = dialed
	proxy.mutex.Unlock()
	var both sync.WaitGroup
	both.Go(func() { forward(dialed, accepted) })
	both.Go(func() { forward(accepted, dialed) })
	both.Wait()
	proxy.mutex.Lock()
	delete(proxy.open, accepted)
	proxy.mutex.Unlock()
	accepted.Close()
	dialed.Close()
}

// forward passes on the bytes of one direction and their end.
func forward(to, from net.Conn) {
	if _, err := io.Copy(to, from); err != nil && !errors.Is(err, net.ErrClosed) {
		reset(to)
		reset(from)
		return
	}
	// It fails if the connection has been closed, which ends this direction too.
	_ = to.(*net.TCPConn).CloseWrite()
}

// resetShare resets a share of the connections that are open now, drawn at random, and returns how many; new ones are passed on.
func (proxy *proxy) resetShare(share float64) int {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	count := int(share * float64(len(proxy.open)))
	left := count
	for accepted, dialed := range proxy.open {
		if left == 0 {
			break
		}
		left--
		reset(accepted)
		reset(dialed)
	}
	return count
}

func reset(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	connection.Close()
}
