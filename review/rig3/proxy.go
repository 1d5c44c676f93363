package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes on the connections of daemons to another daemon, and can reset them.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	links map[*link]bool
}

// link is a connection through the proxy.
type link struct {
	near, far *net.TCPConn
}

func newProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	created := &proxy{listener: listener, target: target, links: map[*link]bool{}}
	go created.accept()
	return created, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

func (proxy *proxy) accept() {
	for {
		near, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", proxy.target)
		if err != nil {
			reset(near.(*net.TCPConn))
			continue
		}
		opened := &link{near: near.(*net.TCPConn), far: far.(*net.TCPConn)}
		proxy.mutex.Lock()
		proxy.links[opened] = true
		proxy.mutex.Unlock()
		go proxy.pass(opened, opened.far, opened.near)
		go proxy.pass(opened, opened.near, opened.far)
	}
}

// pass copies one direction of a link and its end.
func (proxy *proxy) pass(link *link, to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		reset(link.near)
		reset(link.far)
	} else {
		_ = to.CloseWrite()
	}
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	delete(proxy.links, link)
}

// reset closes a connection with a reset.
func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// resetShare resets each open connection for which pick returns true, and returns how many of how many.
func (proxy *proxy) resetShare(pick func() bool) (count, open int) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for link := range proxy.links {
		open++
		if pick() {
			count++
			reset(link.near)
			reset(link.far)
		}
	}
	return count, open
}

func (proxy *proxy) close() { _ = proxy.listener.Close() }
