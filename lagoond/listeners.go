package main

import (
	"net"

	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding/adapters/loader"
)

// listeners are open before anything starts, so that a port in use stops the daemon at once.
type listeners struct {
	peer   net.Listener
	caller net.Listener
	local  net.Listener
	admin  net.Listener
}

func listen(settings loader.Settings) (listeners, error) {
	var opened listeners
	for _, one := range []struct {
		key     string
		address string
		target  *net.Listener
	}{
		{"peer-listen-address", settings.PeerListenAddress(), &opened.peer},
		{"caller-listen-address", settings.CallerListenAddress(), &opened.caller},
		{"local-address", settings.LocalAddress(), &opened.local},
		{"admin-address", settings.AdminAddress(), &opened.admin},
	} {
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			opened.close()
			return listeners{}, oops.In("lagoond").With("setting", one.key).Wrapf(err, "listen at %s %s", one.key, one.address)
		}
		*one.target = listener
	}
	return opened, nil
}

func (listeners listeners) close() {
	for _, listener := range []net.Listener{listeners.peer, listeners.caller, listeners.local, listeners.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
