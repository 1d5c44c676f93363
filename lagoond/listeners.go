package main

import (
	"net"

	"github.com/samber/oops"

	"lagoonlanding.example/lagoonlanding/adapters/loader"
)

// listeners are opened before any component starts, so that a port in use stops the daemon immediately.
type listeners struct {
	peer   net.Listener
	caller net.Listener
	local  net.Listener
	admin  net.Listener
}

func listen(settings loader.Settings) (listeners, error) {
	var opened listeners
	for _, entry := range []struct {
		setting string
		address string
		target  *net.Listener
	}{
		{"peer-listen-address", settings.PeerListenAddress(), &opened.peer},
		{"caller-listen-address", settings.CallerListenAddress(), &opened.caller},
		{"local-address", settings.LocalAddress(), &opened.local},
		{"admin-address", settings.AdminAddress(), &opened.admin},
	} {
		listener, err := net.Listen("tcp", entry.address)
		if err != nil {
			opened.close()
			return listeners{}, oops.In("lagoond").With("setting", entry.setting).Wrapf(err, "listen on %s %s", entry.setting, entry.address)
		}
		*entry.target = listener
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
