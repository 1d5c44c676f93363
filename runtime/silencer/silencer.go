package silencer

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// Silence makes the kernel drop every packet that arrives for the connection, keep-alive probes included; a closed connection stays closed.
func Silence(connection *net.TCPConn) error {
	raw, err := connection.SyscallConn()
	if err != nil {
		return err
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Join(err, failure)
}
